// A client's connection: its socket, its buffers and its state. The ClientCodec implements the
// protocol; the SessionLoop decides when the socket is read and written.
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

// Output for the client, and the deadlines of the responses that it contains.
struct OutputBuffer {
  std::string bytes;
  std::vector<TimePoint> responseDeadlines;
};

class Session : public ClientChannel {
 public:
  // Takes ownership of `fd`. `maxQueuedBytes`: the client is disconnected if more output than this
  // is queued while it doesn't read. `acceptableSince`, `maxAcceptWait`: see ArrivalClock.
  Session(runtime::Scheduler& scheduler, ClientProtocol& protocol, int fd,
          std::size_t maxQueuedBytes, TimePoint acceptableSince, Duration maxAcceptWait);

  // ClientChannel
  void send(std::string bytes) override;
  void sendResponse(std::string bytes, TimePoint deadline) override;
  void closeAfterFlush() override { finish(CloseReason::finalMessage); }
  void closeForDrain() override { finish(CloseReason::draining); }
  void closeNow() override { close(CloseReason::finalMessage); }
  bool isClientGone() const override;

  // Ends the session once its output is written. Only the first reason given is kept.
  void finish(CloseReason why);
  // Ends the session immediately.
  void close(CloseReason why);

  // Input that was read and is not decoded yet.
  std::string_view unread() const { return std::string_view(input_).substr(consumed_); }
  std::size_t inputBytes() const { return input_.size(); }
  // Input that was read of messages that are not decoded yet, whether or not the codec has it.
  std::size_t undecodedBytes() const { return unread().size() + codec->undecodedBytes(); }
  const ArrivalTimes& arrivals() const { return arrivals_; }
  // Removes the first `count` bytes of unread().
  void consume(std::size_t count);
  // Reads the available input until `maxBytes` of input are buffered.
  runtime::Socket::ReadStatus read(std::size_t maxBytes);
  // Frees the memory of the buffered input, none of which will be decoded any more.
  void releaseInput();
  // Drops the buffered input, and reads at most kReadAheadBytes of the available input.
  runtime::Socket::ReadStatus discardAndRead();

  // Whether startup is complete, no response is pending and no message has begun.
  bool isAwaitingRequest() const;
  // Number of complete responses that have not been written completely to the kernel yet.
  std::size_t unsentResponses() const;
  std::size_t bufferBytes() const;

  runtime::Socket socket;
  std::unique_ptr<ClientCodec> codec;
  OutputBuffer queued;   // to be written
  OutputBuffer sending;  // being written
  CloseReason closeReason = CloseReason::none;
  bool isEnding = false;   // the session ends once its output is written
  bool isWriting = false;  // `sending` must not be moved
  bool hasSentRequest = false;
  bool hasClientEnded = false;          // the client closed the connection, or has stopped reading
  bool isEndedByClientMessage = false;  // the client's last message has ended the session
  bool leavesInputUnread = false;       // even after a final message
  int decodedInARow = 0;                // messages decoded since the socket last had no input
  TimePoint messageBegunAt = kNever;    // when the wait for the current message began
  TimePoint idleSince = kNever;         // when the wait for the next request began

  // Whether SessionRegistry has read input during the wait that the session has not processed yet.
  bool hasUnseenInput = false;
  // The session's entries in the lists of SessionRegistry.
  std::list<Session*>::iterator registryEntry;
  std::list<Session*>::iterator waitQueueEntry;
  std::list<Session*>* waitQueue = nullptr;  // null while not waiting for the client
  TimePoint waitingSince;

 private:
  // Returns the earliest time at which the bytes of the next read may have been sent.
  TimePoint earliestArrival(TimePoint now);

  runtime::Scheduler& scheduler_;
  const std::size_t maxQueuedBytes_;
  ArrivalClock clock_;
  std::string input_;
  std::size_t consumed_ = 0;  // bytes of input_
  ArrivalTimes arrivals_;     // of unread()
};

}  // namespace reedchute::client
