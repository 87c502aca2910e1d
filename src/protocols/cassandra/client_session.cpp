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
constexpr const char* kCompression = "lz4";  // the only one offered
constexpr int kNoStream = 0;                 // of an error that belongs to no request
constexpr int kEventStream = -1;
constexpr std::int32_t kNullLength = -1;  // of a [bytes] that is null
constexpr int kLowestWithLongHeader = 3;  // from this version on a stream has two bytes
constexpr int kFirstWithSegments = 5;
constexpr int kVersionMask = 0x7f;  // of a frame's first byte; the highest bit marks responses
constexpr int kOpcodeMask = 0xff;   // of Response::frameHeader; the flags stand above it
constexpr int kFlagsShift = 8;      // bits

}  // namespace

Session::Session(ClientProtocol& protocol, client::ClientChannel& channel)
    : protocol_(protocol),
      channel_(channel),
      rewriter_(protocol),
      framing_(protocol.config().mostBody) {}

Session::~Session() {
  protocol_.unregister(*this);
}

bool Session::decodeMessage(std::string_view bytes, const client::ArrivalTimes& arrivals,
                            std::size_t& used) {
  if (state_ == State::awaitingStartup && !acceptsVersionOf(bytes)) return true;
  Frame frame;
  Framed result = framing_.next(bytes, used, frame);
  isLastReceived_ = used == bytes.size();
  // Where no bytes are used, the frame stood in a segment that arrived before.
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
  bool hasLongHeader = version >= kLowestWithLongHeader;
  // The stream hasn't arrived yet.
  if (bytes.size() < cql::kHeaderSize && hasLongHeader) return true;
  Frame frame;
  cql::readFrame(bytes, SIZE_MAX, frame);
  // The error is sent in the highest version, with which a driver then connects again.
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
    return reject("no request that is known");
  }
  if (state_ != State::awaitingStartup && frame.version != version_)
    return reject("another version than the connection began with");
  if (frame.stream < 0) return reject("a negative stream");
  if (pending_.contains(frame.stream)) {
    // A response on this stream could be taken for either statement's.
    log::line("client_protocol_error", "what=stream");
    return reject("a stream that is still open");
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
    return sendErrorAndClose(frame.stream, cql::kProtocolError, "STARTUP comes first");
  if (frame.opcode == Opcode::reg) return handleRegister(frame);
  handleStatement(frame);
}

void Session::handleStartup(const Frame& frame) {
  cql::StartupOptions options;
  if (state_ != State::awaitingStartup) return sendProtocolError(frame.stream, "a second STARTUP");
  if (!cql::readStartup(frame.body, options))
    return sendErrorAndClose(frame.stream, cql::kProtocolError, "a STARTUP that can't be read");
  bool isCompressed = !options.compression.empty();
  if (isCompressed && options.compression != kCompression)
    return sendErrorAndClose(frame.stream, cql::kProtocolError, "a compression that isn't offered");
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
  // The response to STARTUP itself is bare, so compression and segments begin after it.
  if (isCompressed) framing_.enableCompression();
  if (version_ >= kFirstWithSegments) framing_.enableSegments();
}

void Session::handleAuthResponse(const Frame& frame) {
  if (state_ != State::awaitingPassword)
    return sendProtocolError(frame.stream, "nobody asked for a password");
  ClientCredentials credentials = readCredentials(frame.body);
  // Both are always compared, so that the time doesn't tell which one is wrong.
  bool isUserRight = isSameSecret(credentials.user, protocol_.config().user);
  bool isPasswordRight = isSameSecret(credentials.password, protocol_.config().password);
  if (!credentials.isWellFormed || !isUserRight || !isPasswordRight) {
    log::line("client_refused", "what=password");
    return sendErrorAndClose(frame.stream, cql::kBadCredentials,
                             "user or password are not those set up here");
  }
  std::string body;
  cql::addInt(body, kNullLength);
  send(frame.stream, Opcode::authSuccess, body);
  state_ = State::ready;
}

void Session::handleRegister(const Frame& frame) {
  std::vector<std::string_view> events;
  if (!cql::readRegister(frame.body, events))
    return sendProtocolError(frame.stream, "a REGISTER that can't be read");
  bool wantsStatus = false;
  bool wantsSchema = false;
  for (std::string_view event : events) {
    if (event == "STATUS_CHANGE")
      wantsStatus = true;
    else if (event == "SCHEMA_CHANGE")
      wantsSchema = true;
    else if (event != "TOPOLOGY_CHANGE")
      return sendProtocolError(frame.stream, "an event that isn't known");
  }
  if (wantsStatus) protocol_.registerForStatus(*this);
  if (wantsSchema) protocol_.registerForSchema(*this);
  send(frame.stream, Opcode::ready, {});
}

void Session::handleStatement(const Frame& frame) {
  // A client that has sent its next request already would meet the end of the connection with it,
  // so the connection closes only where this frame is the last one.
  bool mayClose = isLastReceived_ && pending_.isEmpty();
  if (mayClose && !protocol_.handler().acceptsReceivedAt(arrivedAt_))
    return sendShuttingDownAndClose(frame.stream);
  DecodeResult decoded = protocol_.decoder().decode(frame, keyspace_, protocol_.scheduler().now(),
                                                    protocol_.scheduler().wallClock());
  if (!decoded.useKeyspace.empty()) keyspace_ = decoded.useKeyspace;
  if (!decoded.statement) return send(frame.stream, decoded.opcode, decoded.body);
  request::ReceivedStatement& statement = *decoded.statement;
  statement.receivedAt = arrivedAt_;
  statement.version = protocol_.rowOf(version_);
  decoded.pending.until = statement.receivedAt + statement.timeout;
  // The handler may respond before it returns the statement's index, so the request is added first.
  pending_.add(frame.stream, std::move(decoded.pending));
  int index = protocol_.handler().admit(std::move(statement), *this, frame.stream);
  pending_.setStatement(frame.stream, index);
}

void Session::disconnect(client::DisconnectReason reason) {
  switch (reason) {
    case client::DisconnectReason::atCapacity:
      return sendErrorAndClose(kNoStream, cql::kOverloaded, "too many clients");
    case client::DisconnectReason::memoryLimit:
      return sendErrorAndClose(kNoStream, cql::kOverloaded,
                               "no memory is left for so long a message");
    case client::DisconnectReason::startupTimeout:
      return sendErrorAndClose(kNoStream, cql::kProtocolError, "no STARTUP in time");
    case client::DisconnectReason::messageTimeout:
      return sendErrorAndClose(kNoStream, cql::kProtocolError,
                               "a message that was not finished in time");
    case client::DisconnectReason::draining:
      return sendShuttingDownAndClose(kNoStream);
  }
}

void Session::onClientClosed() {
  // The statements end one by one, and none is answered any more.
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
  channel_.sendResponse(encodeFrame(flags, stream, opcode, body), pending.until);
}

void Session::sendProtocolError(int stream, std::string_view text) {
  send(stream, Opcode::error, cql::errorBody(cql::kProtocolError, text));
}

void Session::sendErrorAndClose(int stream, std::int32_t code, std::string_view text) {
  send(stream, Opcode::error, cql::errorBody(code, text));
  channel_.closeAfterFlush();
}

void Session::sendShuttingDownAndClose(int stream) {
  send(stream, Opcode::error, cql::errorBody(cql::kBootstrapping, "shutting down: ask another"));
  channel_.closeForDrain();
}

}  // namespace reedchute::protocols::cassandra
