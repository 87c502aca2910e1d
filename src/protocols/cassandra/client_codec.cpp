#include "protocols/cassandra/client_codec.h"

#include <algorithm>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "protocols/cassandra/client_session.h"

namespace reedchute::protocols::cassandra {
namespace {

// Upper bound for the size of a segment's header and checksums.
constexpr std::size_t kSegmentOverheadBytes = 16;

void addListener(std::vector<Session*>& listeners, Session& session) {
  bool isKnown = std::find(listeners.begin(), listeners.end(), &session) != listeners.end();
  if (!isKnown) listeners.push_back(&session);
}

}  // namespace

std::unique_ptr<client::ClientCodec> ClientProtocol::newCodec(client::ClientChannel& channel) {
  return std::make_unique<Session>(*this, channel);
}

std::size_t ClientProtocol::maxMessageBytes() const {
  return std::max(config_.maxMessageBytes + cql::kHeaderSize,
                  cql::kMaxSegmentPayload + kSegmentOverheadBytes);
}

void ClientProtocol::announceDraining() {
  std::uint32_t address = config_.listen.sin_addr.s_addr;
  std::string event = cql::statusEvent("DOWN", address, ntohs(config_.listen.sin_port));
  for (Session* session : statusListeners_) session->sendEvent(event);
}

void ClientProtocol::announceSchemaChange(std::string_view event) {
  for (Session* session : schemaListeners_) session->sendEvent(event);
}

void ClientProtocol::registerForStatus(Session& session) {
  addListener(statusListeners_, session);
}

void ClientProtocol::registerForSchema(Session& session) {
  addListener(schemaListeners_, session);
}

void ClientProtocol::unregister(Session& session) {
  std::erase(statusListeners_, &session);
  std::erase(schemaListeners_, &session);
}

}  // namespace reedchute::protocols::cassandra
