#include "protocols/cassandra/upstream_connection.h"

#include <algorithm>
#include <utility>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "log/log.h"
#include "protocols/cassandra/error_outcomes.h"
#include "protocols/cassandra/statement_decoder.h"
#include "protocols/cassandra/streams.h"
#include "request/store_report.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;
using cql::Frame;
using cql::Framed;
using cql::Opcode;
using request::UpstreamRequest;

namespace {

constexpr std::size_t kReadAtOnce = 64 * 1024;  // before what came is looked at
constexpr double kPreparePart =
    1.0 / 8;                    // of the jobs that a connection carries, that may be preparations
constexpr double kLook = 0.02;  // connect time-outs between two looks at what others prepare
constexpr int kAgain = 2;       // times that one execution prepares anew what its store has lost
constexpr int kInARow = 32;     // frames of one store before others have their turn

class Connection : public upstream::UpstreamConnection {
 public:
  Connection(UpstreamProtocol& voice, upstream::ConnectionPools& owner, int of,
             request::ProtocolVersion spoken, int fd)
      : UpstreamConnection(owner, of, spoken),
        voice_(voice),
        socket_(owner.scheduler(), fd),
        writerEnds_(owner.scheduler()),
        framing_(owner.limits().maxRowBytes),
        streams_(voice.config().storeStreams) {}

  void accept(UpstreamRequest* job) override {
    incoming_.push_back(job);
    socket_.readable.set();
  }
  // Danger: the module may be asking; nothing ends before this connection's own turn.
  void cancel(UpstreamRequest*) override { socket_.readable.set(); }
  void close() override { socket_.close(); }
  void drain() override {
    if (retired_) return;
    retired_ = true;
    retiredAt_ = scheduler().now();
    pools.markBusy(*this);
    socket_.readable.set();
  }
  std::size_t requestCount() const override { return streams_.taken() + incoming_.size(); }
  std::size_t bufferedBytes() const override {
    return in_.capacity() + out_.capacity() + going_.capacity() + framing_.held();
  }

  runtime::Task<bool> connect(TimePoint until) override;
  runtime::Task<> serve() override;
  runtime::Task<> end() override;

 private:
  runtime::Scheduler& scheduler() { return pools.scheduler(); }
  WallTime newest() {
    return scheduler().wallClock().toWall(scheduler().now()) + pools.limits().connectTimeout;
  }
  bool read(TimePoint now);
  void begin(int stream);
  void beginNew();
  void beginParked();
  void prepare(int stream, const PreparedRef& text);
  void ask(int stream, const Statement* s);
  void sweep(TimePoint now);
  void finish(int stream, AttemptOutcome ending, bool answerComes);
  void endAll();
  bool handle(const Frame& f);
  void answered(int stream, const Frame& f, cql::Reply& r);
  void wasPrepared(int stream, const Frame& f, cql::Reply& r);
  void learn(const cql::BytesMap& payload, UpstreamRequest& to);
  void put(int stream, std::uint8_t flags, Opcode o, std::string_view body);
  runtime::Task<> writer();
  runtime::Task<bool> frameComes(Frame& f, TimePoint until);
  TimePoint nextDeadline() const;
  bool garbled(const char* what);

  UpstreamProtocol& voice_;
  runtime::Socket socket_;
  runtime::Event writerEnds_;
  cql::Framing framing_;
  Streams streams_;
  std::deque<UpstreamRequest*> incoming_;
  std::string in_, out_,
      going_;             // read; to be written; being written when the kernel takes no more
  std::size_t used_ = 0;  // of what was read
  std::uint64_t queued_ = 0, written_ = 0;  // bytes, since the connection began
  TimePoint partSince_ = kNever, heardAt_ = kNever, retiredAt_ = kNever;
  bool retired_ = false, writing_ = false, broken_ = false;
  bool more_ = false;  // more than one turn's frames may have come
};

void Connection::put(int stream, std::uint8_t flags, Opcode o, std::string_view body) {
  std::size_t before = out_.size();
  framing_.put(out_, false, voice_.version(), flags, static_cast<std::int16_t>(stream), o, body);
  queued_ += out_.size() - before;
}

bool Connection::garbled(const char* what) {
  log::line("upstream_protocol_error", "store=%d what=\"%s\"", store, what);
  broken_ = true;
  return false;
}

// Writes what the kernel didn't take at once.
runtime::Task<> Connection::writer() {
  while (!out_.empty() && !broken_) {
    going_ = std::exchange(out_, {});
    std::string_view rest = going_;
    while (!rest.empty() && !broken_) {
      std::optional<std::string_view> left = socket_.write(rest);
      if (!left) {
        broken_ = true;
        break;
      }
      written_ += rest.size() - left->size();
      rest = *left;
      if (rest.empty()) break;
      bool able = co_await socket_.writable.wait(scheduler().now() + pools.limits().keepalive);
      if (!able) broken_ = true;
    }
  }
  going_ = {};
  writing_ = false;
  socket_.readable.set();
  writerEnds_.set();
}

runtime::Task<bool> Connection::frameComes(Frame& f, TimePoint until) {
  for (;;) {
    std::size_t used = 0;
    in_.erase(0, std::exchange(used_, 0));
    Framed got = framing_.next(in_, used, f);
    used_ = used;
    if (got == Framed::whole) co_return true;
    if (got == Framed::bad) co_return garbled(framing_.why());
    runtime::Socket::ReadStatus more = socket_.read(in_, in_.size() + kReadAtOnce);
    if (more == runtime::Socket::ReadStatus::data) continue;
    if (more == runtime::Socket::ReadStatus::closed) co_return false;
    bool set = co_await socket_.readable.wait(until);
    if (!set) co_return false;
  }
}

runtime::Task<bool> Connection::connect(TimePoint until) {
  bool up = co_await runtime::awaitConnected(socket_, until);
  if (!up) co_return false;
  const Config& g = voice_.config();
  std::string body;
  cql::addShort(body, g.storeCompression ? 2 : 1);
  cql::addString(body, "CQL_VERSION"), cql::addString(body, "3.0.0");
  if (g.storeCompression) cql::addString(body, "COMPRESSION"), cql::addString(body, "lz4");
  put(0, 0, Opcode::startup, body);
  for (bool asked = false;;) {
    std::string hello = std::exchange(out_, {});
    written_ += hello.size();
    bool sent = co_await runtime::writeAll(socket_, hello, until);
    Frame f;
    bool came = sent && co_await frameComes(f, until);
    if (!came || !f.answer || f.version != voice_.version()) co_return false;
    if (f.opcode == Opcode::error) {
      cql::Cursor c(f.body);
      log::line("upstream_rejected", "store=%d code=%04x", store,
                static_cast<unsigned>(c.fourBytes()));
      co_return false;
    }
    if (!asked && g.storeCompression) framing_.compress();
    if (!asked && voice_.version() >= 5) framing_.segments();
    if (f.opcode == Opcode::ready || f.opcode == Opcode::authSuccess) co_return !retired_;
    if (f.opcode != Opcode::authenticate || asked) co_return false;
    asked = true;
    std::string token(1, '\0');
    token += g.storeUser;
    token += '\0';
    token += g.storePassword;
    std::string answer;
    cql::addBytes(answer, token);
    put(0, 0, Opcode::authResponse, answer);
  }
}

void Connection::finish(int stream, AttemptOutcome ending, bool answerComes) {
  Streams::Stream& s = streams_.at(stream);
  UpstreamRequest* job = s.job;
  if (std::exchange(s.paced, false)) voice_.known(store).pace.ends(false);
  streams_.end(stream, answerComes);
  pools.complete(job, ending);
}

// What an execution needs is prepared first, one text after the other and on its own stream; what
// another job of this connection is preparing is waited for.
void Connection::begin(int stream) {
  Streams::Stream& s = streams_.at(stream);
  // Danger: what waited here may be written too late, for nobody, or to a store that drains by now.
  if (retired_ || !pools.isStillWanted(*s.job))
    return finish(stream, AttemptOutcome::neverSent, false);
  const auto* statement = static_cast<const Statement*>(s.job->payload);
  if (statement) {
    UpstreamProtocol::Known& known = voice_.known(store);
    for (const PreparedRef& text : statement->needs) {
      if (known.prepared.find(text->id)) continue;
      if (!streams_.preparing(text->id) && known.pace.mayBegin()) prepare(stream, text);
      return;
    }
  }
  ask(stream, statement);
}

void Connection::prepare(int stream, const PreparedRef& text) {
  std::string body;
  cql::addLongString(body, text->text);
  if (voice_.version() >= 5) cql::addInt(body, 0);
  streams_.prepares(stream, text->id);
  streams_.at(stream).paced = true;
  voice_.known(store).pace.begins();
  put(stream, 0, Opcode::prepare, body);
}

void Connection::ask(int stream, const Statement* s) {
  Streams::Stream& here = streams_.at(stream);
  if (!pools.maySend(*here.job)) return finish(stream, AttemptOutcome::neverSent, false);
  here.state = Streams::State::asked;
  if (s) {
    std::vector<std::string> ids;
    for (const PreparedRef& text : s->needs)
      ids.push_back(voice_.known(store).prepared.find(text->id)->id);
    here.job->toldMs = here.job->leftMs(scheduler().steadyNow());
    put(stream, s->flags, s->opcode, worded(*s, here.job->toldMs, ids));
  } else {
    put(stream, 0, Opcode::options, {});
  }
  here.writtenAt = queued_;
}

// Danger: behind what the kernel doesn't take a job would be written long after its time; it waits
// unwritten.
void Connection::beginNew() {
  while (!writing_ && out_.size() < kReadAtOnce && !streams_.full() && !retired_) {
    UpstreamRequest* job = nullptr;
    if (!incoming_.empty()) {
      job = incoming_.front();
      incoming_.pop_front();
    } else if (!(job = pools.nextRequest(*this))) {
      return;
    }
    begin(streams_.begin(job));
  }
}

void Connection::beginParked() {
  if (writing_) return;
  for (int stream : streams_.parked()) begin(stream);
}

TimePoint Connection::nextDeadline() const {
  TimePoint next = kForever;
  for (int stream : streams_.busy()) next = std::min(next, streams_.at(stream).job->until);
  return next;
}

// Ends the jobs whose time is up or that are not wanted any more.
void Connection::sweep(TimePoint now) {
  for (int stream : streams_.busy()) {
    Streams::Stream& s = streams_.at(stream);
    if (!s.job->cancelled && s.job->until > now) continue;
    // What waits for the kernel to take it counts as asked: it can't be taken back. What was only
    // prepared never ran, and a time-out would say that it may have.
    bool asked = s.state == Streams::State::asked,
         out = asked || s.state == Streams::State::preparing;
    AttemptOutcome called = asked ? AttemptOutcome::cancelled : AttemptOutcome::neverSent,
                   late = asked ? AttemptOutcome::timeout : AttemptOutcome::connectFailed;
    // Danger: a connection on which nothing comes is likely dead, and each job given to it loses
    // its time.
    if (!s.job->cancelled && out && heardAt_ < s.job->begun) drain();
    finish(stream, s.job->cancelled ? called : late, out);
  }
  // Danger: answers that never come would use up the streams one by one.
  if (streams_.orphans() * 2 > voice_.config().storeStreams) drain();
}

// The connection is of no more use: what was written may have run, and nothing else has.
void Connection::endAll() {
  for (int stream : streams_.busy()) {
    Streams::Stream& s = streams_.at(stream);
    bool written = s.state == Streams::State::asked && s.writtenAt <= written_;
    finish(stream,
           s.job->cancelled ? (written ? AttemptOutcome::cancelled : AttemptOutcome::neverSent)
           : written        ? AttemptOutcome::reset
                            : AttemptOutcome::connectFailed,
           false);
  }
  while (!incoming_.empty()) {
    UpstreamRequest* job = incoming_.back();
    incoming_.pop_back();
    if (job->cancelled || retired_)
      pools.complete(job, AttemptOutcome::neverSent);
    else
      pools.requeue(job);
  }
}

void Connection::learn(const cql::BytesMap& payload, UpstreamRequest& to) {
  for (const auto& [name, value] : payload) {
    if (name == "server_role") to.role = request::readRole(value);
    if (name == "usage") to.report = request::readReport(value, newest());
    if (name == "commit_clock")
      if (auto at = request::readPosition(value, newest())) to.position = at;
  }
}

void Connection::wasPrepared(int stream, const Frame& f, cql::Reply& r) {
  Streams::Stream& s = streams_.at(stream);
  UpstreamProtocol::Known& known = voice_.known(store);
  bool well = f.opcode == Opcode::result && r.kind == cql::ResultKind::prepared;
  if (std::exchange(s.paced, false)) known.pace.ends(well);
  if (well) {
    known.prepared.learn(s.preparing, {std::string(r.id), std::string(r.resultId)});
    streams_.prepared(stream);
    return begin(stream);
  }
  AttemptOutcome ending = f.opcode == Opcode::error
                              ? endingOf(r.code, cql::valueOf(r.payload, "turned"))
                              : AttemptOutcome::malformedResponse;
  // Nothing of the statement itself was ever sent.
  if (ending == AttemptOutcome::error) ending = AttemptOutcome::overloaded;
  if (ending == AttemptOutcome::invalid) {
    s.job->answer.bytes = f.body;
    s.job->answer.form = static_cast<unsigned>(f.flags) << 8 | static_cast<unsigned>(f.opcode);
  }
  finish(stream, ending, false);
}

void Connection::answered(int stream, const Frame& f, cql::Reply& r) {
  Streams::Stream& s = streams_.at(stream);
  UpstreamRequest& job = *s.job;
  const auto* statement = static_cast<const Statement*>(job.payload);
  learn(r.payload, job);
  if (f.opcode == Opcode::error && r.code == cql::kUnprepared && statement &&
      !statement->needs.empty() && s.again < kAgain) {
    // Danger: it has lost its texts, likely all of them, as it was started again. Nothing ran.
    ++s.again;
    voice_.known(store).prepared.forgetAll();
    s.state = Streams::State::parked;
    return begin(stream);
  }
  AttemptOutcome ending = AttemptOutcome::malformedResponse;
  if (!statement) {
    cql::Multimap said;
    if (f.opcode == Opcode::supported && cql::readMultimap(f.body, said)) {
      ending = AttemptOutcome::ok;
      for (const auto& [name, values] : said)
        if (name == "USAGE" && !values.empty())
          job.report = request::readReport(values.front(), newest());
    } else if (f.opcode == Opcode::error) {
      ending = endingOf(r.code, {});
    }
  } else if (f.opcode == Opcode::error) {
    ending = endingOf(r.code, cql::valueOf(r.payload, "turned"));
    if (ending == AttemptOutcome::error || ending == AttemptOutcome::invalid)
      log::line("store_error", "store=%d code=%04x", store, static_cast<unsigned>(r.code));
  } else if (f.opcode == Opcode::result) {
    bool asWished = statement->opcode != Opcode::prepare || r.kind == cql::ResultKind::prepared;
    if (asWished) ending = AttemptOutcome::ok;
    if (ending == AttemptOutcome::ok && !statement->preparedId.empty())
      voice_.known(store).prepared.learn(statement->preparedId,
                                         {std::string(r.id), std::string(r.resultId)});
  }
  if (ending == AttemptOutcome::malformedResponse)
    job.role = Role::unknown, job.position.reset(), job.report = {};
  job.answer.bytes = f.body;
  job.answer.form = static_cast<unsigned>(f.flags & ~cql::kCompressed) << 8 |
                    static_cast<unsigned>(f.opcode);
  finish(stream, job.cancelled ? AttemptOutcome::cancelled : ending, false);
}

// False where nothing that follows can be believed.
bool Connection::handle(const Frame& f) {
  if (!f.answer || f.version != voice_.version()) return garbled("version");
  if (f.opcode == Opcode::event) return true;  // none was asked for
  if (!streams_.known(f.stream)) return garbled("stream");
  Streams::Stream& s = streams_.at(f.stream);
  // Danger: an answer that nobody asked for, or a second one, could pass for the next job's on that
  // stream.
  if (s.state == Streams::State::free || s.state == Streams::State::parked)
    return garbled("unasked");
  if (s.state == Streams::State::orphan) {
    streams_.freed(f.stream);
    return true;
  }
  cql::Reply r;
  bool sound = cql::readReply(f, r);
  bool possible = f.opcode == Opcode::result || f.opcode == Opcode::error ||
                  f.opcode == Opcode::supported;
  if (!sound || !possible) {
    // Danger: nothing of a spoilt answer is to be believed, least of all that the statement never
    // ran.
    bool ran = s.state == Streams::State::asked;
    finish(f.stream,
           s.job->cancelled ? AttemptOutcome::cancelled
           : ran            ? AttemptOutcome::malformedResponse
                            : AttemptOutcome::connectFailed,
           false);
    return garbled("answer");
  }
  if (s.state == Streams::State::preparing)
    wasPrepared(f.stream, f, r);
  else
    answered(f.stream, f, r);
  return true;
}

// All frames that have come, as far as one turn goes; false where the connection has ended.
bool Connection::read(TimePoint now) {
  for (int frames = 0; frames < kInARow;) {
    std::size_t used = 0;
    Frame f;
    Framed got = framing_.next(std::string_view(in_).substr(used_), used, f);
    used_ += used;
    if (got == Framed::bad) return garbled(framing_.why());
    if (got == Framed::whole) {
      ++frames;
      partSince_ = kNever;
      if (!handle(f)) return false;
      continue;
    }
    in_.erase(0, std::exchange(used_, 0));
    if (in_.empty() && in_.capacity() > kReadAtOnce) in_.shrink_to_fit();
    // Danger: answers that all stores send at once would together take all memory there is.
    if (in_.size() > kReadAtOnce && pools.bufferedBytes() > pools.limits().maxBufferedBytes) {
      log::line("upstream_memory_limit", "store=%d bytes=%zu", store, pools.bufferedBytes());
      broken_ = true;
      return false;
    }
    runtime::Socket::ReadStatus more = socket_.read(in_, in_.size() + kReadAtOnce);
    if (more == runtime::Socket::ReadStatus::closed) return false;
    if (more == runtime::Socket::ReadStatus::noData) {
      if (in_.empty()) partSince_ = kNever;
      // Danger: a length that promises more than ever comes would hold all jobs behind it.
      if (!in_.empty() && partSince_ == kNever) partSince_ = now;
      if (partSince_ != kNever && now - partSince_ >= pools.limits().connectTimeout)
        return garbled("stalled");
      return true;
    }
    heardAt_ = now;
    partSince_ = kNever;
  }
  more_ = true;
  return true;
}

runtime::Task<> Connection::serve() {
  bool alive = true;
  idleSince = heardAt_ = scheduler().now();
  while (alive && socket_.isOpen()) {
    TimePoint now = scheduler().now();
    bool had = streams_.jobs() > 0;
    alive = read(now) && !broken_;
    if (!alive) break;
    sweep(now);
    beginParked();
    beginNew();
    if (!out_.empty() && !writing_) {
      std::optional<std::string_view> rest = socket_.write(out_);
      if (!rest) {
        read(now);  // what came right before the end is an answer
        break;
      }
      written_ += out_.size() - rest->size();
      if (rest->empty()) {
        out_.clear();
        if (out_.capacity() > kReadAtOnce) out_.shrink_to_fit();
      } else {
        out_.erase(0, out_.size() - rest->size());
        writing_ = true;
        scheduler().spawn(writer());
      }
    }
    bool room = !retired_ && requestCount() < voice_.config().storeStreams;
    room ? pools.markReady(*this) : pools.markBusy(*this);
    if (had && streams_.jobs() == 0) idleSince = now;
    bool idle = streams_.jobs() == 0 && incoming_.empty();
    if (idle && retired_) break;
    // Danger: the store's machine closes what has been idle for the stated time; a job that is
    // written just then is lost. A connection is given up a connect time-out earlier.
    TimePoint until = idle ? idleSince + pools.limits().keepalive - pools.limits().connectTimeout
                           : nextDeadline();
    if (idle && until <= now) break;
    // Danger: after a drain's grace nothing new may reach the store, nor what the kernel hasn't
    // taken by then.
    TimePoint graceEnds = retiredAt_ + pools.limits().connectTimeout;
    if (retired_ && writing_ && graceEnds <= now) break;
    if (retired_ && writing_) until = std::min(until, graceEnds);
    // Texts may be prepared by another connection meanwhile.
    if (!streams_.parked().empty())
      until = std::min(until, now + pools.limits().connectTimeout * kLook);
    if (partSince_ != kNever) until = std::min(until, partSince_ + pools.limits().connectTimeout);
    // Danger: frames without end, as fast as they can be read, would have this thread for
    // themselves.
    if (std::exchange(more_, false))
      co_await runtime::sleepUntil(scheduler(), now + Duration{1});
    else
      co_await socket_.readable.wait(until);
  }
}

runtime::Task<> Connection::end() {
  pools.markBusy(*this);
  broken_ = true;
  socket_.close();
  while (writing_) co_await writerEnds_.wait();
  endAll();
}

}  // namespace

UpstreamProtocol::Known& UpstreamProtocol::known(int store) {
  double most = std::max(1.0, static_cast<double>(config_.storeStreams) * kPreparePart);
  return known_.try_emplace(store, room_, most).first->second;
}

std::unique_ptr<upstream::UpstreamConnection> UpstreamProtocol::createConnection(
    upstream::ConnectionPools& pools, int store, request::ProtocolVersion version, int fd) {
  return std::make_unique<Connection>(*this, pools, store, version, fd);
}

}  // namespace reedchute::protocols::cassandra
