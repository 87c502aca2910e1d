#include "protocols/postgres/client_codec.h"

#include <utility>
#include <variant>

#include "codec/pg/messages.h"
#include "log/log.h"
#include "protocols/postgres/ordered_replies.h"

namespace reedchute::protocols::postgres {
namespace pg = reedchute::pg;
namespace {

// A 64 KiB value as hex digits, plus the rest of the statement.
constexpr std::size_t kMaxMessageBytes = 160 * 1024;
constexpr std::size_t kMaxStartupBytes = 10'000;  // same limit as PostgreSQL
constexpr std::int32_t kProtocolMajorVersion = 3;

constexpr std::string_view kShuttingDownCode = "57P03";  // cannot_connect_now
constexpr std::string_view kShuttingDownText =
    "this server is shutting down; connect to another server";

// Message types of the extended query and COPY protocols, which are ignored until the next Sync.
constexpr std::string_view kSkippedTypes = "BEDCHdcfp";

// One client connection. Pipelined statements of a client run concurrently, as long as the client
// can observe this only through timing: replies are sent in statement order, a write waits for the
// replies to all earlier statements, and statements after a write wait for its reply.
class Session : public client::ClientCodec, public request::ResponseSink {
 public:
  // `bufferedReplyBytes`: bytes of the replies of all clients that wait for an earlier reply.
  Session(const CodecContext& context, std::size_t& bufferedReplyBytes,
          client::ClientChannel& channel)
      : context_(context),
        bufferedReplyBytes_(bufferedReplyBytes),
        channel_(channel),
        replies_(channel, bufferedReplyBytes) {}

  // ClientCodec
  bool decodeMessage(std::string_view bytes, const client::ArrivalTimes& arrivals,
                     std::size_t& used) override {
    return hasCompletedStartup_ ? decodeRequest(bytes, arrivals, used) : decodeStartup(bytes, used);
  }
  bool hasWholeMessage(std::string_view bytes) const override;
  bool hasCompletedStartup() const override { return hasCompletedStartup_; }
  std::size_t pendingResponses() const override { return replies_.size(); }
  bool isPaused() const override;
  std::size_t bufferedResponses() const override { return replies_.bufferedResponses(); }
  void disconnect(client::DisconnectReason reason) override;
  void onClientClosed() override {
    replies_.clear([this](int statement) { context_.handler.onClientLeft(statement); });
  }

  // ResponseSink
  void onCompleted(int requestId, request::Response response, int,
                   std::optional<WallTime>) override {
    replies_.complete(requestId, std::move(response.bytes) + pg::ready());
  }
  void onRejected(int requestId, Duration retryAfter) override;
  // The statement may have run, so the code must not be 53300 or 57P03, which state that a retry is
  // safe.
  void onAborted(int requestId) override {
    replies_.complete(
        requestId, pg::error(false, "57014", "aborted: the statement may have run") + pg::ready());
  }
  bool isClientGone() const override { return channel_.isClientGone(); }

 private:
  void reply(std::string bytes) { replies_.addComplete(std::move(bytes), AfterReply::keepOpen); }
  void replyError(std::string_view sqlState, std::string_view text) {
    reply(pg::error(false, sqlState, text) + pg::ready());
  }
  // Sends a fatal error as the connection's last reply.
  void close(std::string_view sqlState, std::string_view text,
             AfterReply after = AfterReply::close) {
    replies_.addComplete(pg::error(true, sqlState, text), after);
  }

  bool decodeStartup(std::string_view bytes, std::size_t& used);
  void onStartup(std::int32_t code);
  bool decodeRequest(std::string_view bytes, const client::ArrivalTimes& arrivals,
                     std::size_t& used);
  void onOtherMessage(char type);
  void onQuery(std::string_view text, TimePoint receivedAt, bool isLast, std::size_t& used);
  void admit(request::ReceivedStatement statement, bool isWrite);

  const CodecContext& context_;
  const std::size_t& bufferedReplyBytes_;
  client::ClientChannel& channel_;
  OrderedReplies replies_;
  bool hasCompletedStartup_ = false;
};

bool Session::hasWholeMessage(std::string_view bytes) const {
  if (hasCompletedStartup_) {
    pg::Message message;
    return pg::frame(bytes, kMaxMessageBytes, message) == pg::Framed::whole;
  }
  std::int32_t code = 0;
  std::size_t used = 0;
  return pg::frameStartup(bytes, kMaxStartupBytes, code, used) == pg::Framed::whole;
}

bool Session::isPaused() const {
  if (replies_.empty()) return false;
  if (replies_.isBlocked() || replies_.endsConnection()) return true;
  return replies_.size() >= context_.pipeline.maxStatements ||
         bufferedReplyBytes_ > context_.pipeline.maxBufferedBytes ||
         !context_.handler.hasCapacity();
}

void Session::disconnect(client::DisconnectReason reason) {
  switch (reason) {
    case client::DisconnectReason::atCapacity:
      return close("53300", "too many clients");
    case client::DisconnectReason::memoryLimit:
      return close("53200", "out of memory: message is too long to buffer");
    case client::DisconnectReason::startupTimeout:
      return close("08P01", "timed out waiting for the startup message");
    case client::DisconnectReason::messageTimeout:
      return close("08P01", "timed out waiting for the rest of a message");
    case client::DisconnectReason::draining:
      return close(kShuttingDownCode, kShuttingDownText, AfterReply::closeForDrain);
  }
}

void Session::onRejected(int requestId, Duration retryAfter) {
  std::string retryAfterMs;
  if (retryAfter > Duration{}) retryAfterMs = std::to_string(retryAfter.us / 1000);
  std::string error = pg::error(false, "53300", "rejected: retrying is safe", retryAfterMs);
  replies_.complete(requestId, error + pg::ready());
}

bool Session::decodeStartup(std::string_view bytes, std::size_t& used) {
  std::int32_t code = 0;
  pg::Framed framed = pg::frameStartup(bytes, kMaxStartupBytes, code, used);
  if (framed == pg::Framed::partial) return false;
  if (framed == pg::Framed::bad) {
    used = 0;
    log::line("client_protocol_error", "what=startup");
    close("08P01", "startup message has an invalid length");
    return true;
  }
  onStartup(code);
  return true;
}

void Session::onStartup(std::int32_t code) {
  if (code == pg::kSslCode || code == pg::kGssCode) return reply("N");
  if (code == pg::kCancelCode) return channel_.closeNow();
  if (code >> 16 != kProtocolMajorVersion)
    return close("0A000", "unsupported protocol version: only version 3 is supported");
  reply(pg::greeting());
  hasCompletedStartup_ = true;
}

bool Session::decodeRequest(std::string_view bytes, const client::ArrivalTimes& arrivals,
                            std::size_t& used) {
  pg::Message message;
  pg::Framed framed = pg::frame(bytes, kMaxMessageBytes, message);
  if (framed == pg::Framed::partial) return false;
  if (framed == pg::Framed::bad) {
    log::line("client_protocol_error", "what=message");
    close("08P01", "message has an invalid length");
    return true;
  }
  used = message.whole.size();
  if (message.type != 'Q') {
    onOtherMessage(message.type);
    return true;
  }
  std::optional<std::string_view> text = pg::takeString(message.payload);
  if (text && message.payload.empty())
    onQuery(*text, arrivals.arrivalOf(used), used == bytes.size(), used);
  else
    replyError("08P01", "Query message is not a single zero-terminated string");
  return true;
}

// Only the simple query protocol is supported. The error for an extended query is sent without
// ReadyForQuery, because ReadyForQuery is the reply to the Sync that follows.
void Session::onOtherMessage(char type) {
  constexpr std::string_view kOnlySimpleQueries = "only the simple query protocol is supported";
  switch (type) {
    case 'X':  // Terminate
      return replies_.addComplete({}, AfterReply::close);
    case 'S':  // Sync
      return reply(pg::ready());
    case 'P':  // Parse
      return reply(pg::error(false, "0A000", kOnlySimpleQueries));
    case 'F':  // FunctionCall
      return replyError("0A000", kOnlySimpleQueries);
    default:
      if (kSkippedTypes.find(type) != std::string_view::npos) return;
      log::line("client_protocol_error", "what=type");
      close("08P01", "unknown message type");
  }
}

// `isLast`: no bytes have been received after the query. Sets `used` to 0 if the query has to wait
// for the replies to earlier ones; it is then decoded again.
void Session::onQuery(std::string_view text, TimePoint receivedAt, bool isLast, std::size_t& used) {
  // While draining: if the connection were closed after this query's reply, a client that sends its
  // next request immediately could lose it. Instead, this query is refused before any of it runs.
  if (isLast && replies_.empty() && !context_.handler.acceptsReceivedAt(receivedAt))
    return close(kShuttingDownCode, kShuttingDownText, AfterReply::closeForDrain);
  auto decoded = context_.decoder.decode(text, context_.scheduler.now(),
                                         context_.scheduler.wallClock());
  if (auto* immediate = std::get_if<ImmediateReply>(&decoded))
    return reply(std::move(immediate->bytes));
  auto& statement = std::get<request::ReceivedStatement>(decoded);
  statement.version = context_.version;
  statement.receivedAt = receivedAt;
  bool isWrite = context_.decoder.isWrite(statement.arrival.workload);
  if (replies_.blockIfOrdered(isWrite)) {
    used = 0;
    return;
  }
  admit(std::move(statement), isWrite);
}

void Session::admit(request::ReceivedStatement statement, bool isWrite) {
  int requestId = replies_.addPending(isWrite, statement.receivedAt + statement.timeout);
  int index = context_.handler.admit(std::move(statement), *this, requestId);
  bool isAdmitted = index >= 0;  // if not, its reply has already been completed
  if (isAdmitted) replies_.setStatement(index);
}

}  // namespace

std::unique_ptr<client::ClientCodec> ClientProtocol::newCodec(client::ClientChannel& channel) {
  return std::make_unique<Session>(context_, bufferedReplyBytes_, channel);
}

std::size_t ClientProtocol::maxMessageBytes() const {
  return kMaxMessageBytes;
}

}  // namespace reedchute::protocols::postgres
