// One client's connection: its socket, its buffers and what is known of its client. What is spoken
// on it is its ClientCodec's business, and when it is read and written its SessionLoop's.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "client/arrival_clock.h"
#include "client/arrival_times.h"
#include "client/client_limits.h"
#include "client/client_protocol.h"
#include "client/close_reason.h"
#include "runtime/socket.h"

namespace reedchute::client {

// Bytes for the client, and the deadlines of the responses among them.
struct OutputBuffer {
  std::string bytes;
  std::vector<TimePoint> responseDeadlines;
};

class Session : public ClientChannel {
 public:
  // `maxQueuedBytes`: where the client leaves more than this unread, it is disconnected.
  // `acceptableSince`: since when the connection may have waited to be accepted; kNever: it has
  // just come. `maxAcceptWait`: for how long at most, where the kernel doesn't tell.
  Session(runtime::Scheduler& scheduler, ClientProtocol& protocol, int fd,
          std::size_t maxQueuedBytes, TimePoint acceptableSince, Duration maxAcceptWait);

  // ClientChannel
  void send(std::string bytes) override;
  void sendResponse(std::string bytes, TimePoint deadline) override;
  void closeAfterFlush() override { finish(CloseReason::finalMessage); }
  void closeForDrain() override { finish(CloseReason::draining); }
  void closeNow() override { close(CloseReason::finalMessage); }
  bool isClientGone() const override;

  // Ends the session once its output is written. The first reason given stands.
  void finish(CloseReason why);
  // Ends the session at once.
  void close(CloseReason why);

  // What was read and is not decoded yet.
  std::string_view unread() const { return std::string_view(input_).substr(consumed_); }
  std::size_t inputBytes() const { return input_.size(); }
  const ArrivalTimes& arrivals() const { return arrivals_; }
  // The first `count` bytes of unread() are done with.
  void consume(std::size_t count);
  // Reads what has come, at most until there are `maxBytes` of input.
  runtime::Socket::ReadStatus read(std::size_t maxBytes);
  // Drops all input, and reads some more of what has come.
  runtime::Socket::ReadStatus discardAndRead();

  // Nothing is pending, and no message has begun.
  bool isAwaitingRequest() const;
  // Whole responses that the kernel hasn't taken yet.
  std::size_t unsentResponses() const;
  std::size_t bufferBytes() const;

  runtime::Socket socket;
  std::unique_ptr<ClientCodec> codec;
  OutputBuffer queued;   // to be written
  OutputBuffer sending;  // being written
  CloseReason closeReason = CloseReason::none;
  bool isEnding = false;   // once its output is written
  bool isWriting = false;  // `sending` must not move
  bool hasSentRequest = false;
  bool hasClientEnded = false;        // the client closed the connection, or reads nothing
  bool endedByMessage = false;        // what the client sent has ended the session
  bool leavesInputUnread = false;     // also after a final message
  int decodedInARow = 0;              // messages, since the session last had nothing to read
  TimePoint messageBegunAt = kNever;  // when its first unfinished message was first waited for
  TimePoint idleSince = kNever;       // when it last came to await a request

  // What SessionRegistry has read while the session waited, and the session has not seen yet.
  bool hasUnseenInput = false;
  // Where SessionRegistry holds it.
  std::list<Session*>::iterator place;
  std::list<Session*>::iterator waitPlace;
  std::list<Session*>* waitQueue = nullptr;  // none while it doesn't wait for its client
  TimePoint waitingSince;

 private:
  // Since when the bytes that are read next may have been sent.
  TimePoint earliestArrival(TimePoint now);

  runtime::Scheduler& scheduler_;
  const std::size_t maxQueuedBytes_;
  ArrivalClock clock_;
  std::string input_;
  std::size_t consumed_ = 0;  // bytes of input_
  ArrivalTimes arrivals_;     // of unread()
};

}  // namespace reedchute::client
