#include "client/client_connections.h"

#include <exception>
#include <utility>

#include "client/session_loop.h"
#include "log/log.h"

namespace reedchute::client {
namespace {

constexpr std::size_t kMaxRejecting = 8;  // clients being rejected; the next waits in the kernel
constexpr std::size_t kQueuedPart = 8;    // of the memory for clients, that one may leave unread

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
  if (rejectingCount_ >= kMaxRejecting) return context_.scheduler.now() + limits_.linger;
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

void ClientConnections::onAccepted(int fd, TimePoint waitedSince) {
  bool hasRoom = makeRoom();
  std::size_t maxQueuedBytes = limits_.maxBufferBytes / kQueuedPart + kReadAheadBytes;
  auto session = std::make_unique<Session>(context_.scheduler, context_.protocol, fd,
                                           maxQueuedBytes, waitedSince, limits_.linger);
  registry_.add(*session);
  if (hasRoom) {
    context_.scheduler.spawn(serve(std::move(session)));
  } else {
    ++rejectingCount_;
    context_.scheduler.spawn(reject(std::move(session)));
  }
}

// The final message answers the client's first request. Further ones that were read would have no
// response, while unread ones are sent again by their client, elsewhere (test rejectedPipeline).
runtime::Task<> ClientConnections::reject(std::unique_ptr<Session> session) {
  session->leavesInputUnread = true;
  session->codec->disconnect(DisconnectReason::atCapacity);
  co_await serve(std::move(session));
  --rejectingCount_;
}

runtime::Task<> ClientConnections::serve(std::unique_ptr<Session> session) {
  SessionLoop loop(*session, context_);
  // An exception that left this coroutine would leave its session registered and its statements
  // open (test clientFaults).
  try {
    co_await loop.run();
  } catch (const std::exception& error) {
    log::line("task_failed", "what=\"%s\"", error.what());
    session->close(CloseReason::taskFailed);
  }
  loop.settle();
  registry_.remove(*session);
}

}  // namespace reedchute::client
