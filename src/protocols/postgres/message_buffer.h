// Receive buffer of a store connection: first the messages of a response that are forwarded to the
// client unchanged, then the bytes that are not parsed yet. Because values may be long, a response
// is forwarded in the buffer in which it was received, without a copy. No I/O.
#pragma once

#include <cstddef>
#include <string>

#include "codec/pg/messages.h"

namespace reedchute::protocols::postgres {

class MessageBuffer {
 public:
  enum class Peek { none, message, malformed };

  explicit MessageBuffer(std::size_t maxRowBytes) : maxRowBytes_(maxRowBytes) {}

  // The buffer, to which the caller appends received bytes.
  std::string& bytes() { return bytes_; }
  std::size_t size() const { return bytes_.size(); }
  std::size_t capacity() const { return bytes_.capacity(); }
  // Whether the buffer holds bytes after the kept messages, for example an incomplete message.
  bool hasPartialMessage() const { return bytes_.size() > keptSize_; }
  // Reserves memory for the next message if its length is known, and returns the size in bytes that
  // the buffer has once that message is complete.
  std::size_t reserveMessage();

  // Parses the next message into `message`, which points into the buffer. The message stays in the
  // buffer until keep() or drop() is called. `none`: the next message is incomplete.
  Peek peek(pg::Message& message);
  // Keeps the peeked message as part of the response that is forwarded to the client.
  void keep();
  // Removes the peeked message.
  void drop();
  // Removes the kept messages from the buffer and returns them.
  std::string takeKept();
  void discardKept();
  // Restarts the count of ParameterStatus and NoticeResponse bytes, for the next response.
  void resetUnsolicitedBytes() { unsolicitedBytes_ = 0; }

 private:
  Peek parse(pg::Message& message);

  const std::size_t maxRowBytes_;
  std::string bytes_;
  std::size_t keptSize_ = 0;          // bytes of kept messages, at the start of `bytes_`
  std::size_t peekedSize_ = 0;        // bytes of the peeked message, after the kept ones
  std::size_t unsolicitedBytes_ = 0;  // of parameters and notices since the last response
};

}  // namespace reedchute::protocols::postgres
