#include "client/session_loop.h"

#include <algorithm>

#include "invariants/violations.h"
#include "log/log.h"

namespace reedchute::client {
namespace {

constexpr std::size_t kMaxDiscardedBytes = 64 * 1024;  // read after the final message
constexpr int kMaxDecodedInARow = 16;                  // messages, before other coroutines run
// Once the buffers of all clients fill this fraction of the memory for clients, no session reads
// ahead more than kReadAheadBytes.
constexpr std::size_t kReadAheadDivisor = 2;
// While the proxy shuts down, a connection is closed after being idle for this multiple of
// firstRequestGrace. Closed at once, it would cross a request that the client sends right after
// the last response (test termAsksAgain).
constexpr double kDrainIdleGraceFactor = 2;
constexpr Duration kYieldDelay{1};  // resumes in the scheduler's next round

}  // namespace

runtime::Task<> SessionLoop::run() {
  co_await serveRequests();
  checkAllDecoded();
  if (!session_.isEnding || !session_.socket.isOpen()) co_return;
  if (session_.closeReason == CloseReason::finalMessage && !session_.leavesInputUnread)
    co_await closeAfterFinalMessage();
  else
    co_await closeLeavingInputUnread();
}

// A request that was read completely gets a response, so the proxy must have decoded all of them
// before it closes a connection of its own accord.
void SessionLoop::checkAllDecoded() const {
  CloseReason reason = session_.closeReason;
  bool isOwnAccord = reason == CloseReason::draining || reason == CloseReason::idle ||
                     reason == CloseReason::evicted;
  bool isByClient = session_.hasClientEnded || session_.socket.hasPeerClosed();
  if (!isOwnAccord || isByClient || !session_.codec->hasWholeMessage(session_.unread())) return;
  invariants::reportViolation(invariants::Rule::everyResponseSent,
                              "end=%s unread=%zu undecoded=%zu", nameOf(reason),
                              session_.unread().size(), session_.codec->undecodedBytes());
}

// Requests that a client had sent ahead before it disconnected are not served any more.
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
      if (shouldBatchResponses()) continue;
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
    session_.isEndedByClientMessage = session_.isEnding &&
                                      session_.closeReason == CloseReason::finalMessage;
    if (codec.pendingResponses() > 0) session_.hasSentRequest = true;
  }
  session_.consume(used);
  return hasDecoded;
}

// Responses that are ready immediately are written together if the client sent its requests
// together.
bool SessionLoop::shouldBatchResponses() const {
  return session_.codec->pendingResponses() > 0 && session_.undecodedBytes() > 0 &&
         session_.queued.bytes.size() < kReadAheadBytes;
}

// Keeps a client that sends continuously from starving the others.
runtime::Task<> SessionLoop::yieldToOthers() {
  co_await runtime::sleepUntil(context_.scheduler, context_.scheduler.now() + kYieldDelay);
}

// How many bytes of an incomplete message may be buffered now. Hundreds of clients that each send
// most of a long message would together use up the memory, so a message that is longer than
// kReadAheadBytes may only grow into what the buffers of all clients leave of their memory. This is
// checked before its bytes are read, as each of the clients would exceed the limit by one read.
std::size_t SessionLoop::maxMessageBytes() const {
  std::size_t maxBytes = context_.protocol.maxMessageBytes() + 1;
  std::size_t undecoded = session_.undecodedBytes();
  if (undecoded < kReadAheadBytes) return std::min(kReadAheadBytes, maxBytes);
  std::size_t held = context_.registry.bufferBytes();
  std::size_t free = context_.limits.maxBufferBytes -
                     std::min(held, context_.limits.maxBufferBytes);
  return std::min(undecoded + free, maxBytes);
}

runtime::Task<bool> SessionLoop::readMore() {
  std::size_t maxBytes = maxMessageBytes();
  if (session_.undecodedBytes() >= maxBytes) {
    log::line("client_memory_limit", "bytes=%zu", context_.registry.bufferBytes());
    session_.codec->disconnect(DisconnectReason::memoryLimit);
    co_return true;
  }
  std::size_t heldByCodec = session_.undecodedBytes() - session_.unread().size();
  runtime::Socket::ReadStatus status = session_.read(maxBytes - heldByCodec);
  if (status == runtime::Socket::ReadStatus::closed) co_return false;
  if (status == runtime::Socket::ReadStatus::data) {
    session_.idleSince = kNever;
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
  // The number of connections is limited. Clients that send one request and keep their connection
  // would leave none for others, so beyond maxIdle the connection idle longest is closed.
  if (session_.hasSentRequest && context_.registry.idleCount() >= context_.limits.maxIdle)
    context_.registry.evictIdle();
  TimePoint until = now + context_.limits.idleTimeout;
  if (context_.registry.isDraining())
    until = session_.idleSince +
            std::min(context_.limits.firstRequestGrace * kDrainIdleGraceFactor, kDrainIdleTime);
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
  // Closing the connection would lose the pending responses, so while there are any it is closed
  // neither to make room nor because of a slow message.
  if (session_.codec->pendingResponses() > 0) {
    if (session_.undecodedBytes() == 0)
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

// While the proxy drains, a client that has sent nothing is treated like an idle one. A client that
// has sent part of a message is disconnected with an error, so that it sends the message to another
// proxy.
void SessionLoop::disconnectSlowClient() {
  bool hasStarted = session_.codec->hasCompletedStartup();
  if (context_.registry.isDraining()) {
    if (session_.undecodedBytes() == 0) return session_.finish(CloseReason::draining);
    return session_.codec->disconnect(DisconnectReason::draining);
  }
  log::line("client_timeout", "what=%s", hasStarted ? "message" : "startup");
  session_.codec->disconnect(hasStarted ? DisconnectReason::messageTimeout
                                        : DisconnectReason::startupTimeout);
}

// The arrival time of bytes that stay in the kernel is unknown, so some input is read ahead. The
// amount is bounded because hundreds of clients that each send much ahead would use up the memory
// (test aheadBounded).
std::size_t SessionLoop::maxReadAheadBytes() const {
  bool mayReadMore = session_.unread().size() >= kReadAheadBytes &&
                     context_.registry.bufferBytes() <
                         context_.limits.maxBufferBytes / kReadAheadDivisor;
  return mayReadMore ? context_.protocol.maxMessageBytes() : kReadAheadBytes;
}

// Input that the client sends ahead is read meanwhile, because the end of the connection is only
// seen once everything sent before it has been read (test goesBehindMuch).
runtime::Task<> SessionLoop::waitForResponse() {
  while (session_.codec->isPaused() && session_.queued.bytes.empty()) {
    bool hasEnded = !session_.socket.isOpen() || session_.socket.hasPeerClosed() ||
                    session_.read(maxReadAheadBytes()) == runtime::Socket::ReadStatus::closed;
    if (hasEnded) {
      abandonResponses();
      session_.close(CloseReason::clientClosed);
      co_return;
    }
    co_await session_.socket.readable.wait();
  }
}

// Closing a socket with unread input resets the connection, and the client may lose the final
// message. Further input is therefore read and dropped.
runtime::Task<> SessionLoop::closeAfterFinalMessage() {
  session_.releaseInput();
  bool isWritten = co_await writer_.flush();
  session_.socket.shutdownWrite();
  TimePoint lingerStart = context_.scheduler.now();
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
                                                 lingerDeadline(lingerStart));
    if (!isSet) break;
  }
}

// A request may arrive at this very moment. If it were read it would need a response; if it is left
// unread the client sends it again to another proxy. So no more input is read. Closing a socket
// with unread input resets the connection, so the client gets time beforehand to read the remaining
// output and the end of the stream.
runtime::Task<> SessionLoop::closeLeavingInputUnread() {
  session_.releaseInput();
  bool isWaiting = co_await writer_.flush();
  session_.socket.shutdownWrite();
  TimePoint lingerStart = context_.scheduler.now();
  while (isWaiting && session_.socket.isOpen() && !session_.socket.hasPeerClosed())
    isWaiting = co_await context_.registry.wait(session_, session_.socket.readable, WaitFor::close,
                                                lingerDeadline(lingerStart));
}

TimePoint SessionLoop::lingerDeadline(TimePoint lingerStart) const {
  TimePoint until = lingerStart + context_.limits.linger;
  if (!context_.registry.isDraining()) return until;
  TimePoint drainFrom = context_.registry.drainingSince();
  return std::min(until, std::max(lingerStart + kDrainLinger, drainFrom + kMinDrainTime));
}

void SessionLoop::abandonResponses() {
  ClientCodec& codec = *session_.codec;
  request::RequestCounters& counters = context_.counters;
  std::uint64_t clientGoneBefore = counters.clientGone;
  std::size_t unsent = session_.unsentResponses();
  std::size_t pending = codec.pendingResponses();
  bool isByClient = session_.hasClientEnded || session_.isEndedByClientMessage ||
                    session_.socket.hasPeerClosed();
  const char* reason = nameOf(session_.closeReason);
  if (unsent + pending > 0 && isByClient)
    log::line("client_left", "end=%s open=%zu unsaid=%zu", reason, pending, unsent);
  else if (unsent + pending > 0)
    invariants::reportViolation(invariants::Rule::everyResponseSent, "end=%s statements=%zu",
                                reason, unsent + pending);
  if (pending > 0) codec.onClientClosed();
  // Responses that the proxy failed to send are not counted as abandoned by the client.
  counters.clientGone = isByClient ? counters.clientGone + unsent : clientGoneBefore;
  session_.queued.responseDeadlines.clear();
  session_.sending.responseDeadlines.clear();
}

}  // namespace reedchute::client
