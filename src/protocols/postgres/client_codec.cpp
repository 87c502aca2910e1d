#include "protocols/postgres/client_codec.h"

#include <utility>
#include <variant>

#include "codec/pg/messages.h"
#include "log/log.h"
#include "protocols/postgres/ordered_replies.h"

namespace reedchute::protocols::postgres {
namespace pg = reedchute::pg;
namespace {

// Bytes: a value of 64 KiB in hex digits, and the rest.
constexpr std::size_t kMaxMessageBytes = 160 * 1024;
constexpr std::size_t kMaxStartupBytes = 10'000;  // as PostgreSQL has it
constexpr std::int32_t kProtocolMajorVersion = 3;

constexpr std::string_view kShuttingDown = "57P03";  // cannot_connect_now
constexpr std::string_view kShuttingDownText = "this server is shutting down: ask another";

// Message types of extended queries and copies, which are skipped up to the next Sync.
constexpr std::string_view kSkippedTypes = "BEDCHdcfp";

// One client's connection. Statements of one client run side by side as far as only their timing
// shows it: replies go out in the order of the statements, a write waits for the replies to all
// statements before it, and statements behind a write wait for its reply.
class Session : public client::ClientCodec, public request::ResponseSink {
 public:
  // `bufferedReplyBytes`: replies that wait for their turn, of all clients.
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
  // Not 53300 or 57P03, which tell a client that a retry is harmless: the statement may have run.
  void onAborted(int requestId) override {
    replies_.complete(requestId,
                      pg::error(false, "57014", "aborted: it may have run") + pg::ready());
  }
  bool isClientGone() const override { return channel_.isClientGone(); }

 private:
  void reply(std::string bytes) { replies_.addComplete(std::move(bytes), AfterReply::keepOpen); }
  void replyError(std::string_view sqlState, std::string_view text) {
    reply(pg::error(false, sqlState, text) + pg::ready());
  }
  // Sends a fatal error as the last reply of the connection.
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
      return close("53200", "no memory is left for so long a message");
    case client::DisconnectReason::startupTimeout:
      return close("08P01", "no startup message in time");
    case client::DisconnectReason::messageTimeout:
      return close("08P01", "a message that was not finished in time");
    case client::DisconnectReason::draining:
      return close(kShuttingDown, kShuttingDownText, AfterReply::closeForDrain);
  }
}

void Session::onRejected(int requestId, Duration retryAfter) {
  std::string retryAfterMs;
  if (retryAfter > Duration{}) retryAfterMs = std::to_string(retryAfter.us / 1000);
  std::string error = pg::error(false, "53300", "rejected: trying again does no harm",
                                retryAfterMs);
  replies_.complete(requestId, error + pg::ready());
}

bool Session::decodeStartup(std::string_view bytes, std::size_t& used) {
  std::int32_t code = 0;
  pg::Framed framed = pg::frameStartup(bytes, kMaxStartupBytes, code, used);
  if (framed == pg::Framed::partial) return false;
  if (framed == pg::Framed::bad) {
    used = 0;
    log::line("client_protocol_error", "what=startup");
    close("08P01", "the startup message can't be read");
    return true;
  }
  onStartup(code);
  return true;
}

void Session::onStartup(std::int32_t code) {
  if (code == pg::kSslCode || code == pg::kGssCode) return reply("N");
  if (code == pg::kCancelCode) return channel_.closeNow();
  if (code >> 16 != kProtocolMajorVersion)
    return close("0A000", "only version 3 of the protocol is spoken here");
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
    close("08P01", "a message whose length makes no sense");
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
    replyError("08P01", "a query without its end");
  return true;
}

// Only simple queries are spoken. The error to an extended query comes without ReadyForQuery, which
// is the reply to its Sync.
void Session::onOtherMessage(char type) {
  constexpr std::string_view kOnlySimple = "only simple queries are spoken here";
  switch (type) {
    case 'X':  // Terminate
      return replies_.addComplete({}, AfterReply::close);
    case 'S':  // Sync
      return reply(pg::ready());
    case 'P':  // Parse
      return reply(pg::error(false, "0A000", kOnlySimple));
    case 'F':  // FunctionCall
      return replyError("0A000", kOnlySimple);
    default:
      if (kSkippedTypes.find(type) != std::string_view::npos) return;
      log::line("client_protocol_error", "what=type");
      close("08P01", "a message of an unknown type");
  }
}

// `isLast`: no bytes have arrived behind the query. `used` becomes 0 if the query has to wait for
// replies to earlier ones; it is decoded again then.
void Session::onQuery(std::string_view text, TimePoint receivedAt, bool isLast, std::size_t& used) {
  // A client that sends its next request at once would meet the end of the connection with it. It
  // is told with this one instead, of which nothing has run.
  if (isLast && replies_.empty() && !context_.handler.acceptsReceivedAt(receivedAt))
    return close(kShuttingDown, kShuttingDownText, AfterReply::closeForDrain);
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
  bool isAdmitted = index >= 0;  // otherwise its reply has been completed already
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
