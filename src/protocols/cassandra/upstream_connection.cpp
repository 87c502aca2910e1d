#include "protocols/cassandra/upstream_connection.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "log/log.h"
#include "protocols/cassandra/statement_decoder.h"
#include "protocols/cassandra/streams.h"
#include "protocols/cassandra/upstream_response.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;
using cql::Frame;
using cql::Framed;
using cql::Opcode;
using request::UpstreamRequest;

namespace {

constexpr std::size_t kMaxReadAtOnce = 64 * 1024;  // bytes, before they are parsed
constexpr double kPreparationShare = 1.0 / 8;      // of the requests that a connection carries
constexpr double kParkedCheckInterval = 0.02;      // connect time-outs
constexpr int kMaxRepreparations = 2;              // of what a store has lost, by one attempt
constexpr int kMaxFramesInARow = 32;               // of one store before others have their turn
constexpr std::size_t kMaxOrphanShare = 2;         // one in so many streams
constexpr Duration kTurnForOthers{1};              // microseconds

std::string startupBody(const Config& config) {
  std::string body;
  cql::addShort(body, config.storeCompression ? 2 : 1);
  cql::addString(body, "CQL_VERSION");
  cql::addString(body, "3.0.0");
  if (config.storeCompression) {
    cql::addString(body, "COMPRESSION");
    cql::addString(body, "lz4");
  }
  return body;
}

// SASL PLAIN: an identity to act for, the user and the password, set apart by zero bytes.
std::string credentialsBody(const Config& config) {
  std::string token(1, '\0');
  token += config.storeUser;
  token += '\0';
  token += config.storePassword;
  std::string body;
  cql::addBytes(body, token);
  return body;
}

class Connection : public upstream::UpstreamConnection {
 public:
  Connection(UpstreamProtocol& protocol, upstream::ConnectionPools& owner, int storeIndex,
             request::ProtocolVersion protocolVersion, int fd)
      : UpstreamConnection(owner, storeIndex, protocolVersion),
        protocol_(protocol),
        socket_(owner.scheduler(), fd),
        writerEnded_(owner.scheduler()),
        framing_(owner.limits().maxRowBytes),
        streams_(protocol.config().storeStreams) {}

  void accept(UpstreamRequest* request) override {
    incoming_.push_back(request);
    socket_.readable.set();
  }
  // The decision engine may be asking, so nothing ends before this connection's own turn.
  void cancel(UpstreamRequest*) override { socket_.readable.set(); }
  void close() override { socket_.close(); }
  void drain() override;
  std::size_t requestCount() const override { return streams_.takenCount() + incoming_.size(); }
  std::size_t bufferedBytes() const override {
    return in_.capacity() + out_.capacity() + beingWritten_.capacity() + framing_.bufferedBytes();
  }
  runtime::Task<bool> connect(TimePoint until) override;
  runtime::Task<> serve() override;
  runtime::Task<> end() override;

 private:
  runtime::Scheduler& scheduler() { return pools.scheduler(); }
  UpstreamProtocol::StoreState& storeState() { return protocol_.storeState(store); }
  WallTime newestPosition();
  bool isIdle() const { return streams_.requestCount() == 0 && incoming_.empty(); }
  bool failProtocol(const char* what);

  runtime::Task<bool> exchangeHandshake(Frame& reply, TimePoint until);
  runtime::Task<bool> readFrame(Frame& frame, TimePoint until);

  bool readFrames(TimePoint now);
  bool readMore(TimePoint now, bool& hasMore);
  bool exceedsMemory();
  bool onFrame(const Frame& frame);
  bool onMalformedFrame(int stream);
  void onPrepared(int stream, const Frame& frame, const cql::Reply& reply);
  void onResponse(int stream, const Frame& frame, const cql::Reply& reply);
  bool mayPrepareAgain(const Streams::Stream& stream, const Frame& frame,
                       const cql::Reply& reply) const;

  void begin(int stream);
  void beginNew();
  void beginParked();
  void prepare(int stream, const PreparedRef& text);
  void send(int stream, const Statement* statement);
  void put(int stream, std::uint8_t flags, Opcode opcode, std::string_view body);
  bool writeQueued(TimePoint now);
  runtime::Task<> writeRest();

  void endUnwanted(TimePoint now);
  void complete(int stream, AttemptOutcome outcome, bool responseMayCome);
  void completeAll();
  AttemptOutcome outcomeAtEnd(const Streams::Stream& stream) const;
  bool isUsedUp(TimePoint now) const;
  TimePoint idleLimit() const;
  TimePoint drainLimit() const { return drainedAt_ + pools.limits().connectTimeout; }
  TimePoint nextDeadline() const;
  TimePoint nextWakeUp(TimePoint now) const;

  UpstreamProtocol& protocol_;
  runtime::Socket socket_;
  runtime::Event writerEnded_;
  cql::Framing framing_;
  Streams streams_;
  std::deque<UpstreamRequest*> incoming_;  // accepted, without a stream yet
  std::string in_;
  std::size_t parsedSize_ = 0;                        // of `in_`
  std::string out_;                                   // to be written
  std::string beingWritten_;                          // when the kernel takes no more at once
  std::uint64_t queuedBytes_ = 0, writtenBytes_ = 0;  // since the connection began
  TimePoint partSince_ = kNever;                      // since when a part of a frame stands in in_
  TimePoint lastReadAt_ = kNever;
  TimePoint drainedAt_ = kNever;
  bool isDraining_ = false, isWriting_ = false, isBroken_ = false;
  bool mayHaveMore_ = false;  // more than one turn's frames may have come
};

void Connection::drain() {
  if (isDraining_) return;
  isDraining_ = true;
  drainedAt_ = scheduler().now();
  pools.markBusy(*this);
  socket_.readable.set();
}

WallTime Connection::newestPosition() {
  return scheduler().wallClock().toWall(scheduler().now()) + pools.limits().connectTimeout;
}

void Connection::put(int stream, std::uint8_t flags, Opcode opcode, std::string_view body) {
  std::size_t before = out_.size();
  framing_.put(out_, false, protocol_.version(), flags, static_cast<std::int16_t>(stream), opcode,
               body);
  queuedBytes_ += out_.size() - before;
}

// Nothing that follows can be believed.
bool Connection::failProtocol(const char* what) {
  log::line("upstream_protocol_error", "store=%d what=\"%s\"", store, what);
  isBroken_ = true;
  return false;
}

// Writes what the kernel didn't take at once.
runtime::Task<> Connection::writeRest() {
  while (!out_.empty() && !isBroken_) {
    beingWritten_ = std::exchange(out_, {});
    std::string_view rest = beingWritten_;
    while (!rest.empty() && !isBroken_) {
      std::optional<std::string_view> left = socket_.write(rest);
      if (!left) {
        isBroken_ = true;
        break;
      }
      writtenBytes_ += rest.size() - left->size();
      rest = *left;
      if (rest.empty()) break;
      bool isWritable =
          co_await socket_.writable.wait(scheduler().now() + pools.limits().keepalive);
      if (!isWritable) isBroken_ = true;
    }
  }
  beingWritten_ = {};
  isWriting_ = false;
  socket_.readable.set();
  writerEnded_.set();
}

runtime::Task<bool> Connection::readFrame(Frame& frame, TimePoint until) {
  for (;;) {
    std::size_t used = 0;
    in_.erase(0, std::exchange(parsedSize_, 0));
    Framed framed = framing_.next(in_, used, frame);
    parsedSize_ = used;
    if (framed == Framed::whole) co_return true;
    if (framed == Framed::bad) co_return failProtocol(framing_.why());
    runtime::Socket::ReadStatus got = socket_.read(in_, in_.size() + kMaxReadAtOnce);
    if (got == runtime::Socket::ReadStatus::data) continue;
    if (got == runtime::Socket::ReadStatus::closed) co_return false;
    bool isSet = co_await socket_.readable.wait(until);
    if (!isSet) co_return false;
  }
}

// Writes what is queued and reads the reply to it; false where there is none or it is an error.
runtime::Task<bool> Connection::exchangeHandshake(Frame& reply, TimePoint until) {
  std::string bytes = std::exchange(out_, {});
  writtenBytes_ += bytes.size();
  bool isSent = co_await runtime::writeAll(socket_, bytes, until);
  if (!isSent) co_return false;
  bool isRead = co_await readFrame(reply, until);
  if (!isRead || !reply.isResponse || reply.version != protocol_.version()) co_return false;
  if (reply.opcode != Opcode::error) co_return true;
  cql::Cursor cursor(reply.body);
  log::line("upstream_rejected", "store=%d code=%04x", store,
            static_cast<unsigned>(cursor.fourBytes()));
  co_return false;
}

runtime::Task<bool> Connection::connect(TimePoint until) {
  bool isUp = co_await runtime::awaitConnected(socket_, until);
  if (!isUp) co_return false;
  const Config& config = protocol_.config();
  put(0, 0, Opcode::startup, startupBody(config));
  Frame reply;
  bool hasReply = co_await exchangeHandshake(reply, until);
  if (!hasReply) co_return false;
  // Both hold from the first reply on.
  if (config.storeCompression) framing_.enableCompression();
  if (protocol_.version() >= 5) framing_.enableSegments();
  if (reply.opcode == Opcode::authenticate) {
    put(0, 0, Opcode::authResponse, credentialsBody(config));
    hasReply = co_await exchangeHandshake(reply, until);
    if (!hasReply) co_return false;
  }
  bool isReady = reply.opcode == Opcode::ready || reply.opcode == Opcode::authSuccess;
  co_return isReady && !isDraining_;
}

void Connection::complete(int stream, AttemptOutcome outcome, bool responseMayCome) {
  Streams::Stream& here = streams_.at(stream);
  UpstreamRequest* request = here.request;
  if (std::exchange(here.isPaced, false)) storeState().pace.onEnded(false);
  streams_.end(stream, responseMayCome);
  pools.complete(request, outcome);
}

// What an attempt needs is prepared first, one text after the other and on its own stream; what
// another request of this connection is preparing is waited for.
void Connection::begin(int stream) {
  UpstreamRequest& request = *streams_.at(stream).request;
  // What waited here may be written too late, for nobody, or to a store that drains by now.
  if (isDraining_ || !pools.isStillWanted(request))
    return complete(stream, AttemptOutcome::neverSent, false);
  const auto* statement = static_cast<const Statement*>(request.payload);
  if (!statement) return send(stream, nullptr);
  UpstreamProtocol::StoreState& state = storeState();
  for (const PreparedRef& text : statement->requiredTexts) {
    if (state.prepared.find(text->id)) continue;
    if (!streams_.isPreparing(text->id) && state.pace.mayBegin()) prepare(stream, text);
    return;
  }
  send(stream, statement);
}

void Connection::prepare(int stream, const PreparedRef& text) {
  std::string body;
  cql::addLongString(body, text->text);
  if (protocol_.version() >= 5) cql::addInt(body, 0);
  streams_.beginPreparing(stream, text->id);
  streams_.at(stream).isPaced = true;
  storeState().pace.onBegun();
  put(stream, 0, Opcode::prepare, body);
}

void Connection::send(int stream, const Statement* statement) {
  Streams::Stream& here = streams_.at(stream);
  UpstreamRequest& request = *here.request;
  if (!pools.maySend(request)) return complete(stream, AttemptOutcome::neverSent, false);
  here.state = Streams::State::sent;
  if (statement) {
    std::vector<std::string> ids;
    for (const PreparedRef& text : statement->requiredTexts)
      ids.push_back(storeState().prepared.find(text->id)->id);
    request.announcedTimeoutMs = request.remainingMs(scheduler().steadyNow());
    put(stream, statement->flags, statement->opcode,
        encodeBody(*statement, request.announcedTimeoutMs, ids));
  } else {
    put(stream, 0, Opcode::options, {});
  }
  here.sentAtByte = queuedBytes_;
}

// Behind what the kernel doesn't take a request would be written long after its time, so it waits
// unwritten.
void Connection::beginNew() {
  while (!isWriting_ && out_.size() < kMaxReadAtOnce && !streams_.isFull() && !isDraining_) {
    UpstreamRequest* request = nullptr;
    if (incoming_.empty()) {
      request = pools.nextRequest(*this);
    } else {
      request = incoming_.front();
      incoming_.pop_front();
    }
    if (!request) return;
    begin(streams_.begin(request));
  }
}

void Connection::beginParked() {
  if (isWriting_) return;
  for (int stream : streams_.parked()) begin(stream);
}

TimePoint Connection::nextDeadline() const {
  TimePoint next = kForever;
  for (int stream : streams_.withRequest())
    next = std::min(next, streams_.at(stream).request->deadline);
  return next;
}

// Ends the requests whose time is up or that are not wanted any more.
void Connection::endUnwanted(TimePoint now) {
  for (int stream : streams_.withRequest()) {
    const Streams::Stream& here = streams_.at(stream);
    const UpstreamRequest& request = *here.request;
    if (!request.isCancelled && request.deadline > now) continue;
    // What waits for the kernel to take it counts as sent: it can't be taken back. What was only
    // prepared never ran, and a time-out would say that it may have.
    bool isSent = here.state == Streams::State::sent;
    bool isOut = isSent || here.state == Streams::State::preparing;
    AttemptOutcome ifCancelled = isSent ? AttemptOutcome::cancelled : AttemptOutcome::neverSent;
    AttemptOutcome ifLate = isSent ? AttemptOutcome::timeout : AttemptOutcome::connectFailed;
    // A connection on which nothing comes is likely dead, and each request given to it loses its
    // time.
    if (!request.isCancelled && isOut && lastReadAt_ < request.startedAt) drain();
    complete(stream, request.isCancelled ? ifCancelled : ifLate, isOut);
  }
  // Responses that never come would use up the streams one by one.
  if (streams_.orphanCount() * kMaxOrphanShare > protocol_.config().storeStreams) drain();
}

// What was written may have run, and nothing else has.
AttemptOutcome Connection::outcomeAtEnd(const Streams::Stream& stream) const {
  bool isWritten = stream.state == Streams::State::sent && stream.sentAtByte <= writtenBytes_;
  if (stream.request->isCancelled)
    return isWritten ? AttemptOutcome::cancelled : AttemptOutcome::neverSent;
  return isWritten ? AttemptOutcome::reset : AttemptOutcome::connectFailed;
}

void Connection::completeAll() {
  for (int stream : streams_.withRequest())
    complete(stream, outcomeAtEnd(streams_.at(stream)), false);
  while (!incoming_.empty()) {
    UpstreamRequest* request = incoming_.back();
    incoming_.pop_back();
    if (request->isCancelled || isDraining_)
      pools.complete(request, AttemptOutcome::neverSent);
    else
      pools.requeue(request);
  }
}

void Connection::onPrepared(int stream, const Frame& frame, const cql::Reply& reply) {
  Streams::Stream& here = streams_.at(stream);
  UpstreamProtocol::StoreState& state = storeState();
  bool isPrepared = frame.opcode == Opcode::result && reply.kind == cql::ResultKind::prepared;
  if (std::exchange(here.isPaced, false)) state.pace.onEnded(isPrepared);
  if (isPrepared) {
    state.prepared.record(here.preparingId, {std::string(reply.id), std::string(reply.resultId)});
    streams_.endPreparing(stream);
    return begin(stream);
  }
  AttemptOutcome outcome = outcomeOfPreparation(frame, reply);
  if (outcome == AttemptOutcome::invalid) setResponse(*here.request, frame, frame.flags);
  complete(stream, outcome, false);
}

bool Connection::mayPrepareAgain(const Streams::Stream& stream, const Frame& frame,
                                 const cql::Reply& reply) const {
  const auto* statement = static_cast<const Statement*>(stream.request->payload);
  return frame.opcode == Opcode::error && reply.code == cql::kUnprepared && statement &&
         !statement->requiredTexts.empty() && stream.repreparations < kMaxRepreparations;
}

void Connection::onResponse(int stream, const Frame& frame, const cql::Reply& reply) {
  Streams::Stream& here = streams_.at(stream);
  UpstreamRequest& request = *here.request;
  readStoreState(reply.payload, request, newestPosition());
  if (mayPrepareAgain(here, frame, reply)) {
    // The store has lost its texts, likely all of them, as it was started again. Nothing ran.
    ++here.repreparations;
    storeState().prepared.forgetAll();
    here.state = Streams::State::parked;
    return begin(stream);
  }
  const auto* statement = static_cast<const Statement*>(request.payload);
  AttemptOutcome outcome = statement ? outcomeOfStatement(frame, reply, *statement, store)
                                     : outcomeOfProbe(frame, reply, request, newestPosition());
  if (outcome == AttemptOutcome::ok && statement && !statement->preparedId.empty())
    storeState().prepared.record(statement->preparedId,
                                 {std::string(reply.id), std::string(reply.resultId)});
  if (outcome == AttemptOutcome::malformedResponse) {
    request.role = Role::unknown;
    request.position.reset();
    request.report = {};
  }
  setResponse(request, frame, static_cast<std::uint8_t>(frame.flags & ~cql::kCompressed));
  complete(stream, request.isCancelled ? AttemptOutcome::cancelled : outcome, false);
}

// Nothing of a malformed response is to be believed, least of all that the statement never ran.
bool Connection::onMalformedFrame(int stream) {
  const Streams::Stream& here = streams_.at(stream);
  bool mayHaveRun = here.state == Streams::State::sent;
  AttemptOutcome outcome = mayHaveRun ? AttemptOutcome::malformedResponse
                                      : AttemptOutcome::connectFailed;
  if (here.request->isCancelled) outcome = AttemptOutcome::cancelled;
  complete(stream, outcome, false);
  return failProtocol("answer");
}

// False where nothing that follows can be believed.
bool Connection::onFrame(const Frame& frame) {
  if (!frame.isResponse || frame.version != protocol_.version()) return failProtocol("version");
  if (frame.opcode == Opcode::event) return true;  // none was asked for
  if (!streams_.isValid(frame.stream)) return failProtocol("stream");
  Streams::State state = streams_.at(frame.stream).state;
  // A response that nobody asked for, or a second one, could pass for the next request's on that
  // stream.
  if (state == Streams::State::free || state == Streams::State::parked)
    return failProtocol("unasked");
  if (state == Streams::State::orphan) {
    streams_.release(frame.stream);
    return true;
  }
  cql::Reply reply;
  bool isWellFormed = cql::readReply(frame, reply);
  bool isExpected = frame.opcode == Opcode::result || frame.opcode == Opcode::error ||
                    frame.opcode == Opcode::supported;
  if (!isWellFormed || !isExpected) return onMalformedFrame(frame.stream);
  if (state == Streams::State::preparing)
    onPrepared(frame.stream, frame, reply);
  else
    onResponse(frame.stream, frame, reply);
  return true;
}

// Responses that all stores send at once would together take all memory there is.
bool Connection::exceedsMemory() {
  if (in_.size() <= kMaxReadAtOnce) return false;
  if (pools.bufferedBytes() <= pools.limits().maxBufferedBytes) return false;
  log::line("upstream_memory_limit", "store=%d bytes=%zu", store, pools.bufferedBytes());
  isBroken_ = true;
  return true;
}

// Reads what has come; false where the connection has ended.
bool Connection::readMore(TimePoint now, bool& hasMore) {
  in_.erase(0, std::exchange(parsedSize_, 0));
  if (in_.empty() && in_.capacity() > kMaxReadAtOnce) in_.shrink_to_fit();
  if (exceedsMemory()) return false;
  runtime::Socket::ReadStatus got = socket_.read(in_, in_.size() + kMaxReadAtOnce);
  hasMore = got == runtime::Socket::ReadStatus::data;
  if (got == runtime::Socket::ReadStatus::closed) return false;
  if (hasMore) {
    lastReadAt_ = now;
    partSince_ = kNever;
    return true;
  }
  if (in_.empty()) partSince_ = kNever;
  // A length that promises more than ever comes would hold all requests behind it.
  if (!in_.empty() && partSince_ == kNever) partSince_ = now;
  if (partSince_ != kNever && now - partSince_ >= pools.limits().connectTimeout)
    return failProtocol("stalled");
  return true;
}

// All frames that have come, as far as one turn goes; false where the connection has ended.
bool Connection::readFrames(TimePoint now) {
  for (int frames = 0; frames < kMaxFramesInARow;) {
    std::size_t used = 0;
    Frame frame;
    Framed framed = framing_.next(std::string_view(in_).substr(parsedSize_), used, frame);
    parsedSize_ += used;
    if (framed == Framed::bad) return failProtocol(framing_.why());
    if (framed == Framed::whole) {
      ++frames;
      partSince_ = kNever;
      if (!onFrame(frame)) return false;
      continue;
    }
    bool hasMore = false;
    if (!readMore(now, hasMore)) return false;
    if (!hasMore) return true;
  }
  mayHaveMore_ = true;
  return true;
}

// Writes what is queued; false where the connection has ended.
bool Connection::writeQueued(TimePoint now) {
  if (out_.empty() || isWriting_) return true;
  std::optional<std::string_view> rest = socket_.write(out_);
  if (!rest) {
    readFrames(now);  // what came right before the end is a response
    return false;
  }
  writtenBytes_ += out_.size() - rest->size();
  if (rest->empty()) {
    out_.clear();
    if (out_.capacity() > kMaxReadAtOnce) out_.shrink_to_fit();
    return true;
  }
  out_.erase(0, out_.size() - rest->size());
  isWriting_ = true;
  scheduler().spawn(writeRest());
  return true;
}

// The store's machine closes what has been idle for the stated time, and a request that is written
// just then is lost: a connection is given up a connect time-out earlier.
TimePoint Connection::idleLimit() const {
  return idleSince + pools.limits().keepalive - pools.limits().connectTimeout;
}

// After a drain's grace nothing new may reach the store, nor what the kernel hasn't taken by then.
bool Connection::isUsedUp(TimePoint now) const {
  if (isIdle() && (isDraining_ || idleLimit() <= now)) return true;
  return isDraining_ && isWriting_ && drainLimit() <= now;
}

TimePoint Connection::nextWakeUp(TimePoint now) const {
  TimePoint next = isIdle() ? idleLimit() : nextDeadline();
  Duration connectTimeout = pools.limits().connectTimeout;
  if (isDraining_ && isWriting_) next = std::min(next, drainLimit());
  // Texts may be prepared by another connection meanwhile.
  if (!streams_.parked().empty())
    next = std::min(next, now + connectTimeout * kParkedCheckInterval);
  if (partSince_ != kNever) next = std::min(next, partSince_ + connectTimeout);
  return next;
}

runtime::Task<> Connection::serve() {
  idleSince = scheduler().now();
  lastReadAt_ = idleSince;
  while (socket_.isOpen()) {
    TimePoint now = scheduler().now();
    bool hadRequests = streams_.requestCount() > 0;
    if (!readFrames(now) || isBroken_) break;
    endUnwanted(now);
    beginParked();
    beginNew();
    if (!writeQueued(now)) break;
    if (!isDraining_ && requestCount() < protocol_.config().storeStreams)
      pools.markReady(*this);
    else
      pools.markBusy(*this);
    if (hadRequests && streams_.requestCount() == 0) idleSince = now;
    if (isUsedUp(now)) break;
    TimePoint until = nextWakeUp(now);
    // Frames without end, as fast as they can be read, would have this thread for themselves (test
    // endlessFrames).
    if (std::exchange(mayHaveMore_, false))
      co_await runtime::sleepUntil(scheduler(), now + kTurnForOthers);
    else
      co_await socket_.readable.wait(until);
  }
}

runtime::Task<> Connection::end() {
  pools.markBusy(*this);
  isBroken_ = true;
  socket_.close();
  while (isWriting_) co_await writerEnded_.wait();
  completeAll();
}

}  // namespace

UpstreamProtocol::StoreState& UpstreamProtocol::storeState(int store) {
  double streams = static_cast<double>(config_.storeStreams);
  double maxPreparations = std::max(1.0, streams * kPreparationShare);
  return stores_.try_emplace(store, room_, maxPreparations).first->second;
}

std::unique_ptr<upstream::UpstreamConnection> UpstreamProtocol::createConnection(
    upstream::ConnectionPools& pools, int store, request::ProtocolVersion version, int fd) {
  return std::make_unique<Connection>(*this, pools, store, version, fd);
}

}  // namespace reedchute::protocols::cassandra
