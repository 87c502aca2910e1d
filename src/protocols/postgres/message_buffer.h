// What was read from a store: the messages of a response that go on to the client as they came,
// and behind them what is not parsed yet. Values may be long, so a response goes on in the buffer
// in which it came. No I/O.
#pragma once

#include <cstddef>
#include <string>

#include "codec/pg/messages.h"

namespace reedchute::protocols::postgres {

class MessageBuffer {
 public:
  enum class Peek { none, message, malformed };

  explicit MessageBuffer(std::size_t maxRowBytes) : maxRowBytes_(maxRowBytes) {}

  // Where to append what is read.
  std::string& bytes() { return bytes_; }
  std::size_t size() const { return bytes_.size(); }
  std::size_t capacity() const { return bytes_.capacity(); }
  // Has a message begun that is not whole yet?
  bool hasPartialMessage() const { return bytes_.size() > keptSize_; }
  // Makes room for the message that has begun, as far as its length is known, and returns the size
  // of the buffer with it.
  std::size_t reserveMessage();

  // Looks at the next message, which stays until keep() or drop().
  Peek peek(pg::Message& message);
  // The message that was peeked at goes on to the client.
  void keep();
  // The message that was peeked at is not needed any more.
  void drop();
  // Hands over what was kept.
  std::string takeKept();
  void discardKept();
  // Parameters and notices are counted anew for the next response.
  void resetUnrequested() { unrequestedBytes_ = 0; }

 private:
  Peek parse(pg::Message& message);

  const std::size_t maxRowBytes_;
  std::string bytes_;
  std::size_t keptSize_ = 0;          // at the beginning of `bytes_`
  std::size_t peekedSize_ = 0;        // behind that
  std::size_t unrequestedBytes_ = 0;  // of parameters and notices since the last response
};

}  // namespace reedchute::protocols::postgres
