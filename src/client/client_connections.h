// The clients of one protocol: its listening socket, and a session for each connection. Decides who
// is accepted, who is rejected, and who makes room.
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

class ClientConnections : private AcceptorHost {
 public:
  using Limits = ClientLimits;

  ClientConnections(runtime::Scheduler& scheduler, ClientProtocol& protocol,
                    request::RequestCounters& counters, const Limits& limits);

  // Returns the port; throws where the address can't be had. New clients wait in the kernel until
  // startAccepting(); from then on they are accepted until stopListening().
  int listen(const sockaddr_in& address);
  void startAccepting();
  runtime::Task<> stopListening();
  // From now on sessions end when they are idle, at once or after their response.
  void drain() { registry_.drain(); }

  std::size_t sessionCount() const { return registry_.count(); }
  // Responses to statements that the kernel hasn't taken whole yet.
  std::size_t responsesBeingWritten() const { return registry_.unsentResponses(); }
  // Connections that have ended since the start.
  std::uint64_t closedCount(CloseReason reason) const { return registry_.closedCount(reason); }

 private:
  // AcceptorHost
  void onAccepted(int fd, TimePoint waitedSince) override;
  std::optional<TimePoint> pauseUntil() override;
  void onDescriptorsExhausted() override;

  // Makes room for one more session; false where the client is to be rejected.
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
