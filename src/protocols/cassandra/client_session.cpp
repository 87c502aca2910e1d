#include "protocols/cassandra/client_session.h"

#include <utility>
#include <vector>

#include "codec/cql/reply.h"
#include "log/log.h"
#include "protocols/cassandra/client_credentials.h"
#include "protocols/cassandra/client_responses.h"

namespace reedchute::protocols::cassandra {

using cql::Frame;
using cql::Framed;
using cql::Opcode;

namespace {

constexpr const char* kAuthenticator = "org.apache.cassandra.auth.PasswordAuthenticator";
constexpr const char* kCompression = "lz4";  // the only supported algorithm
constexpr int kNoStream = 0;                 // of an error that isn't the response to a request
constexpr int kEventStream = -1;
constexpr std::int32_t kNullLength = -1;        // length of a null [bytes]
constexpr int kFirstVersionWithLongHeader = 3;  // version 3 introduced stream ids of two bytes
constexpr int kFirstVersionWithSegments = 5;
constexpr int kVersionMask = 0x7f;  // of a frame's first byte; the highest bit is set in responses
constexpr int kOpcodeMask = 0xff;   // of Response::frameHeader; the flags are in the byte above
constexpr int kFlagsShift = 8;      // bits

}  // namespace

Session::Session(ClientProtocol& protocol, client::ClientChannel& channel)
    : protocol_(protocol),
      channel_(channel),
      rewriter_(protocol),
      framing_(protocol.config().maxMessageBytes) {}

Session::~Session() {
  protocol_.unregister(*this);
}

bool Session::decodeMessage(std::string_view bytes, const client::ArrivalTimes& arrivals,
                            std::size_t& used) {
  if (state_ == State::awaitingStartup && !acceptsVersionOf(bytes)) return true;
  Frame frame;
  Framed result = framing_.next(bytes, used, frame);
  isLastReceived_ = used == bytes.size() && framing_.undecodedBytes() == 0;
  // If no bytes were consumed, the frame was contained in a segment that arrived earlier.
  if (used > 0) arrivedAt_ = arrivals.arrivalOf(used);
  if (result == Framed::partial) return false;
  if (result == Framed::bad) {
    log::line("client_protocol_error", "what=\"%s\"", framing_.why());
    sendErrorAndClose(kNoStream, cql::kProtocolError, framing_.why());
    return true;
  }
  checkAndHandle(frame);
  return true;
}

bool Session::acceptsVersionOf(std::string_view bytes) {
  if (bytes.empty()) return true;
  int version = bytes[0] & kVersionMask;
  if (version >= cql::kLowestVersion && version <= highestVersion()) return true;
  bool hasLongHeader = version >= kFirstVersionWithLongHeader;
  // The stream id, which the error needs, may not have arrived yet.
  if (bytes.size() < cql::kHeaderSize && hasLongHeader) return true;
  Frame frame;
  cql::readFrame(bytes, SIZE_MAX, frame);
  // The error is sent in the highest supported version, with which the driver then reconnects.
  version_ = highestVersion();
  log::line("client_version", "version=%d", version);
  sendErrorAndClose(hasLongHeader ? frame.stream : kNoStream, cql::kProtocolError,
                    unsupportedVersionText(version, protocol_.config().v5));
  return false;
}

void Session::checkAndHandle(const Frame& frame) {
  auto reject = [&](std::string_view text) {
    sendErrorAndClose(frame.stream, cql::kProtocolError, text);
  };
  if (frame.isResponse || !cql::isRequestOpcode(frame.opcode)) {
    log::line("client_protocol_error", "what=opcode");
    return reject("the opcode isn't a known request");
  }
  if (state_ != State::awaitingStartup && frame.version != version_)
    return reject("the protocol version differs from that of the connection's first frame");
  if (frame.stream < 0) return reject("the stream id is negative");
  if (pending_.contains(frame.stream)) {
    // The client couldn't tell which of the two statements a response on this stream belongs to.
    log::line("client_protocol_error", "what=stream");
    return reject("the stream id is used by a pending request");
  }
  handle(frame);
}

void Session::handle(const Frame& frame) {
  if (state_ == State::awaitingStartup) version_ = frame.version;
  switch (frame.opcode) {
    case Opcode::options:
      return send(frame.stream, Opcode::supported, supportedBody(protocol_.config().v5));
    case Opcode::startup:
      return handleStartup(frame);
    case Opcode::authResponse:
      return handleAuthResponse(frame);
    default:
      break;
  }
  if (state_ != State::ready)
    return sendErrorAndClose(frame.stream, cql::kProtocolError,
                             "the request requires a completed startup");
  if (frame.opcode == Opcode::reg) return handleRegister(frame);
  handleStatement(frame);
}

void Session::handleStartup(const Frame& frame) {
  cql::StartupOptions options;
  if (state_ != State::awaitingStartup)
    return sendProtocolError(frame.stream, "STARTUP was already received");
  if (!cql::readStartup(frame.body, options))
    return sendErrorAndClose(frame.stream, cql::kProtocolError, "malformed STARTUP");
  bool isCompressed = !options.compression.empty();
  if (isCompressed && options.compression != kCompression)
    return sendErrorAndClose(frame.stream, cql::kProtocolError,
                             "unsupported COMPRESSION in STARTUP; only lz4 is supported");
  bool needsPassword = !protocol_.config().user.empty();
  if (needsPassword) {
    std::string body;
    cql::addString(body, kAuthenticator);
    send(frame.stream, Opcode::authenticate, body);
    state_ = State::awaitingPassword;
  } else {
    send(frame.stream, Opcode::ready, {});
    state_ = State::ready;
  }
  // The response to STARTUP is sent uncompressed and outside of a segment; compression and segments
  // apply from the next frame on.
  if (isCompressed) framing_.enableCompression();
  if (version_ >= kFirstVersionWithSegments) framing_.enableSegments();
}

void Session::handleAuthResponse(const Frame& frame) {
  if (state_ != State::awaitingPassword)
    return sendProtocolError(frame.stream, "unexpected AUTH_RESPONSE");
  ClientCredentials credentials = readCredentials(frame.body);
  // Always compares both, so that the response time doesn't reveal which one is wrong.
  bool isUserCorrect = isSameSecret(credentials.user, protocol_.config().user);
  bool isPasswordCorrect = isSameSecret(credentials.password, protocol_.config().password);
  if (!credentials.isWellFormed || !isUserCorrect || !isPasswordCorrect) {
    log::line("client_refused", "what=password");
    return sendErrorAndClose(frame.stream, cql::kBadCredentials, "incorrect user name or password");
  }
  std::string body;
  cql::addInt(body, kNullLength);
  send(frame.stream, Opcode::authSuccess, body);
  state_ = State::ready;
}

void Session::handleRegister(const Frame& frame) {
  std::vector<std::string_view> events;
  if (!cql::readRegister(frame.body, events))
    return sendProtocolError(frame.stream, "malformed REGISTER");
  bool wantsStatus = false;
  bool wantsSchema = false;
  for (std::string_view event : events) {
    if (event == "STATUS_CHANGE")
      wantsStatus = true;
    else if (event == "SCHEMA_CHANGE")
      wantsSchema = true;
    else if (event != "TOPOLOGY_CHANGE")
      return sendProtocolError(
          frame.stream,
          "unknown event type in REGISTER; known are TOPOLOGY_CHANGE, STATUS_CHANGE and "
          "SCHEMA_CHANGE");
  }
  if (wantsStatus) protocol_.registerForStatus(*this);
  if (wantsSchema) protocol_.registerForSchema(*this);
  send(frame.stream, Opcode::ready, {});
}

void Session::handleStatement(const Frame& frame) {
  // If the client has already sent its next request, closing the connection would lose that
  // request. The connection is therefore closed only if this frame is the last one received and no
  // response is pending.
  bool canClose = isLastReceived_ && pending_.isEmpty();
  if (canClose && !protocol_.handler().acceptsReceivedAt(arrivedAt_))
    return sendShuttingDownAndClose(frame.stream);
  DecodeResult decoded = protocol_.decoder().decode(frame, keyspace_, protocol_.scheduler().now(),
                                                    protocol_.scheduler().wallClock());
  if (!decoded.useKeyspace.empty()) keyspace_ = decoded.useKeyspace;
  if (!decoded.statement) return send(frame.stream, decoded.opcode, decoded.body);
  request::ReceivedStatement& statement = *decoded.statement;
  statement.receivedAt = arrivedAt_;
  statement.version = protocol_.protocolVersion(version_);
  decoded.pending.deadline = statement.receivedAt + statement.timeout;
  // The handler may respond before admit() returns, so the request is added first.
  pending_.add(frame.stream, std::move(decoded.pending));
  int index = protocol_.handler().admit(std::move(statement), *this, frame.stream);
  pending_.setStatement(frame.stream, index);
}

void Session::disconnect(client::DisconnectReason reason) {
  switch (reason) {
    case client::DisconnectReason::atCapacity:
      return sendErrorAndClose(kNoStream, cql::kOverloaded, "too many client connections");
    case client::DisconnectReason::memoryLimit:
      return sendErrorAndClose(kNoStream, cql::kOverloaded,
                               "not enough memory for a message of this length");
    case client::DisconnectReason::startupTimeout:
      return sendErrorAndClose(kNoStream, cql::kProtocolError,
                               "the startup was not completed in time");
    case client::DisconnectReason::messageTimeout:
      return sendErrorAndClose(kNoStream, cql::kProtocolError,
                               "the message was not completed in time");
    case client::DisconnectReason::draining:
      return sendShuttingDownAndClose(kNoStream);
  }
}

void Session::onClientClosed() {
  // The handler ends the statements one by one. None of them gets a response.
  for (int statement : pending_.takeAllStatements()) protocol_.handler().onClientLeft(statement);
}

void Session::onCompleted(int stream, request::Response response, int store,
                          std::optional<WallTime> position) {
  Pending pending = pending_.take(stream);
  auto flags = static_cast<std::uint8_t>(response.frameHeader >> kFlagsShift);
  auto opcode = static_cast<Opcode>(response.frameHeader & kOpcodeMask);
  if (opcode == Opcode::result) {
    StoreResult result{.version = version_,
                       .flags = flags,
                       .body = std::move(response.bytes),
                       .store = store,
                       .position = position};
    response.bytes = rewriter_.rewrite(std::move(result), pending);
  }
  sendResponse(pending, flags, stream, opcode, response.bytes);
}

void Session::onRejected(int stream, Duration retryAfter) {
  Pending pending = pending_.take(stream);
  std::uint8_t flags = retryAfter > Duration{} ? cql::kPayload : 0;
  sendResponse(pending, flags, stream, Opcode::error, rejectionBody(retryAfter));
}

void Session::onAborted(int stream) {
  Pending pending = pending_.take(stream);
  sendResponse(pending, 0, stream, Opcode::error, abortBody(pending, version_));
}

void Session::sendEvent(std::string_view event) {
  send(kEventStream, Opcode::event, event);
}

std::string Session::encodeFrame(std::uint8_t flags, int stream, Opcode opcode,
                                 std::string_view body) const {
  constexpr bool kIsResponse = true;
  std::string bytes;
  framing_.put(bytes, kIsResponse, version_, flags, static_cast<std::int16_t>(stream), opcode,
               body);
  return bytes;
}

void Session::send(int stream, Opcode opcode, std::string_view body) {
  channel_.send(encodeFrame(0, stream, opcode, body));
}

void Session::sendResponse(const Pending& pending, std::uint8_t flags, int stream, Opcode opcode,
                           std::string_view body) {
  channel_.sendResponse(encodeFrame(flags, stream, opcode, body), pending.deadline);
}

void Session::sendProtocolError(int stream, std::string_view text) {
  send(stream, Opcode::error, cql::errorBody(cql::kProtocolError, text));
}

void Session::sendErrorAndClose(int stream, std::int32_t code, std::string_view text) {
  send(stream, Opcode::error, cql::errorBody(code, text));
  channel_.closeAfterFlush();
}

void Session::sendShuttingDownAndClose(int stream) {
  send(stream, Opcode::error,
       cql::errorBody(cql::kBootstrapping, "the proxy is shutting down; connect to another host"));
  channel_.closeForDrain();
}

}  // namespace reedchute::protocols::cassandra
