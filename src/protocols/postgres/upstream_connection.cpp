#include "protocols/postgres/upstream_connection.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "codec/pg/messages.h"
#include "codec/pg/statement.h"
#include "log/log.h"
#include "protocols/postgres/message_buffer.h"
#include "protocols/postgres/response_reader.h"
#include "protocols/postgres/statement_decoder.h"

namespace reedchute::protocols::postgres {

namespace pg = reedchute::pg;
using request::UpstreamRequest;

namespace {

constexpr std::size_t kMaxReadAtOnce = 64 * 1024;  // bytes read before they are parsed
// Limit on the time from the first to the last byte of a request. The request states the time left
// when its first byte is written, so by the last byte it may overstate it by at most this much.
constexpr Duration kMaxWriteTime{100'000};
constexpr const char* kUser = "web";         // the same as clients use
constexpr const char* kDatabase = "orders";  // the same as clients use
constexpr std::string_view kAuthenticationOk("\0\0\0\0", 4);

// Precedes each further request on a connection; see ResponseReader.
std::string barrier() {
  return pg::query("");
}

// Encodes the request's Query with the time left at `now`, which is recorded in the request;
// without payload, the request is a probe.
std::string encodeQuery(UpstreamRequest& request, TimePoint now) {
  if (!request.payload) return pg::query("SHOW usage");
  const auto& query = static_cast<const Query&>(*request.payload);
  request.announcedTimeoutMs = request.remainingMs(now);
  return pg::query(pg::withTimeout(query.text, query.timeoutOffset, query.timeoutSize,
                                   request.announcedTimeoutMs));
}

class Connection : public upstream::UpstreamConnection {
 public:
  Connection(UpstreamProtocol& protocol, upstream::ConnectionPools& owner, int storeIndex,
             request::ProtocolVersion protocolVersion, int fd)
      : UpstreamConnection(owner, storeIndex, protocolVersion),
        protocol_(protocol),
        socket_(owner.scheduler(), fd),
        buffer_(owner.limits().maxRowBytes) {}

  void accept(UpstreamRequest* request) override {
    request_ = request;
    socket_.readable.set();
  }
  // While the request is being written, the connection is closed. Afterwards the task is only
  // woken: a response may already have arrived, and the store's role that it contains would be lost
  // if the connection were closed without reading it (test cancelCrosses).
  void cancel(UpstreamRequest*) override {
    if (isWriting_)
      socket_.close();
    else
      socket_.readable.set();
  }
  void close() override { socket_.close(); }
  std::size_t requestCount() const override { return request_ ? 1 : 0; }
  std::size_t bufferedBytes() const override { return buffer_.capacity(); }
  runtime::Task<bool> connect(TimePoint until) override;
  runtime::Task<> serve() override;
  runtime::Task<> end() override;

 private:
  enum class ReceiveResult { message, ended, timedOut, malformed };

  runtime::Scheduler& scheduler() { return pools.scheduler(); }
  WallTime latestPlausiblePosition();
  bool isReusable();
  bool exceedsMemory();
  runtime::Task<ReceiveResult> receive(pg::Message& message, TimePoint until,
                                       bool hasBegun = false);
  bool mayFollowStartup(const pg::Message& message) const;
  runtime::Task<bool> confirmBarrier();
  runtime::Task<bool> waitForRequest();
  runtime::Task<bool> exchange();
  runtime::Task<bool> finishWriting(std::optional<std::string_view> rest);
  runtime::Task<bool> readResponse();
  void onResponseFinished(const ResponseReader& reader);
  void onResponseInterrupted(ReceiveResult cause, const ResponseReader& reader);

  UpstreamProtocol& protocol_;
  runtime::Socket socket_;
  MessageBuffer buffer_;
  UpstreamRequest* request_ = nullptr;
  bool isWriting_ = false;
  bool isExchanging_ = false;  // the store may have received the request
  bool wasUsed_ = false;       // has carried a request
};

// The latest position that is plausible now. A commit's time is rounded up, and the clocks are read
// at different moments, so a position may be ahead of this clock by up to the connect timeout.
WallTime Connection::latestPlausiblePosition() {
  return scheduler().wallClock().toWall(scheduler().now()) + pools.limits().connectTimeout;
}

// Called between requests. Whether the connection is still open, with no received data that could
// be mistaken for a response. The end of the stream may directly follow the last data, without its
// event having been handled yet, so the socket is read until it has no more data (test endsUnseen).
// Parameters and notices are dropped.
bool Connection::isReusable() {
  runtime::Socket::ReadStatus got = runtime::Socket::ReadStatus::data;
  while (got != runtime::Socket::ReadStatus::noData) {
    got = socket_.read(buffer_.bytes(), kMaxReadAtOnce);
    if (got == runtime::Socket::ReadStatus::closed) return false;
    pg::Message message;
    while (buffer_.peek(message) == MessageBuffer::Peek::message &&
           (message.type == 'S' || message.type == 'N'))
      buffer_.drop();
    if (buffer_.size() > 0) return false;
  }
  return true;
}

// Whether reading on would exceed the limit on the bytes buffered for all stores. Without it, large
// rows that many stores send at the same time could exhaust the memory.
bool Connection::exceedsMemory() {
  if (buffer_.size() <= kMaxReadAtOnce) return false;
  if (pools.bufferedBytes() <= pools.limits().maxBufferedBytes) return false;
  log::line("upstream_memory_limit", "store=%d bytes=%zu", store, pools.bufferedBytes());
  return true;
}

// Waits for the next message, which stays in the buffer until it is kept or dropped. `hasBegun`:
// the response has begun, so the store may not pause for longer than the connect timeout.
runtime::Task<Connection::ReceiveResult> Connection::receive(pg::Message& message, TimePoint until,
                                                             bool hasBegun) {
  for (;;) {
    MessageBuffer::Peek peeked = buffer_.peek(message);
    if (peeked == MessageBuffer::Peek::message) co_return ReceiveResult::message;
    if (peeked == MessageBuffer::Peek::malformed) co_return ReceiveResult::malformed;
    std::size_t messageEnd = buffer_.reserveMessage();
    if (exceedsMemory()) co_return ReceiveResult::malformed;
    std::size_t maxSize = std::max(buffer_.size() + kMaxReadAtOnce, messageEnd);
    runtime::Socket::ReadStatus got = socket_.read(buffer_.bytes(), maxSize);
    if (got == runtime::Socket::ReadStatus::data) continue;
    bool isCancelled = request_ && request_->isCancelled;
    if (got == runtime::Socket::ReadStatus::closed || isCancelled) co_return ReceiveResult::ended;
    // A message that states more bytes than are ever sent would hold the request until its
    // deadline, so the wait for the rest of a message or response is limited to the connect
    // timeout.
    TimePoint stallDeadline = scheduler().now() + pools.limits().connectTimeout;
    bool isStallLimited = (hasBegun || buffer_.hasPartialMessage()) && stallDeadline < until;
    bool isSet = co_await socket_.readable.wait(isStallLimited ? stallDeadline : until);
    if (!isSet) co_return isStallLimited ? ReceiveResult::malformed : ReceiveResult::timedOut;
  }
}

// Whether the store may send this message before its first ReadyForQuery. Of the authentication
// messages, only AuthenticationOk is supported.
bool Connection::mayFollowStartup(const pg::Message& message) const {
  switch (message.type) {
    case 'R':
      return message.payload == kAuthenticationOk;
    case 'S':
    case 'K':
    case 'N':
    case 'Z':
      return true;
    default:
      return false;
  }
}

runtime::Task<bool> Connection::connect(TimePoint until) {
  bool isConnected = co_await runtime::awaitConnected(socket_, until);
  if (!isConnected) co_return false;
  std::string startup = pg::startup(kUser, kDatabase);
  bool isSent = co_await runtime::writeAll(socket_, startup, until);
  if (!isSent) co_return false;
  for (;;) {
    pg::Message message;
    ReceiveResult received = co_await receive(message, until);
    if (received != ReceiveResult::message) co_return false;
    if (message.type == 'E') {
      std::string code(pg::errorField(message.payload, 'C'));
      log::line("upstream_rejected", "store=%d code=%s", store, code.c_str());
    }
    if (!mayFollowStartup(message)) co_return false;
    bool isReady = message.type == 'Z';
    buffer_.drop();
    if (isReady) co_return true;
  }
}

runtime::Task<> Connection::serve() {
  while (socket_.isOpen()) {
    if (wasUsed_ && !protocol_.answersBarrier(store)) {
      bool isConfirmed = co_await confirmBarrier();
      if (!isConfirmed) break;
    }
    if (!request_) request_ = pools.nextRequest(*this);
    if (!request_) {
      bool isAlive = co_await waitForRequest();
      if (!isAlive) break;
    }
    // Unsolicited data would be mistaken for the response, and a request that is written to a
    // closed connection would be lost.
    if (!isReusable()) {
      if (!request_->isCancelled) pools.requeue(std::exchange(request_, nullptr));
      break;
    }
    bool isUsable = co_await exchange();
    if (!isUsable) break;
  }
}

// Sends an empty query between requests; false unless its response is all that the store sends. The
// connection must not carry another request then.
runtime::Task<bool> Connection::confirmBarrier() {
  TimePoint until = scheduler().now() + pools.limits().connectTimeout;
  std::string query = barrier();
  bool isSent = co_await runtime::writeAll(socket_, query, until);
  if (!isSent) co_return false;
  bool isAnswered = false;
  for (;;) {
    pg::Message message;
    ReceiveResult received = co_await receive(message, until);
    if (received != ReceiveResult::message) co_return false;
    bool isReady = message.type == 'Z';
    bool isParameter = message.type == 'S' || message.type == 'N';
    bool isExpected = isParameter || (isAnswered ? isReady : message.type == 'I');
    if (!isExpected) {
      log::line("upstream_not_reusable", "store=%d message=%c", store, message.type);
      co_return false;
    }
    isAnswered = isAnswered || message.type == 'I';
    buffer_.drop();
    if (isReady) break;
  }
  buffer_.resetUnsolicitedBytes();
  protocol_.setAnswersBarrier(store, true);
  co_return true;
}

// Waits for a request while idle; returns false if the connection can no longer be used. The
// store's host closes connections that have been idle for the keepalive time, and a request written
// at that moment is lost, so the connection is closed here one connect timeout earlier.
runtime::Task<bool> Connection::waitForRequest() {
  idleSince = scheduler().now();
  pools.markReady(*this);
  TimePoint until = idleSince + pools.limits().keepalive - pools.limits().connectTimeout;
  for (;;) {
    bool isSet = co_await socket_.readable.wait(until);
    if (request_) co_return true;
    bool isAlive = isSet && isReusable();
    if (!isAlive) break;
  }
  pools.markBusy(*this);
  co_return false;
}

// Sends the request, reads its response and completes it; returns false if the connection can no
// longer be used.
runtime::Task<bool> Connection::exchange() {
  UpstreamRequest* request = request_;
  std::string query = wasUsed_ ? barrier() : std::string();
  query += encodeQuery(*request, scheduler().steadyNow());
  // The process may be suspended at any point, so as little as possible is done between this check
  // of the time and the write.
  if (!pools.maySend(*request)) {
    request_ = nullptr;
    pools.complete(request, AttemptOutcome::neverSent);
    co_return true;
  }
  std::optional<std::string_view> rest = socket_.write(query);
  bool isWritten = rest && rest->empty();
  if (isWritten) std::string().swap(query);  // frees the memory, as the response may take long
  isExchanging_ = true;
  bool isUsable = co_await finishWriting(rest);
  if (isUsable) isUsable = co_await readResponse();
  isExchanging_ = false;
  wasUsed_ = true;
  request_ = nullptr;
  pools.complete(request, request->outcome);
  co_return isUsable;
}

// Writes `rest`, the part of the request that is not written yet; nullopt if the connection has
// failed. Returns false, with the outcome set, if the last byte wasn't written in time. A read
// whose last byte is written too late is stale, and a write whose last byte is written after its
// deduplication window may take effect twice (test heldUp).
runtime::Task<bool> Connection::finishWriting(std::optional<std::string_view> rest) {
  UpstreamRequest& request = *request_;
  bool isWritten = rest && rest->empty();
  if (isWritten) request.lastByteSentAt = request.firstByteSentAt;
  TimePoint maxWriteEnd = request.firstByteSentAt + kMaxWriteTime;
  if (rest && !isWritten) {
    isWriting_ = true;
    TimePoint writeDeadline = std::min({request.deadline, request.sendBy, maxWriteEnd});
    isWritten = co_await runtime::writeAll(socket_, *rest, writeDeadline);
    if (isWritten) request.lastByteSentAt = scheduler().steadyNow();
    isWriting_ = false;
  }
  if (isWritten) co_return true;
  // A request that was cancelled or delayed while it was being written is no evidence against the
  // store: the kernel may accept the bytes late because of this process itself.
  bool isLate = scheduler().now() >= std::min(request.sendBy, maxWriteEnd);
  bool isLocalCause = request.isCancelled || isLate;
  request.outcome = isLocalCause ? AttemptOutcome::neverSent : AttemptOutcome::connectFailed;
  co_return false;
}

// Reads the response and sets the request's outcome; returns false if the connection can no longer
// be used. From here on, the store may have run the request, even if the connection fails.
runtime::Task<bool> Connection::readResponse() {
  auto framing = wasUsed_ ? ResponseReader::Framing::behindBarrier : ResponseReader::Framing::alone;
  ResponseReader reader(*request_, framing, pools.limits().maxRowBytes);
  for (;;) {
    pg::Message message;
    ReceiveResult received = co_await receive(message, request_->deadline, reader.hasBegun());
    if (received != ReceiveResult::message) {
      onResponseInterrupted(received, reader);
      co_return false;
    }
    switch (reader.onMessage(message, latestPlausiblePosition())) {
      case ResponseReader::Verdict::keep:
        buffer_.keep();
        break;
      case ResponseReader::Verdict::drop:
        buffer_.drop();
        break;
      case ResponseReader::Verdict::finished:
        onResponseFinished(reader);
        co_return !reader.hasSkipped();
      case ResponseReader::Verdict::malformed:
        onResponseInterrupted(ReceiveResult::malformed, reader);
        co_return false;
    }
  }
}

void Connection::onResponseFinished(const ResponseReader& reader) {
  if (reader.hasSkipped()) log::line("upstream_unsolicited", "store=%d", store);
  buffer_.drop();
  buffer_.resetUnsolicitedBytes();
  if (reader.isComplete()) {
    request_->outcome = AttemptOutcome::ok;
    request_->response.bytes = buffer_.takeKept();
  }
  buffer_.discardKept();  // of a failed response, which may have begun with a RowDescription
}

// Sets the outcome of a response that ended before its ReadyForQuery.
void Connection::onResponseInterrupted(ReceiveResult cause, const ResponseReader& reader) {
  UpstreamRequest& request = *request_;
  if (!reader.isSynchronized()) protocol_.setAnswersBarrier(store, false);
  if (cause == ReceiveResult::malformed) {
    log::line("upstream_protocol_error", "store=%d", store);
    // Nothing in a malformed response is trusted, in particular not that the statement didn't run.
    request.role = Role::unknown;
    request.position.reset();
    request.report = {};
    request.outcome = request.isCancelled ? AttemptOutcome::cancelled
                                          : AttemptOutcome::malformedResponse;
    return;
  }
  if (reader.hasFailed()) return;  // the outcome of the store's error stays
  if (request.isCancelled) {
    request.outcome = AttemptOutcome::cancelled;
  } else if (reader.isComplete()) {
    request.response.bytes = buffer_.takeKept();
    request.outcome = AttemptOutcome::ok;
  } else {
    bool isTimeout = cause == ReceiveResult::timedOut;
    request.outcome = isTimeout ? AttemptOutcome::timeout : AttemptOutcome::reset;
  }
}

runtime::Task<> Connection::end() {
  socket_.close();
  if (!request_) co_return;
  AttemptOutcome outcome = isExchanging_ ? AttemptOutcome::reset : AttemptOutcome::neverSent;
  pools.complete(std::exchange(request_, nullptr), outcome);
}

}  // namespace

void UpstreamProtocol::setAnswersBarrier(int store, bool answers) {
  if (answers)
    barrierStores_.insert(store);
  else
    barrierStores_.erase(store);
}

std::unique_ptr<upstream::UpstreamConnection> UpstreamProtocol::createConnection(
    upstream::ConnectionPools& pools, int store, request::ProtocolVersion version, int fd) {
  return std::make_unique<Connection>(*this, pools, store, version, fd);
}

}  // namespace reedchute::protocols::postgres
