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

constexpr std::size_t kMaxReadAtOnce = 64 * 1024;  // bytes, before they are parsed
// A store is told the time left as the first byte is written; at the last it may be told a little
// more than is left.
constexpr Duration kMaxWriteTime{100'000};
constexpr const char* kUser = "web";         // as clients give it
constexpr const char* kDatabase = "orders";  // as clients give it
constexpr std::string_view kAuthenticationOk("\0\0\0\0", 4);

std::string queryOf(UpstreamRequest& request, TimePoint now) {
  if (!request.payload) return pg::query("SHOW usage");
  const auto& query = static_cast<const Query&>(*request.payload);
  request.toldMs = request.leftMs(now);
  return pg::query(pg::withWait(query.text, query.waitOffset, query.waitSize, request.toldMs));
}

class Connection : public upstream::UpstreamConnection {
 public:
  Connection(upstream::ConnectionPools& owner, int storeIndex,
             request::ProtocolVersion protocolVersion, int fd)
      : UpstreamConnection(owner, storeIndex, protocolVersion),
        socket_(owner.scheduler(), fd),
        buffer_(owner.limits().maxRowBytes) {}

  void accept(UpstreamRequest* request) override {
    request_ = request;
    socket_.readable.set();
  }
  // A response may have come already, and with it what its store is; unread it would be lost with
  // the connection (test cancelCrosses). While the request is written it is only stopped.
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
  enum class Receive { message, ended, timedOut, malformed };

  runtime::Scheduler& scheduler() { return pools.scheduler(); }
  WallTime newestPosition();
  bool isQuiet();
  bool exceedsMemory();
  runtime::Task<Receive> receive(pg::Message& message, TimePoint until, bool hasBegun = false);
  bool mayFollowStartup(const pg::Message& message) const;
  runtime::Task<bool> waitForRequest();
  runtime::Task<bool> exchange();
  runtime::Task<bool> finishWriting(std::optional<std::string_view> rest);
  runtime::Task<bool> readResponse();
  void onResponseFinished(const ResponseReader& reader);
  void onResponseCut(Receive cause, const ResponseReader& reader);

  runtime::Socket socket_;
  MessageBuffer buffer_;
  UpstreamRequest* request_ = nullptr;
  bool isWriting_ = false;
  bool isExchanging_ = false;  // the store may have had the request
};

// A commit's time is rounded up, and clocks are read at different moments: a little ahead is no
// untruth.
WallTime Connection::newestPosition() {
  return scheduler().wallClock().toWall(scheduler().now()) + pools.limits().connectTimeout;
}

// Between requests: is the connection still open, and has nothing come that could be mistaken for a
// response? The end may stand right behind what came last, and its event may not have been seen
// yet, so everything is read up to where nothing is left (test endsUnseen).
bool Connection::isQuiet() {
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

// Rows that all stores send at once would together take all memory there is.
bool Connection::exceedsMemory() {
  if (buffer_.size() <= kMaxReadAtOnce) return false;
  if (pools.bufferedBytes() <= pools.limits().maxBufferedBytes) return false;
  log::line("upstream_memory_limit", "store=%d bytes=%zu", store, pools.bufferedBytes());
  return true;
}

// The next message, which is in the buffer until it is kept or dropped. `hasBegun`: a response has,
// and its store may make no long pause.
runtime::Task<Connection::Receive> Connection::receive(pg::Message& message, TimePoint until,
                                                       bool hasBegun) {
  for (;;) {
    MessageBuffer::Peek peeked = buffer_.peek(message);
    if (peeked == MessageBuffer::Peek::message) co_return Receive::message;
    if (peeked == MessageBuffer::Peek::malformed) co_return Receive::malformed;
    std::size_t whole = buffer_.reserveMessage();
    if (exceedsMemory()) co_return Receive::malformed;
    std::size_t most = std::max(buffer_.size() + kMaxReadAtOnce, whole);
    runtime::Socket::ReadStatus got = socket_.read(buffer_.bytes(), most);
    if (got == runtime::Socket::ReadStatus::data) continue;
    bool isCancelled = request_ && request_->cancelled;
    if (got == runtime::Socket::ReadStatus::closed || isCancelled) co_return Receive::ended;
    // A length that promises more than ever comes would hold the request for all of its time.
    TimePoint stallsAt = scheduler().now() + pools.limits().connectTimeout;
    bool mayStall = (hasBegun || buffer_.hasPartialMessage()) && stallsAt < until;
    bool isSet = co_await socket_.readable.wait(mayStall ? stallsAt : until);
    if (!isSet) co_return mayStall ? Receive::malformed : Receive::timedOut;
  }
}

// Of the ways to authenticate only 'authentication ok' is spoken here.
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
  bool isUp = co_await runtime::awaitConnected(socket_, until);
  if (!isUp) co_return false;
  std::string startup = pg::startup(kUser, kDatabase);
  bool isSent = co_await runtime::writeAll(socket_, startup, until);
  if (!isSent) co_return false;
  for (;;) {
    pg::Message message;
    Receive received = co_await receive(message, until);
    if (received != Receive::message) co_return false;
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
    if (!request_) request_ = pools.nextRequest(*this);
    if (!request_) {
      bool isAlive = co_await waitForRequest();
      if (!isAlive) break;
    }
    // What the store sent unasked would pass for the response, and a request written to a
    // connection that has ended would be lost.
    if (!isQuiet()) {
      if (!request_->cancelled) pools.requeue(std::exchange(request_, nullptr));
      break;
    }
    bool isUsable = co_await exchange();
    if (!isUsable) break;
  }
}

// Waits while idle; false where the connection is of no more use. The store's machine closes what
// has been idle for the stated time, and a request that is written just then is lost: a connection
// is given up a connect time-out earlier.
runtime::Task<bool> Connection::waitForRequest() {
  idleSince = scheduler().now();
  pools.markReady(*this);
  TimePoint until = idleSince + pools.limits().keepalive - pools.limits().connectTimeout;
  for (;;) {
    bool isSet = co_await socket_.readable.wait(until);
    if (request_) co_return true;
    bool isAlive = isSet && isQuiet();
    if (!isAlive) break;
  }
  pools.markBusy(*this);
  co_return false;
}

// Sends the request, reads its response and completes it; false where the connection is of no more
// use.
runtime::Task<bool> Connection::exchange() {
  UpstreamRequest* request = request_;
  std::string query = queryOf(*request, scheduler().steadyNow());
  // The process may stand still anywhere, so as little as can be lies between this look at the
  // time and the write.
  if (!pools.maySend(*request)) {
    request_ = nullptr;
    pools.complete(request, AttemptOutcome::neverSent);
    co_return true;
  }
  std::optional<std::string_view> rest = socket_.write(query);
  bool isWritten = rest && rest->empty();
  if (isWritten) std::string().swap(query);  // responses may take long
  isExchanging_ = true;
  bool isUsable = co_await finishWriting(rest);
  if (isUsable) isUsable = co_await readResponse();
  isExchanging_ = false;
  request_ = nullptr;
  pools.complete(request, request->outcome);
  co_return isUsable;
}

// Writes the rest of the request, if its connection holds; false, with the outcome set, where the
// last byte didn't leave in time. A read whose last byte leaves too late is a stale one, and a
// write that leaves too late for its window has a second effect (test heldUp).
runtime::Task<bool> Connection::finishWriting(std::optional<std::string_view> rest) {
  UpstreamRequest& request = *request_;
  bool isWritten = rest && rest->empty();
  if (isWritten) request.wholeAt = request.leftAt;
  TimePoint writtenBy = request.leftAt + kMaxWriteTime;
  if (rest && !isWritten) {
    isWriting_ = true;
    TimePoint wholeBy = std::min({request.until, request.sendBy, writtenBy});
    isWritten = co_await runtime::writeAll(socket_, *rest, wholeBy);
    if (isWritten) request.wholeAt = scheduler().steadyNow();
    isWriting_ = false;
  }
  if (isWritten) co_return true;
  // A request that was cancelled while it was written, or held up on its way, says nothing about
  // the store: the kernel may take it late for this process's own sake.
  bool isLate = scheduler().now() >= std::min(request.sendBy, writtenBy);
  bool isInnocent = request.cancelled || isLate;
  request.outcome = isInnocent ? AttemptOutcome::neverSent : AttemptOutcome::connectFailed;
  co_return false;
}

// Reads the response and sets the request's outcome. From here on the store may have run it,
// whatever becomes of the connection.
runtime::Task<bool> Connection::readResponse() {
  ResponseReader reader(*request_);
  for (;;) {
    pg::Message message;
    Receive received = co_await receive(message, request_->until, reader.hasBegun());
    if (received != Receive::message) {
      onResponseCut(received, reader);
      co_return false;
    }
    switch (reader.onMessage(message, newestPosition())) {
      case ResponseReader::Verdict::keep:
        buffer_.keep();
        break;
      case ResponseReader::Verdict::drop:
        buffer_.drop();
        break;
      case ResponseReader::Verdict::finished:
        onResponseFinished(reader);
        co_return true;
      case ResponseReader::Verdict::malformed:
        onResponseCut(Receive::malformed, reader);
        co_return false;
    }
  }
}

void Connection::onResponseFinished(const ResponseReader& reader) {
  buffer_.drop();
  buffer_.resetUnrequested();
  if (reader.isComplete()) {
    request_->outcome = AttemptOutcome::ok;
    request_->answer.bytes = buffer_.takeKept();
  }
  buffer_.discardKept();  // an error may have come in a row's place
}

// The response has ended before the store was ready again.
void Connection::onResponseCut(Receive cause, const ResponseReader& reader) {
  UpstreamRequest& request = *request_;
  if (cause == Receive::malformed) {
    log::line("upstream_protocol_error", "store=%d", store);
    // Nothing of a malformed response is to be believed, least of all that the statement never ran.
    request.role = Role::unknown;
    request.position.reset();
    request.report = {};
    request.outcome = request.cancelled ? AttemptOutcome::cancelled
                                        : AttemptOutcome::malformedResponse;
    return;
  }
  if (reader.hasFailed()) return;  // the store's word stands
  if (request.cancelled) {
    request.outcome = AttemptOutcome::cancelled;
  } else if (reader.isComplete()) {
    request.answer.bytes = buffer_.takeKept();
    request.outcome = AttemptOutcome::ok;
  } else {
    bool isTimeout = cause == Receive::timedOut;
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

std::unique_ptr<upstream::UpstreamConnection> UpstreamProtocol::createConnection(
    upstream::ConnectionPools& pools, int store, request::ProtocolVersion version, int fd) {
  return std::make_unique<Connection>(pools, store, version, fd);
}

}  // namespace reedchute::protocols::postgres
