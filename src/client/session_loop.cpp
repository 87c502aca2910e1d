#include "client/session_loop.h"

#include <algorithm>

#include "invariants/violations.h"
#include "log/log.h"

namespace reedchute::client {
namespace {

constexpr std::size_t kMaxDiscardedBytes = 64 * 1024;  // read after the final message
constexpr int kMaxDecodedInARow = 16;                  // messages, before others have their turn
// Of the memory for clients, from which on nobody reads further ahead than kReadAheadBytes.
constexpr std::size_t kReadAheadPart = 2;
// Graces that a connection is idle before a proxy that shuts down closes it. A client that sends
// its next request at once would meet the close with it (test termAsksAgain).
constexpr double kDrainIdleGraces = 2;
constexpr Duration kYield{1};  // until the next turn of the scheduler

}  // namespace

runtime::Task<> SessionLoop::run() {
  co_await serveRequests();
  if (!session_.isEnding || !session_.socket.isOpen()) co_return;
  if (session_.closeReason == CloseReason::finalMessage && !session_.leavesInputUnread)
    co_await closeAfterFinalMessage();
  else
    co_await closeLeavingInputUnread();
}

// What a client that has gone had sent ahead is not served any more.
bool SessionLoop::isServing() const {
  return !session_.isEnding && session_.socket.isOpen() && !session_.socket.hasPeerClosed();
}

runtime::Task<> SessionLoop::serveRequests() {
  bool isConnected = true;
  while (isConnected && isServing()) {
    if (session_.codec->isPaused()) {
      co_await waitForResponse();
    } else if (decodeNext()) {
      if (session_.codec->isPaused()) continue;
      if (++session_.decodedInARow > kMaxDecodedInARow) {
        session_.decodedInARow = 0;
        co_await yieldToOthers();
      }
      if (gathersResponses()) continue;
    } else if (session_.queued.bytes.empty() && !session_.isEnding) {
      isConnected = co_await readMore();
    }
    bool hasOutput = !session_.isEnding && !session_.queued.bytes.empty();
    if (isConnected && hasOutput) isConnected = co_await writer_.flush();
  }
}

bool SessionLoop::decodeNext() {
  ClientCodec& codec = *session_.codec;
  std::size_t used = 0;
  bool hasDecoded = codec.decodeMessage(session_.unread(), session_.arrivals(), used);
  if (hasDecoded) {
    session_.messageBegunAt = kNever;
    session_.endedByMessage = session_.isEnding &&
                              session_.closeReason == CloseReason::finalMessage;
    if (codec.pendingResponses() > 0) session_.hasSentRequest = true;
  }
  session_.consume(used);
  return hasDecoded;
}

// Responses that are ready at once go out together, as the client sent its messages together.
bool SessionLoop::gathersResponses() const {
  return session_.codec->pendingResponses() > 0 && !session_.unread().empty() &&
         session_.queued.bytes.size() < kReadAheadBytes;
}

// A client that sends without end would keep all others waiting.
runtime::Task<> SessionLoop::yieldToOthers() {
  co_await runtime::sleepUntil(context_.scheduler, context_.scheduler.now() + kYield);
}

runtime::Task<bool> SessionLoop::readMore() {
  runtime::Socket::ReadStatus status = session_.read(context_.protocol.maxMessageBytes() + 1);
  if (status == runtime::Socket::ReadStatus::closed) co_return false;
  if (status == runtime::Socket::ReadStatus::data) {
    session_.idleSince = kNever;
    // Hundreds of clients that each send most of a long message would together take all memory.
    std::size_t allBytes = context_.registry.bufferBytes();
    if (session_.inputBytes() > kReadAheadBytes && allBytes > context_.limits.maxBufferBytes) {
      log::line("client_memory_limit", "bytes=%zu", allBytes);
      session_.codec->disconnect(DisconnectReason::memoryLimit);
    }
    co_return true;
  }
  session_.decodedInARow = 0;
  if (session_.isAwaitingRequest())
    co_await waitForRequest();
  else
    co_await waitForMessage();
  co_return true;
}

runtime::Task<> SessionLoop::waitForRequest() {
  TimePoint now = context_.scheduler.now();
  session_.messageBegunAt = kNever;
  if (session_.idleSince == kNever) session_.idleSince = now;
  // Connections are few. Clients that send one request and keep their connection would leave none
  // for others, so those idle longest go as soon as their places are wanted.
  if (session_.hasSentRequest && context_.registry.idleCount() >= context_.limits.maxIdle)
    context_.registry.evictIdle();
  TimePoint until = now + context_.limits.idleTimeout;
  if (context_.registry.isDraining())
    until = session_.idleSince +
            std::min(context_.limits.firstRequestGrace * kDrainIdleGraces, kDrainIdleTime);
  if (until > now) {
    WaitFor what = session_.hasSentRequest ? WaitFor::nextRequest : WaitFor::firstRequest;
    bool isSet = co_await context_.registry.wait(session_, session_.socket.readable, what, until);
    if (isSet) co_return;
  }
  if (context_.registry.isDraining())
    session_.finish(CloseReason::draining);
  else if (context_.registry.count() * 2 > context_.limits.maxSessions)
    session_.finish(CloseReason::idle);
}

runtime::Task<> SessionLoop::waitForMessage() {
  runtime::Event& readable = session_.socket.readable;
  // The end of the connection would take the pending responses with it, so it isn't closed while
  // some are: neither to make room nor for a slow message.
  if (session_.codec->pendingResponses() > 0) {
    if (session_.unread().empty())
      session_.messageBegunAt = kNever;
    else if (session_.messageBegunAt == kNever)
      session_.messageBegunAt = context_.scheduler.now();
    co_await readable.wait();
    co_return;
  }
  if (session_.messageBegunAt == kNever) session_.messageBegunAt = context_.scheduler.now();
  TimePoint until = messageDeadline();
  bool isInTime = until > context_.scheduler.now();
  if (isInTime)
    isInTime = co_await context_.registry.wait(session_, readable, WaitFor::firstRequest, until);
  if (!isInTime) disconnectSlowClient();
}

TimePoint SessionLoop::messageDeadline() const {
  TimePoint until = session_.messageBegunAt + context_.limits.messageTimeout;
  if (!context_.registry.isDraining()) return until;
  TimePoint drainFrom = std::max(session_.messageBegunAt, context_.registry.drainingSince());
  return std::min(until, drainFrom + kDrainMessageTime);
}

// While the proxy drains, a client that has sent nothing is treated like an idle one, and one in
// the middle of a message is refused, so that it sends it elsewhere.
void SessionLoop::disconnectSlowClient() {
  bool hasStarted = session_.codec->hasCompletedStartup();
  if (context_.registry.isDraining()) {
    if (session_.unread().empty()) return session_.finish(CloseReason::draining);
    return session_.codec->disconnect(DisconnectReason::draining);
  }
  log::line("client_timeout", "what=%s", hasStarted ? "message" : "startup");
  session_.codec->disconnect(hasStarted ? DisconnectReason::messageTimeout
                                        : DisconnectReason::startupTimeout);
}

// What stays in the kernel has no known time of arrival, so some is read ahead; but hundreds of
// clients that each send much ahead would take all memory (test aheadBounded).
std::size_t SessionLoop::maxReadAheadBytes() const {
  bool mayReadMore = session_.unread().size() >= kReadAheadBytes &&
                     context_.registry.bufferBytes() <
                         context_.limits.maxBufferBytes / kReadAheadPart;
  return mayReadMore ? context_.protocol.maxMessageBytes() : kReadAheadBytes;
}

// What a client sends ahead meanwhile is read, as its end would stand behind all that it sent (test
// goesBehindMuch).
runtime::Task<> SessionLoop::waitForResponse() {
  while (session_.codec->isPaused() && session_.queued.bytes.empty()) {
    bool hasEnded = !session_.socket.isOpen() || session_.socket.hasPeerClosed() ||
                    session_.read(maxReadAheadBytes()) == runtime::Socket::ReadStatus::closed;
    if (hasEnded) {
      settle();
      session_.close(CloseReason::clientClosed);
      co_return;
    }
    co_await session_.socket.readable.wait();
  }
}

// A close over unread bytes resets the connection and may take the final message with it, so what
// the client still sends is read and dropped.
runtime::Task<> SessionLoop::closeAfterFinalMessage() {
  bool isWritten = co_await writer_.flush();
  session_.socket.shutdownWrite();
  TimePoint begun = context_.scheduler.now();
  std::size_t discarded = 0;
  while (isWritten && session_.socket.isOpen() && discarded < kMaxDiscardedBytes) {
    runtime::Socket::ReadStatus status = session_.discardAndRead();
    discarded += session_.inputBytes();
    if (status == runtime::Socket::ReadStatus::closed) break;
    if (status == runtime::Socket::ReadStatus::data) {
      co_await yieldToOthers();
      continue;
    }
    bool isSet = co_await context_.registry.wait(session_, session_.socket.readable, WaitFor::close,
                                                 lingerDeadline(begun));
    if (!isSet) break;
  }
}

// A request may come at this very moment. One that was read would need a response, while one that
// wasn't is sent again by its client, elsewhere. So nothing more is read, and the client has time
// to see the end, and what was sent before, ahead of the reset that a close over unread bytes
// brings.
runtime::Task<> SessionLoop::closeLeavingInputUnread() {
  bool isWaiting = co_await writer_.flush();
  session_.socket.shutdownWrite();
  TimePoint begun = context_.scheduler.now();
  while (isWaiting && session_.socket.isOpen() && !session_.socket.hasPeerClosed())
    isWaiting = co_await context_.registry.wait(session_, session_.socket.readable, WaitFor::close,
                                                lingerDeadline(begun));
}

TimePoint SessionLoop::lingerDeadline(TimePoint begun) const {
  TimePoint until = begun + context_.limits.linger;
  if (!context_.registry.isDraining()) return until;
  TimePoint drainFrom = context_.registry.drainingSince();
  return std::min(until, std::max(begun + kDrainLinger, drainFrom + kMinDrainTime));
}

void SessionLoop::settle() {
  ClientCodec& codec = *session_.codec;
  request::RequestCounters& counters = context_.counters;
  std::uint64_t goneBefore = counters.clientGone;
  std::size_t unsent = session_.unsentResponses();
  std::size_t pending = codec.pendingResponses();
  bool isByClient = session_.hasClientEnded || session_.endedByMessage ||
                    session_.socket.hasPeerClosed();
  const char* reason = nameOf(session_.closeReason);
  if (unsent + pending > 0 && isByClient)
    log::line("client_left", "end=%s open=%zu unsaid=%zu", reason, pending, unsent);
  else if (unsent + pending > 0)
    invariants::reportViolation(invariants::Rule::everyResponseSent, "end=%s statements=%zu",
                                reason, unsent + pending);
  if (pending > 0) codec.onClientClosed();
  // A response that the proxy failed to send is not one that its client gave up.
  counters.clientGone = isByClient ? counters.clientGone + unsent : goneBefore;
  session_.queued.responseDeadlines.clear();
  session_.sending.responseDeadlines.clear();
}

}  // namespace reedchute::client
