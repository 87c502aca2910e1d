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

constexpr std::size_t kMaxReadBytes = 64 * 1024;  // read at once, before parsing
constexpr double kPreparationShare = 1.0 / 8;     // of a connection's streams
constexpr double kParkedCheckFraction = 0.02;     // of the connect timeout
constexpr int kMaxRepreparations = 2;            // by one attempt, of texts that the store has lost
constexpr int kMaxFramesPerTurn = 32;            // handled before other connections run
constexpr std::size_t kMinStreamsPerOrphan = 2;  // with fewer, the connection drains
constexpr Duration kYieldDuration{1};            // microseconds; lets other connections run

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

// SASL PLAIN (RFC 4616): authorization identity (empty), user and password, separated by zero
// bytes.
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
        streams_(protocol.maxConcurrentRequests()) {}

  void accept(UpstreamRequest* request) override {
    incoming_.push_back(request);
    socket_.readable.set();
  }
  // The caller may be the decision engine, so the request is ended later, in serve().
  void cancel(UpstreamRequest*) override { socket_.readable.set(); }
  void close() override { socket_.close(); }
  void drain() override;
  std::size_t requestCount() const override { return streams_.usedCount() + incoming_.size(); }
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
  // Received bytes of frames that are not decoded yet: of the socket, and of consumed segments.
  std::size_t undecodedBytes() const {
    return in_.size() - parsedSize_ + framing_.undecodedBytes();
  }
  // Logs the error and marks the connection as broken, as the bytes that follow can't be trusted.
  // Returns false.
  bool onProtocolError(const char* what);

  runtime::Task<bool> exchangeHandshake(Frame& reply, TimePoint until);
  runtime::Task<bool> readFrame(Frame& frame, TimePoint until);

  bool readFrames(TimePoint now);
  bool readMore(TimePoint now, bool& hasMore);
  bool exceedsMemoryLimit();
  bool onFrame(const Frame& frame);
  bool onMalformedFrame(int stream);
  void onPrepared(int stream, const Frame& frame, const cql::Reply& reply);
  void onResponse(int stream, const Frame& frame, const cql::Reply& reply);
  bool mayPrepareAgain(const Streams::Stream& stream, const Frame& frame,
                       const cql::Reply& reply) const;

  void startRequest(int stream);
  void restartRequest(int stream);
  void startNewRequests();
  void resumeParkedRequests();
  void prepare(int stream, const PreparedRef& text);
  void send(int stream, const Statement* statement);
  void queueFrame(int stream, std::uint8_t flags, Opcode opcode, std::string_view body);
  bool writeQueued(TimePoint now);
  runtime::Task<> writeRest();

  bool isGivenUp(const Streams::Stream& stream, TimePoint now) const;
  bool carriesOnlyGivenUp(TimePoint now) const;
  void endExpiredOrCancelled(TimePoint now);
  void endIncoming();
  void complete(int stream, AttemptOutcome outcome, bool responseMayCome);
  void completeAll();
  AttemptOutcome outcomeAtClose(const Streams::Stream& stream) const;
  bool shouldClose(TimePoint now) const;
  TimePoint idleLimit() const;
  // After drain(), queued bytes may be written for one more connect timeout.
  TimePoint drainLimit() const { return drainedAt_ + pools.limits().connectTimeout; }
  TimePoint nextDeadline() const;
  TimePoint nextWakeUp(TimePoint now) const;

  UpstreamProtocol& protocol_;
  runtime::Socket socket_;
  runtime::Event writerEnded_;
  cql::Framing framing_;
  Streams streams_;
  std::deque<UpstreamRequest*> incoming_;  // accepted, not yet assigned to a stream
  std::string in_;                         // received bytes
  std::size_t parsedSize_ = 0;             // bytes at the start of `in_` that were parsed
  std::string out_;                        // queued for writing
  std::string beingWritten_;               // by writeRest(), while the socket buffer is full
  std::uint64_t queuedBytes_ = 0, writtenBytes_ = 0;  // since the connection was created
  // Since when an incomplete frame has received no further bytes.
  TimePoint partialFrameSince_ = kNever;
  TimePoint lastReadAt_ = kNever;
  TimePoint drainedAt_ = kNever;
  bool isDraining_ = false, isWriting_ = false, isBroken_ = false;
  bool mayHaveMoreFrames_ = false;  // the last turn ended at kMaxFramesPerTurn
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

void Connection::queueFrame(int stream, std::uint8_t flags, Opcode opcode, std::string_view body) {
  std::size_t before = out_.size();
  framing_.put(out_, false, protocol_.version(), flags, static_cast<std::int16_t>(stream), opcode,
               body);
  queuedBytes_ += out_.size() - before;
}

bool Connection::onProtocolError(const char* what) {
  log::line("upstream_protocol_error", "store=%d what=\"%s\"", store, what);
  isBroken_ = true;
  return false;
}

// Writes the bytes that didn't fit into the socket buffer, as it becomes writable.
runtime::Task<> Connection::writeRest() {
  while (!out_.empty() && !isBroken_) {
    beingWritten_ = std::exchange(out_, {});
    std::string_view rest = beingWritten_;
    while (!rest.empty() && !isBroken_) {
      std::optional<std::string_view> unwritten = socket_.write(rest);
      if (!unwritten) {
        isBroken_ = true;
        break;
      }
      writtenBytes_ += rest.size() - unwritten->size();
      rest = *unwritten;
      if (rest.empty()) break;
      bool isWritable =
          co_await socket_.writable.wait(scheduler().now() + pools.limits().keepalive);
      if (!isWritable) isBroken_ = true;
    }
  }
  std::string().swap(beingWritten_);
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
    if (framed == Framed::bad) co_return onProtocolError(framing_.why());
    runtime::Socket::ReadStatus status = socket_.read(in_, in_.size() + kMaxReadBytes);
    if (status == runtime::Socket::ReadStatus::data) continue;
    if (status == runtime::Socket::ReadStatus::closed) co_return false;
    bool isSet = co_await socket_.readable.wait(until);
    if (!isSet) co_return false;
  }
}

// Writes the queued frame and reads the reply; false if none arrives by `until` or it is an error.
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
  bool isConnected = co_await runtime::awaitConnected(socket_, until);
  if (!isConnected) co_return false;
  const Config& config = protocol_.config();
  queueFrame(0, 0, Opcode::startup, startupBody(config));
  Frame reply;
  bool hasReply = co_await exchangeHandshake(reply, until);
  if (!hasReply) co_return false;
  // Compression and segments both apply after the first reply.
  if (config.storeCompression) framing_.enableCompression();
  if (protocol_.version() >= 5) framing_.enableSegments();
  if (reply.opcode == Opcode::authenticate) {
    queueFrame(0, 0, Opcode::authResponse, credentialsBody(config));
    hasReply = co_await exchangeHandshake(reply, until);
    if (!hasReply) co_return false;
  }
  bool isReady = reply.opcode == Opcode::ready || reply.opcode == Opcode::authSuccess;
  co_return isReady && !isDraining_;
}

void Connection::complete(int stream, AttemptOutcome outcome, bool responseMayCome) {
  Streams::Stream& entry = streams_.at(stream);
  UpstreamRequest* request = entry.request;
  if (std::exchange(entry.holdsPreparationSlot, false))
    storeState().preparationLimiter.onEnded(false);
  streams_.endRequest(stream, responseMayCome);
  pools.complete(request, outcome);
}

// Prepares the texts that the request needs, one after the other on the request's stream, then
// sends the request. It stays parked while another request of this connection prepares the same
// text, or while the preparation limit of the store is reached.
void Connection::startRequest(int stream) {
  UpstreamRequest& request = *streams_.at(stream).request;
  // While the request waited, its deadline may have passed, it may have been cancelled, or the
  // connection may have begun to drain.
  if (isDraining_ || !pools.isStillWanted(request))
    return complete(stream, AttemptOutcome::neverSent, false);
  const auto* statement = static_cast<const Statement*>(request.payload);
  if (!statement) return send(stream, nullptr);
  UpstreamProtocol::StoreState& state = storeState();
  for (const PreparedRef& text : statement->requiredTexts) {
    if (state.prepared.find(text->id)) continue;
    if (!streams_.isPreparing(text->id) && state.preparationLimiter.hasCapacity())
      prepare(stream, text);
    return;
  }
  send(stream, statement);
}

// Starts a request again after a response to an earlier frame of it, which wasn't the response to
// the statement.
void Connection::restartRequest(int stream) {
  int renewed = streams_.renew(stream);
  if (renewed < 0) return complete(stream, AttemptOutcome::neverSent, false);
  startRequest(renewed);
}

void Connection::prepare(int stream, const PreparedRef& text) {
  std::string body;
  cql::addLongString(body, text->text);
  if (protocol_.version() >= 5) cql::addInt(body, 0);
  streams_.beginPreparing(stream, text->id);
  streams_.at(stream).holdsPreparationSlot = true;
  storeState().preparationLimiter.onStarted();
  queueFrame(stream, 0, Opcode::prepare, body);
}

void Connection::send(int stream, const Statement* statement) {
  Streams::Stream& entry = streams_.at(stream);
  UpstreamRequest& request = *entry.request;
  if (!pools.maySend(request)) return complete(stream, AttemptOutcome::neverSent, false);
  entry.state = Streams::State::sent;
  if (statement) {
    std::vector<std::string> ids;
    for (const PreparedRef& text : statement->requiredTexts)
      ids.push_back(storeState().prepared.find(text->id)->id);
    request.announcedTimeoutMs = request.remainingMs(scheduler().steadyNow());
    queueFrame(stream, statement->flags, statement->opcode,
               encodeBody(*statement, request.announcedTimeoutMs, ids));
  } else {
    queueFrame(stream, 0, Opcode::options, {});
  }
  entry.endOffset = queuedBytes_;
}

// No request is started while the socket buffer is full: queued behind unwritten bytes, it could be
// written long after its deadline.
void Connection::startNewRequests() {
  while (!isWriting_ && out_.size() < kMaxReadBytes && !streams_.isFull() && !isDraining_) {
    UpstreamRequest* request = nullptr;
    if (incoming_.empty()) {
      if (streams_.isUsedUp()) return;
      request = pools.nextRequest(*this);
    } else {
      request = incoming_.front();
      incoming_.pop_front();
    }
    if (!request) return;
    startRequest(streams_.assign(request));
  }
}

void Connection::resumeParkedRequests() {
  if (isWriting_) return;
  for (int stream : streams_.parkedStreams()) startRequest(stream);
}

TimePoint Connection::nextDeadline() const {
  TimePoint next = kForever;
  for (int stream : streams_.streamsWithRequest())
    next = std::min(next, streams_.at(stream).request->deadline);
  return next;
}

// Whether the request was cancelled, but has to stay on the connection until its response arrives
// or the connection is closed: a store executes what it has received as long as the connection is
// open, and the statement may be sent to another store as soon as the request ends.
bool Connection::isGivenUp(const Streams::Stream& stream, TimePoint now) const {
  const UpstreamRequest& request = *stream.request;
  return request.isCancelled && request.deadline > now && stream.state == Streams::State::sent &&
         !pools.mayOutliveRequest(request);
}

// Whether a request was given up, and closing the connection ends no execution that is still waited
// for.
bool Connection::carriesOnlyGivenUp(TimePoint now) const {
  bool hasGivenUp = false;
  for (int stream : streams_.streamsWithRequest()) {
    const Streams::Stream& entry = streams_.at(stream);
    if (entry.state != Streams::State::sent) continue;
    if (!isGivenUp(entry, now)) return false;
    hasGivenUp = true;
  }
  return hasGivenUp;
}

// Completes requests whose deadline has passed or that were cancelled. The connection takes no
// further requests once one of its requests is given up.
void Connection::endExpiredOrCancelled(TimePoint now) {
  for (int stream : streams_.streamsWithRequest()) {
    const Streams::Stream& entry = streams_.at(stream);
    const UpstreamRequest& request = *entry.request;
    if (!request.isCancelled && request.deadline > now) continue;
    if (isGivenUp(entry, now)) {
      drain();
      continue;
    }
    // A request that is queued for writing counts as sent, as it can't be withdrawn. A request
    // whose text was only being prepared never ran, so it must not end as a timeout, which means
    // that it may have run.
    bool isSent = entry.state == Streams::State::sent;
    bool mayReceiveResponse = isSent || entry.state == Streams::State::preparing;
    AttemptOutcome outcomeIfCancelled = isSent ? AttemptOutcome::cancelled
                                               : AttemptOutcome::neverSent;
    AttemptOutcome outcomeIfExpired = isSent ? AttemptOutcome::timeout
                                             : AttemptOutcome::connectFailed;
    // If nothing was received since the request started, the connection has likely failed, and
    // further requests on it would also time out.
    if (!request.isCancelled && mayReceiveResponse && lastReadAt_ < request.startedAt) drain();
    complete(stream, request.isCancelled ? outcomeIfCancelled : outcomeIfExpired,
             mayReceiveResponse);
  }
  // If responses never arrive, orphaned streams would exhaust the connection's streams.
  if (streams_.orphanCount() * kMinStreamsPerOrphan > protocol_.maxConcurrentRequests()) drain();
}

// The outcome of a request as the connection closes. Only a request that was written completely may
// have run.
AttemptOutcome Connection::outcomeAtClose(const Streams::Stream& stream) const {
  bool isWritten = stream.state == Streams::State::sent && stream.endOffset <= writtenBytes_;
  if (stream.request->isCancelled)
    return isWritten ? AttemptOutcome::cancelled : AttemptOutcome::neverSent;
  return isWritten ? AttemptOutcome::reset : AttemptOutcome::connectFailed;
}

void Connection::completeAll() {
  for (int stream : streams_.streamsWithRequest())
    complete(stream, outcomeAtClose(streams_.at(stream)), false);
  endIncoming();
}

void Connection::endIncoming() {
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
  Streams::Stream& entry = streams_.at(stream);
  UpstreamProtocol::StoreState& state = storeState();
  bool isPrepared = frame.opcode == Opcode::result && reply.kind == cql::ResultKind::prepared;
  if (std::exchange(entry.holdsPreparationSlot, false))
    state.preparationLimiter.onEnded(isPrepared);
  if (isPrepared) {
    state.prepared.record(entry.preparingId, {std::string(reply.id), std::string(reply.resultId)});
    streams_.endPreparing(stream);
    return restartRequest(stream);
  }
  AttemptOutcome outcome = outcomeOfPreparation(frame, reply);
  if (outcome == AttemptOutcome::invalid) setResponse(*entry.request, frame, frame.flags);
  complete(stream, outcome, false);
}

bool Connection::mayPrepareAgain(const Streams::Stream& stream, const Frame& frame,
                                 const cql::Reply& reply) const {
  const auto* statement = static_cast<const Statement*>(stream.request->payload);
  return frame.opcode == Opcode::error && reply.code == cql::kUnprepared && statement &&
         !statement->requiredTexts.empty() && stream.repreparations < kMaxRepreparations;
}

void Connection::onResponse(int stream, const Frame& frame, const cql::Reply& reply) {
  Streams::Stream& entry = streams_.at(stream);
  UpstreamRequest& request = *entry.request;
  readStoreState(reply.payload, request, newestPosition());
  if (mayPrepareAgain(entry, frame, reply)) {
    // The store has lost its prepared texts, likely all of them in a restart. The statement did
    // not run.
    ++entry.repreparations;
    storeState().prepared.forgetAll();
    entry.state = Streams::State::parked;
    return restartRequest(stream);
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
  complete(stream, outcome, false);
}

// No part of a malformed response can be trusted, so a statement that was sent may have run.
bool Connection::onMalformedFrame(int stream) {
  const Streams::Stream& entry = streams_.at(stream);
  bool mayHaveRun = entry.state == Streams::State::sent;
  AttemptOutcome outcome = mayHaveRun ? AttemptOutcome::malformedResponse
                                      : AttemptOutcome::connectFailed;
  if (entry.request->isCancelled) outcome = AttemptOutcome::cancelled;
  complete(stream, outcome, false);
  return onProtocolError("answer");
}

// Handles one frame; false on a protocol error, after which the connection must be closed.
bool Connection::onFrame(const Frame& frame) {
  if (!frame.isResponse || frame.version != protocol_.version()) return onProtocolError("version");
  if (frame.opcode == Opcode::event) return true;  // not registered for any; ignored
  if (streams_.hasEnded(frame.stream)) return onProtocolError("unasked");
  if (!streams_.isInUse(frame.stream)) return onProtocolError("stream");
  Streams::State state = streams_.at(frame.stream).state;
  if (state == Streams::State::parked) return onProtocolError("unasked");
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

// Checks the limit on bytes buffered over all connections, since many stores that send large
// responses at once could exhaust the memory. Marks the connection as broken if it is exceeded.
bool Connection::exceedsMemoryLimit() {
  if (undecodedBytes() <= kMaxReadBytes) return false;
  if (pools.bufferedBytes() <= pools.limits().maxBufferedBytes) return false;
  log::line("upstream_memory_limit", "store=%d bytes=%zu", store, pools.bufferedBytes());
  isBroken_ = true;
  return true;
}

// Reads received bytes into `in_`; false if the connection is closed or must be closed.
bool Connection::readMore(TimePoint now, bool& hasMore) {
  in_.erase(0, std::exchange(parsedSize_, 0));
  if (in_.empty() && in_.capacity() > kMaxReadBytes) in_.shrink_to_fit();
  if (exceedsMemoryLimit()) return false;
  runtime::Socket::ReadStatus status = socket_.read(in_, in_.size() + kMaxReadBytes);
  hasMore = status == runtime::Socket::ReadStatus::data;
  if (status == runtime::Socket::ReadStatus::closed) return false;
  if (hasMore) {
    lastReadAt_ = now;
    partialFrameSince_ = kNever;
    return true;
  }
  bool hasPartialFrame = undecodedBytes() > 0;
  if (!hasPartialFrame) partialFrameSince_ = kNever;
  // A frame whose length field exceeds the bytes that ever arrive would block all requests behind
  // it, so an incomplete frame may stall for one connect timeout at most.
  if (hasPartialFrame && partialFrameSince_ == kNever) partialFrameSince_ = now;
  if (partialFrameSince_ != kNever && now - partialFrameSince_ >= pools.limits().connectTimeout)
    return onProtocolError("stalled");
  return true;
}

// Handles received frames, kMaxFramesPerTurn at most; false if the connection is closed or must be
// closed.
bool Connection::readFrames(TimePoint now) {
  for (int frames = 0; frames < kMaxFramesPerTurn;) {
    std::size_t used = 0;
    Frame frame;
    Framed framed = framing_.next(std::string_view(in_).substr(parsedSize_), used, frame);
    parsedSize_ += used;
    if (framed == Framed::bad) return onProtocolError(framing_.why());
    if (framed == Framed::whole) {
      ++frames;
      partialFrameSince_ = kNever;
      if (!onFrame(frame)) return false;
      continue;
    }
    bool hasMore = false;
    if (!readMore(now, hasMore)) return false;
    if (!hasMore) return true;
  }
  mayHaveMoreFrames_ = true;
  return true;
}

// Writes queued bytes; false if the connection is closed.
bool Connection::writeQueued(TimePoint now) {
  if (out_.empty() || isWriting_) return true;
  std::optional<std::string_view> rest = socket_.write(out_);
  if (!rest) {
    readFrames(now);  // responses that arrived before the close
    return false;
  }
  writtenBytes_ += out_.size() - rest->size();
  if (rest->empty()) {
    out_.clear();
    if (out_.capacity() > kMaxReadBytes) out_.shrink_to_fit();
    return true;
  }
  out_.erase(0, out_.size() - rest->size());
  isWriting_ = true;
  scheduler().spawn(writeRest());
  return true;
}

// The store's host closes connections that were idle for the `keepalive` time, and a request that
// is written at that moment is lost. So the proxy closes an idle connection one connect timeout
// earlier.
TimePoint Connection::idleLimit() const {
  return idleSince + pools.limits().keepalive - pools.limits().connectTimeout;
}

// Once drainLimit() has passed, nothing more may be sent to the store, including queued bytes that
// the kernel hasn't accepted yet.
bool Connection::shouldClose(TimePoint now) const {
  if (isIdle() && (isDraining_ || streams_.isUsedUp() || idleLimit() <= now)) return true;
  if (isDraining_ && carriesOnlyGivenUp(now)) return true;
  return isDraining_ && isWriting_ && drainLimit() <= now;
}

TimePoint Connection::nextWakeUp(TimePoint now) const {
  TimePoint next = isIdle() ? idleLimit() : nextDeadline();
  Duration connectTimeout = pools.limits().connectTimeout;
  if (isDraining_ && isWriting_) next = std::min(next, drainLimit());
  // Another connection may prepare the texts that parked requests wait for; this is polled.
  if (!streams_.parkedStreams().empty())
    next = std::min(next, now + connectTimeout * kParkedCheckFraction);
  if (partialFrameSince_ != kNever) next = std::min(next, partialFrameSince_ + connectTimeout);
  return next;
}

runtime::Task<> Connection::serve() {
  idleSince = scheduler().now();
  lastReadAt_ = idleSince;
  while (socket_.isOpen()) {
    TimePoint now = scheduler().now();
    bool hadRequests = streams_.requestCount() > 0;
    if (!readFrames(now) || isBroken_) break;
    endExpiredOrCancelled(now);
    if (isDraining_) endIncoming();
    resumeParkedRequests();
    startNewRequests();
    if (!writeQueued(now)) break;
    if (!isDraining_ && !streams_.isUsedUp() && requestCount() < protocol_.maxConcurrentRequests())
      pools.markReady(*this);
    else
      pools.markBusy(*this);
    if (hadRequests && streams_.requestCount() == 0) idleSince = now;
    if (shouldClose(now)) break;
    TimePoint until = nextWakeUp(now);
    // A store that sends frames as fast as they can be read would otherwise monopolize this thread
    // (test endlessFrames).
    if (std::exchange(mayHaveMoreFrames_, false))
      co_await runtime::sleepUntil(scheduler(), now + kYieldDuration);
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
  return stores_.try_emplace(store, lru_, maxPreparations).first->second;
}

std::unique_ptr<upstream::UpstreamConnection> UpstreamProtocol::createConnection(
    upstream::ConnectionPools& pools, int store, request::ProtocolVersion version, int fd) {
  return std::make_unique<Connection>(*this, pools, store, version, fd);
}

}  // namespace reedchute::protocols::cassandra
