// One client connection of the Cassandra protocol: decodes frames, performs the startup handshake,
// passes statements to the handler and encodes the responses. No I/O of its own: bytes are sent
// through the client channel.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "codec/cql/framing.h"
#include "protocols/cassandra/client_codec.h"
#include "protocols/cassandra/pending_requests.h"
#include "protocols/cassandra/response_rewriter.h"

namespace reedchute::protocols::cassandra {

class Session : public client::ClientCodec, public request::ResponseSink {
 public:
  Session(ClientProtocol& protocol, client::ClientChannel& channel);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // ClientCodec
  bool hasWholeMessage(std::string_view bytes) const override { return framing_.hasFrame(bytes); }
  std::size_t undecodedBytes() const override { return framing_.undecodedBytes(); }
  std::size_t inputBufferBytes() const override { return framing_.bufferedBytes(); }
  bool hasCompletedStartup() const override { return state_ == State::ready; }
  std::size_t pendingResponses() const override { return pending_.count(); }
  bool isPaused() const override { return pending_.count() >= protocol_.config().streams; }
  bool decodeMessage(std::string_view bytes, const client::ArrivalTimes& arrivals,
                     std::size_t& used) override;
  void disconnect(client::DisconnectReason reason) override;
  void onClientClosed() override;

  // ResponseSink; the request id is the stream id.
  void onCompleted(int stream, request::Response response, int store,
                   std::optional<WallTime> position) override;
  void onRejected(int stream, Duration retryAfter) override;
  void onAborted(int stream) override;
  bool isClientGone() const override { return channel_.isClientGone(); }

  // Sends an EVENT with the body `event`.
  void sendEvent(std::string_view event);

 private:
  enum class State { awaitingStartup, awaitingPassword, ready };

  int highestVersion() const { return protocol_.config().v5 ? 5 : 4; }
  // Checks the version in the first bytes of the connection. If it isn't supported, sends an error,
  // closes the connection and returns false.
  bool acceptsVersionOf(std::string_view bytes);
  // Handles the frame, or closes the connection if the frame violates the protocol.
  void checkAndHandle(const cql::Frame& frame);
  void handle(const cql::Frame& frame);
  void handleStartup(const cql::Frame& frame);
  void handleAuthResponse(const cql::Frame& frame);
  void handleRegister(const cql::Frame& frame);
  void handleStatement(const cql::Frame& frame);

  std::string encodeFrame(std::uint8_t flags, int stream, cql::Opcode opcode,
                          std::string_view body) const;
  // Sends a frame that isn't the response to a pending statement.
  void send(int stream, cql::Opcode opcode, std::string_view body);
  void sendResponse(const Pending& pending, std::uint8_t flags, int stream, cql::Opcode opcode,
                    std::string_view body);
  // Sends a protocol error; the connection stays open.
  void sendProtocolError(int stream, std::string_view text);
  void sendErrorAndClose(int stream, std::int32_t code, std::string_view text);
  void sendShuttingDownAndClose(int stream);

  ClientProtocol& protocol_;
  client::ClientChannel& channel_;
  const ResponseRewriter rewriter_;
  cql::Framing framing_;
  State state_ = State::awaitingStartup;
  int version_ = cql::kLowestVersion;
  std::string keyspace_;
  TimePoint arrivedAt_;  // when the last byte of the last decoded frame arrived
  // No bytes were received after the last decoded frame, in the same segment or behind it.
  bool isLastReceived_ = false;
  PendingRequests pending_;
};

}  // namespace reedchute::protocols::cassandra
