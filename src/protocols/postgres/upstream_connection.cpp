#include "protocols/postgres/upstream_connection.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "codec/pg/messages.h"
#include "codec/pg/statement.h"
#include "log/log.h"
#include "protocols/postgres/statement_decoder.h"
#include "request/store_report.h"
#include "upstream/connection_pools.h"

namespace reedchute::protocols::postgres {
namespace pg = reedchute::pg;
using request::UpstreamRequest;
namespace {

constexpr std::size_t kReadAtOnce = 64 * 1024;  // before what came is looked at
constexpr std::size_t kMostBeside =
    64 * 1024;                      // of parameters and notices, in one answer or between two
constexpr std::size_t kTail = 256;  // what usually follows a row
// A store is told what is left as the first byte is written, and may be told a little more than is
// left at the last.
constexpr Duration kLongestWrite{100'000};
constexpr const char *kUser = "web", *kDatabase = "orders";  // as clients give them

// SQLSTATE classes by which a store says that the statement is at fault, wherever it is sent.
bool blamesStatement(std::string_view code) {
  for (std::string_view kind : {"0A", "21", "22", "23", "42", "44", "54"})
    if (code.substr(0, 2) == kind) return true;
  return false;
}

std::string wordsOf(UpstreamRequest& j, TimePoint now) {
  if (!j.payload) return pg::query("SHOW usage");
  const auto& q = static_cast<const Query&>(*j.payload);
  j.toldMs = j.leftMs(now);
  return pg::query(pg::withWait(q.text, q.waitAt, q.waitSize, j.toldMs));
}

// One connection to a store, which carries a job at a time.
class Connection : public upstream::UpstreamConnection {
 public:
  Connection(upstream::ConnectionPools& owner, int of, request::ProtocolVersion spoken, int fd)
      : UpstreamConnection(owner, of, spoken), socket(owner.scheduler(), fd) {}

  void accept(UpstreamRequest* j) override {
    job = j;
    socket.in.set();
  }
  // Danger: an answer may have come already, and with it what its store is; unread it would be lost
  // with the connection. While it is written the job is only stopped.
  void cancel(UpstreamRequest*) override { writing ? socket.close() : socket.in.set(); }
  void close() override { socket.close(); }
  std::size_t requestCount() const override { return job != nullptr; }
  std::size_t bufferedBytes() const override { return in.capacity(); }
  runtime::Task<bool> connect(TimePoint until) override;
  runtime::Task<> serve() override;
  runtime::Task<> end() override;

  enum class Seen { nothing, good, broken };

  // Takes one message off the buffer; `broken` where the stream makes no sense. Danger: parameters
  // and notices without end, as fast as they can be read, would have this thread for themselves.
  Seen take(pg::Message& m) {
    Seen seen = frame(m);
    if (seen == Seen::good && (m.type == 'S' || m.type == 'N')) beside += m.whole.size();
    return beside > kMostBeside ? Seen::broken : seen;
  }
  Seen frame(pg::Message& m) {
    used = 0;
    std::string_view rest = std::string_view(in).substr(kept);
    if (!pg::storeMessageMayFollow(rest, pools.limits().maxRowBytes)) return Seen::broken;
    switch (pg::frame(rest, pools.limits().maxRowBytes, m)) {
      case pg::Framed::whole:
        used = m.whole.size();
        return pg::wellFormed(m) ? Seen::good : Seen::broken;
      case pg::Framed::partial:
        return Seen::nothing;
      default:
        return Seen::broken;
    }
  }
  void drop() { in.erase(kept, used), used = 0; }
  void keep() { kept += used, used = 0; }

  // Between jobs: is it still open, and has nothing come that a job's answer could be mistaken for?
  bool quiet() {
    // Danger: the end may stand right behind what came last, and its event may not have been seen
    // yet; a statement that is written then is lost. So it is read up to where nothing is left.
    for (runtime::Socket::Got got = runtime::Socket::Got::some;
         got != runtime::Socket::Got::nothing;) {
      got = socket.read(in, kReadAtOnce);
      if (got == runtime::Socket::Got::ended) return false;
      pg::Message m;
      while (take(m) == Seen::good && (m.type == 'S' || m.type == 'N')) drop();
      if (!in.empty()) return false;
    }
    return true;
  }

  // The next message, in `in` until drop(); false where the connection ended or the time came
  // first, and where the store makes a pause of `pause` in the middle of its answer.
  runtime::Task<bool> next(pg::Message& m, TimePoint until, bool begun = false) {
    for (;;) {
      Seen seen = take(m);
      if (seen == Seen::good) co_return true;
      if (seen == Seen::broken) {
        garbled = true;
        co_return false;
      }
      // A row says early how long it is: its place is taken once, and not again and again as it
      // grows.
      std::size_t whole = kept + pg::statedSize(std::string_view(in).substr(kept));
      if (whole > in.capacity()) in.reserve(whole + kTail);
      // Danger: rows that all stores send at once would together take all memory there is.
      if (in.size() > kReadAtOnce && pools.bufferedBytes() > pools.limits().maxBufferedBytes) {
        log::line("upstream_memory_limit", "store=%d bytes=%zu", store, pools.bufferedBytes());
        garbled = true;
        co_return false;
      }
      runtime::Socket::Got got = socket.read(in, std::max(in.size() + kReadAtOnce, whole));
      if (got == runtime::Socket::Got::some) continue;
      if (got == runtime::Socket::Got::ended || (job && job->cancelled)) co_return false;
      // Danger: a length that promises more than ever comes would hold the job for all of its time.
      TimePoint stalls = scheduler().now() + pools.limits().connectTimeout;
      bool waits = (begun || in.size() > kept) && stalls < until;
      bool set = co_await socket.in.wait(waits ? stalls : until);
      if (!set) {
        (waits ? garbled : timedOut) = true;
        co_return false;
      }
    }
  }
  runtime::Scheduler& scheduler() { return pools.scheduler(); }
  // A commit's time is rounded up, and clocks are read at different moments: a little ahead is no
  // untruth.
  WallTime newest() {
    return scheduler().wall().wallOf(scheduler().now()) + pools.limits().connectTimeout;
  }

  runtime::Socket socket;
  std::string in;
  std::size_t beside = 0;  // bytes of parameters and notices since the last answer
  std::size_t
      used = 0,
      kept = 0;  // of `in`: the message in hand; before it, what of the answer goes on as it came
  UpstreamRequest* job = nullptr;
  bool garbled = false, timedOut = false, writing = false, asked = false;

  void learn(std::string_view payload, UpstreamRequest& to);
  void handOver(UpstreamRequest& to);
  runtime::Task<bool> perform(std::optional<std::string_view> rest);
};

void Connection::learn(std::string_view payload, UpstreamRequest& to) {
  auto name = pg::takeString(payload), value = pg::takeString(payload);
  if (!name || !value) return;
  if (*name == "server_role") to.role = request::readRole(*value);
  if (*name == "usage") to.report = request::readReport(*value, newest());
  if (*name == "commit_clock")
    if (auto at = request::readPosition(*value, newest())) to.position = at;
}

// The answer goes on in the buffer in which it came: values may be long, and each copy of them
// costs.
void Connection::handOver(UpstreamRequest& to) {
  std::string behind = in.substr(kept);
  in.resize(kept);
  to.answer.bytes = std::exchange(in, std::move(behind));
  kept = 0;
}

runtime::Task<bool> Connection::connect(TimePoint until) {
  bool up = co_await runtime::connected(socket, until);
  if (!up) co_return false;
  std::string hello = pg::startup(kUser, kDatabase);
  bool sent = co_await runtime::writeAll(socket, hello, until);
  if (!sent) co_return false;
  for (;;) {
    pg::Message m;
    bool got = co_await next(m, until);
    if (!got) co_return false;
    char type = m.type;
    // Only 'authentication ok' is spoken here.
    bool refused = type == 'E' || (type == 'R' && m.payload != std::string_view("\0\0\0\0", 4));
    if (type == 'E') {
      std::string code(pg::errorField(m.payload, 'C'));
      log::line("upstream_rejected", "store=%d code=%s", store, code.c_str());
    }
    bool known = type == 'R' || type == 'S' || type == 'K' || type == 'N' || type == 'Z';
    drop();
    if (refused || !known) co_return false;
    if (type == 'Z') co_return true;
  }
}

// Reads the answer to the job, of which `rest` is still to be written, if its connection holds;
// false where the connection is of no more use. Sets the job's ending.
runtime::Task<bool> Connection::perform(std::optional<std::string_view> rest) {
  UpstreamRequest& j = *job;
  bool written = rest && rest->empty();
  if (written) j.wholeAt = j.leftAt;
  if (rest && !written) {
    writing = true;
    // Danger: a read whose last byte leaves too late is a stale one, a write's too late for its
    // window a second effect.
    TimePoint wholeBy = std::min(std::min(j.until, j.sendBy), j.leftAt + kLongestWrite);
    written = co_await runtime::writeAll(socket, *rest, wholeBy);
    if (written) j.wholeAt = scheduler().instant();
    writing = false;
  }
  if (!written) {
    // Danger: a job that was called off while it was written says nothing about the store.
    // So does one that was held up on its way: the kernel may take it late for this process's own
    // sake.
    bool late = scheduler().now() >= std::min(j.sendBy, j.leftAt + kLongestWrite);
    j.outcome = j.cancelled || late ? AttemptOutcome::neverSent : AttemptOutcome::connectFailed;
    co_return false;
  }
  // Danger: from here on the store may have run it, whatever becomes of the connection.
  int rows = 0;
  bool described = false, complete = false, failed = false;
  for (;;) {
    pg::Message m;
    bool got = co_await next(m, j.until, described || failed);
    if (!got) break;
    bool sound = true;
    switch (m.type) {
      case 'T':
        sound = !described && !failed;
        described = true;
        keep();
        break;
      case 'D':
        sound = described && !complete && !failed && rows == 0;
        ++rows;
        if (j.statement < 0)
          if (auto value = pg::firstColumn(m.payload))
            j.report = request::readReport(*value, newest());
        keep();
        break;
      case 'C':
        sound = rows == 1 && !complete && !failed;
        complete = true;
        keep();
        break;
      case 'E': {
        std::string_view code = pg::errorField(m.payload, 'C');
        sound = !failed && !complete;
        failed = true;
        j.answer.bytes = m.whole;
        if (code == "25006" || code == "72000")
          j.outcome = AttemptOutcome::notServedHere;
        else if (code == "53300")
          j.outcome = AttemptOutcome::overloaded;
        else
          j.outcome = blamesStatement(code) ? AttemptOutcome::invalid : AttemptOutcome::error;
        if (code != "25006" && code != "72000" && code != "53300" && code != "XX000" &&
            j.statement >= 0)
          log::line("store_error", "store=%d code=%.5s", store, std::string(code).c_str());
        break;
      }
      case 'S':
        learn(m.payload, j);
        break;
      case 'N':
        break;
      case 'Z':
        sound = complete != failed;
        if (!sound) break;
        drop();
        beside = 0;
        if (complete) j.outcome = AttemptOutcome::ok, handOver(j);
        in.erase(0, kept), kept = 0;  // an error may have come in a row's place
        co_return true;
      default:
        sound = false;
    }
    drop();
    garbled |= !sound;
    if (garbled) break;
  }
  if (garbled) {
    log::line("upstream_protocol_error", "store=%d", store);
    // Danger: nothing of a spoilt answer is to be believed, least of all that the statement never
    // ran.
    j.role = Role::unknown, j.position.reset(), j.report = {};
    j.outcome = j.cancelled ? AttemptOutcome::cancelled : AttemptOutcome::malformedResponse;
    co_return false;
  }
  if (failed)
    co_return false;  // its word stands, though the connection ended before it was ready again
  if (complete && !j.cancelled) handOver(j);
  j.outcome = j.cancelled ? AttemptOutcome::cancelled
              : complete  ? AttemptOutcome::ok
              : timedOut  ? AttemptOutcome::timeout
                          : AttemptOutcome::reset;
  co_return false;
}

runtime::Task<> Connection::serve() {
  while (socket.open()) {
    if (!job) job = pools.nextRequest(*this);
    if (!job) {
      idleSince = scheduler().now();
      pools.markReady(*this);
      // Danger: the store's machine closes what has been idle for the stated time; a job that is
      // written just then is lost. A connection is given up a connect time-out earlier.
      TimePoint until = idleSince + pools.limits().keepalive - pools.limits().connectTimeout;
      bool alive = true;
      while (alive && !job) {
        bool set = co_await socket.in.wait(until);
        if (job) break;
        alive = set && quiet();
      }
      if (!job) pools.markBusy(*this);
      if (!alive) break;
    }
    // Danger: what the store sent unasked would pass for the answer, and what it ended would lose
    // the job.
    if (!quiet()) {
      if (job->cancelled) break;
      pools.requeue(std::exchange(job, nullptr));
      break;
    }
    UpstreamRequest* j = job;
    std::string words = wordsOf(*j, pools.scheduler().instant());
    // Danger: the process may stand still anywhere; as little as can be lies between this look at
    // the time and the write.
    if (!pools.maySend(*j)) {
      job = nullptr;
      pools.complete(j, AttemptOutcome::neverSent);
      continue;
    }
    std::optional<std::string_view> rest = socket.write(words);
    if (rest && rest->empty()) std::string().swap(words);  // answers may take long
    asked = true;
    bool sound = co_await perform(rest);
    asked = false;
    job = nullptr;
    pools.complete(j, j->outcome);
    if (!sound) break;
  }
}

runtime::Task<> Connection::end() {
  socket.close();
  if (job)
    pools.complete(std::exchange(job, nullptr),
                   asked ? AttemptOutcome::reset : AttemptOutcome::neverSent);
  co_return;
}

}  // namespace

std::unique_ptr<upstream::UpstreamConnection> UpstreamProtocol::createConnection(
    upstream::ConnectionPools& pools, int store, request::ProtocolVersion version, int fd) {
  return std::make_unique<Connection>(pools, store, version, fd);
}

}  // namespace reedchute::protocols::postgres
