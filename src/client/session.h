// One client's connection: its socket and buffers, when its bytes came, and how it is to end. What
// is spoken on it is its protocol's ClientCodec.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "client/arrival_times.h"
#include "client/client_protocol.h"
#include "runtime/socket.h"

namespace reedchute::client {

inline constexpr std::size_t kMostAhead = 16 *
                                          1024;  // read while an answer is still owed, by whomever

// Why a connection with a client ended.
enum class CloseReason {
  none,          // it goes on
  client,        // its client closed or reset it
  lastWord,      // it was told its last word: garbled, turned away, too slow, or it said good-bye
  idle,          // it rested, and its place was wanted or its time was over
  makesRoom,     // closed for somebody else's sake
  leaving,       // the front is told to end
  readsNothing,  // its client leaves too much unread
  writeFailed,   // its answer couldn't be written in its client's time
  fault,         // an exception
  count
};
const char* nameOf(CloseReason reason);

class Session : public ClientChannel {
 public:
  // `mostUnsaid`: bytes that wait to be written, beyond which it is cut.
  Session(runtime::Scheduler& scheduler, ClientProtocol& protocol, int fd, std::size_t mostUnsaid);

  // ClientChannel
  void answer(std::string bytes, TimePoint until) override;
  void say(std::string bytes) override;
  void end() override { finish(CloseReason::lastWord); }
  void endForLeaving() override { finish(CloseReason::leaving); }
  void cut() override { close(CloseReason::lastWord); }
  bool clientGone() const override;

  // It ends once all that was said is written; the first reason stands.
  void finish(CloseReason why) {
    if (reason == CloseReason::none) reason = why;
    ending = true;
  }
  // It ends at once.
  void close(CloseReason why) {
    if (reason == CloseReason::none) reason = why;
    socket.close();
  }

  // The bytes after `used` are the session's next ones.
  std::string_view left() const { return std::string_view(in).substr(used); }
  void drop(std::size_t n);
  // Reads on, at most until there are so many.
  runtime::Socket::ReadStatus more(std::size_t most);
  std::size_t held() const { return in.capacity() + out.capacity() + going.capacity(); }

  runtime::Scheduler& scheduler;
  runtime::Socket socket;
  std::unique_ptr<ClientCodec> talk;
  std::string in, out, going;  // `going`: what is being written
  std::vector<TimePoint> said,
      goes;  // until when clients wait for the answers that are whole in `out` and in `going`
  std::size_t used = 0;
  Arrivals arrivals;               // of the bytes of `in` after `used`
  TimePoint unseenSince = kNever;  // since when it may have waited to be accepted
  Duration oldestUnseen;  // that it is taken to have waited at most, where the kernel doesn't tell
  std::list<Session*>::iterator place, waitPlace;
  std::list<Session*>* waits = nullptr;  // the list that it stands in while it waits for its client
  TimePoint waitsSince;
  TimePoint begun = kNever;       // when its first unfinished message was first waited for
  TimePoint restsSince = kNever;  // when it last came to owe nothing and have nothing
  CloseReason reason = CloseReason::none;
  bool asked = false, ending = false, writing = false;
  bool gone = false,
       garbled = false;  // its client ended the connection, or the talk by what it sent
  int inARow = 0;        // messages taken since it last had nothing to read

 private:
  std::size_t mostUnsaid_;
};

}  // namespace reedchute::client
