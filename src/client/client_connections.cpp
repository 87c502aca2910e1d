#include "client/client_connections.h"

#include <exception>
#include <utility>

#include "client/session_loop.h"
#include "log/log.h"

namespace reedchute::client {
namespace {

// Clients rejected at the same time; further ones wait in the accept queue.
constexpr std::size_t kMaxConcurrentRejections = 8;
// One client may leave this fraction of the memory for all clients unread, plus kReadAheadBytes.
constexpr std::size_t kQueuedBytesDivisor = 8;

}  // namespace

ClientConnections::ClientConnections(runtime::Scheduler& scheduler, ClientProtocol& protocol,
                                     request::RequestCounters& counters, const Limits& limits)
    : limits_(limits),
      registry_(scheduler, limits_),
      context_{scheduler, protocol, counters, limits_, registry_},
      acceptor_(scheduler, *this, limits.linger) {}

int ClientConnections::listen(const sockaddr_in& address) {
  return acceptor_.listen(address);
}

void ClientConnections::startAccepting() {
  context_.scheduler.spawn(acceptor_.run());
}

runtime::Task<> ClientConnections::stopListening() {
  return acceptor_.drainAndClose();
}

std::optional<TimePoint> ClientConnections::pauseUntil() {
  if (rejectingCount_ >= kMaxConcurrentRejections) return context_.scheduler.now() + limits_.linger;
  return registry_.nextEvictionAt();
}

void ClientConnections::onDescriptorsExhausted() {
  log::line("descriptors_exhausted", "sessions=%zu", registry_.count());
  registry_.evictOne();
}

bool ClientConnections::makeRoom() {
  if (registry_.count() < limits_.maxSessions) return true;
  log::line("client_limit_reached", "sessions=%zu idle=%zu", registry_.count(),
            registry_.idleCount());
  if (registry_.evictOne()) return true;
  log::line("client_rejected", "sessions=%zu", registry_.count());
  return false;
}

void ClientConnections::onAccepted(int fd, TimePoint acceptableSince) {
  bool hasRoom = makeRoom();
  std::size_t maxQueuedBytes = limits_.maxBufferBytes / kQueuedBytesDivisor + kReadAheadBytes;
  auto session = std::make_unique<Session>(context_.scheduler, context_.protocol, fd,
                                           maxQueuedBytes, acceptableSince, limits_.linger);
  registry_.add(*session);
  if (hasRoom) {
    context_.scheduler.spawn(serve(std::move(session)));
  } else {
    ++rejectingCount_;
    context_.scheduler.spawn(reject(std::move(session)));
  }
}

// The final message answers the client's first request. Further requests are left unread: if they
// were read they would get no response, while the client sends unread ones again to another proxy
// (test rejectedPipeline).
runtime::Task<> ClientConnections::reject(std::unique_ptr<Session> session) {
  session->leavesInputUnread = true;
  session->codec->disconnect(DisconnectReason::atCapacity);
  co_await serve(std::move(session));
  --rejectingCount_;
}

runtime::Task<> ClientConnections::serve(std::unique_ptr<Session> session) {
  SessionLoop loop(*session, context_);
  // If an exception left this coroutine, the session would stay registered and its statements
  // pending (test clientFaults).
  try {
    co_await loop.run();
  } catch (const std::exception& error) {
    log::line("task_failed", "what=\"%s\"", error.what());
    session->close(CloseReason::taskFailed);
  }
  loop.abandonResponses();
  registry_.remove(*session);
}

}  // namespace reedchute::client
