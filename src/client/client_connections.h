// The client connections of one protocol: its listening socket and a session per connection.
// Decides which clients are accepted, rejected, or evicted to make room for others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "client/acceptor.h"
#include "client/client_limits.h"
#include "client/client_protocol.h"
#include "client/session_context.h"
#include "client/session_registry.h"
#include "request/request_counters.h"

namespace reedchute::client {

class ClientConnections : private AcceptorOwner {
 public:
  using Limits = ClientLimits;

  ClientConnections(runtime::Scheduler& scheduler, ClientProtocol& protocol,
                    request::RequestCounters& counters, const Limits& limits);

  // Opens the listener and returns its port. Clients wait in the accept queue until
  // startAccepting() and are then accepted until stopListening(). Throws std::system_error if the
  // address can't be bound.
  int listen(const sockaddr_in& address);
  void startAccepting();
  runtime::Task<> stopListening();
  // Ends each session as soon as it is idle: now, or after its pending responses.
  void drain() { registry_.drain(); }

  std::size_t sessionCount() const { return registry_.count(); }
  // Number of responses that have not been written completely to the kernel yet.
  std::size_t responsesBeingWritten() const { return registry_.unsentResponses(); }
  // Connections closed for `reason` since process start.
  std::uint64_t closedCount(CloseReason reason) const { return registry_.closedCount(reason); }

 private:
  // AcceptorHost
  void onAccepted(int fd, TimePoint acceptableSince) override;
  std::optional<TimePoint> pauseUntil() override;
  void onDescriptorsExhausted() override;

  // Evicts a session if the limit is reached. Returns false if the new client must be rejected.
  bool makeRoom();
  runtime::Task<> serve(std::unique_ptr<Session> session);
  runtime::Task<> reject(std::unique_ptr<Session> session);

  const Limits limits_;
  SessionRegistry registry_;
  SessionContext context_;
  Acceptor acceptor_;
  std::size_t rejectingCount_ = 0;
};

}  // namespace reedchute::client
