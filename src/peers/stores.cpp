#include "peers/stores.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/number.h"
#include "log/log.h"

namespace reedchute::peers {
namespace {

constexpr std::size_t kReadAtOnce = 64 * 1024;  // before what came is looked at
constexpr std::size_t kTail = 256;              // what usually follows a row
constexpr double kSettle = 0.01;      // connect time-outs that a connection is idle before it is a sure one
constexpr double kMostNumber = 1e12;  // of a report's figures; positions are seconds
constexpr const char *kUser = "web", *kDatabase = "orders";  // as clients give them

// SQLSTATE classes by which a store says that the statement is at fault, wherever it is sent.
bool blamesStatement(std::string_view code) {
  for (std::string_view kind : {"0A", "21", "22", "23", "42", "44", "54"})
    if (code.substr(0, 2) == kind) return true;
  return false;
}

}  // namespace

Report readReport(std::string_view text, TimePoint newest) {
  Report report;
  while (!text.empty()) {
    std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    std::optional<double> value = numberIn<double>(pair.substr(equals + 1));
    if (!value || !(std::abs(*value) < kMostNumber)) continue;  // nor infinity, nor what is no number
    // Danger: a store that has no position yet says 0, and no primary; taken for a report it would hide the
    // one.
    if (pair.substr(0, equals) == "x0" && *value > 0)
      report.position = TimePoint{static_cast<std::int64_t>(*value * 1e6)};
    // Danger: a position ahead of the clock would hide every later one, and make stale reads look fresh.
    if (report.position && *report.position > newest) return {};
    if (pair.substr(0, equals) == "x1") report.primary = *value > 0.5;
  }
  return report;
}

class Connection {
 public:
  Connection(Stores& owner, int of, int fd) : stores(owner), store(of), socket(owner.scheduler_, fd) {}

  enum class Seen { nothing, good, broken };

  // Takes one message off the buffer; `broken` where the stream makes no sense.
  Seen take(pg::Message& m) {
    used = 0;
    std::string_view rest = std::string_view(in).substr(kept);
    if (!pg::storeMessageMayFollow(rest, stores.limits_.row)) return Seen::broken;
    switch (pg::frame(rest, stores.limits_.row, m)) {
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
    if (socket.read(in, kReadAtOnce) == sched::Socket::Got::ended) return false;
    pg::Message m;
    while (take(m) == Seen::good && (m.type == 'S' || m.type == 'N')) drop();
    return in.empty();
  }

  // The next message, in `in` until drop(); false where the connection ended or the time came first, and where
  // the store makes a pause of `pause` in the middle of its answer.
  sched::Task<bool> next(pg::Message& m, TimePoint until, bool begun = false) {
    for (;;) {
      Seen seen = take(m);
      if (seen == Seen::good) co_return true;
      if (seen == Seen::broken) {
        garbled = true;
        co_return false;
      }
      // A row says early how long it is: its place is taken once, and not again and again as it grows.
      std::size_t whole = kept + pg::statedSize(std::string_view(in).substr(kept));
      if (whole > in.capacity()) in.reserve(whole + kTail);
      // Danger: rows that all stores send at once would together take all memory there is.
      if (in.size() > kReadAtOnce && stores.held() > stores.limits_.bytes) {
        log::line("store_too_much", "store=%d bytes=%zu", store, stores.held());
        garbled = true;
        co_return false;
      }
      sched::Socket::Got got = socket.read(in, std::max(in.size() + kReadAtOnce, whole));
      if (got == sched::Socket::Got::some) continue;
      if (got == sched::Socket::Got::ended) co_return false;
      // Danger: a length that promises more than ever comes would hold the job for all of its time.
      TimePoint stalls = scheduler().now() + stores.limits_.connectTimeout;
      bool waits = (begun || in.size() > kept) && stalls < until;
      bool set = co_await socket.in.wait(waits ? stalls : until);
      if (!set) {
        (waits ? garbled : late) = true;
        co_return false;
      }
    }
  }
  sched::Scheduler& scheduler() { return stores.scheduler_; }
  // A commit's time is rounded up, and clocks are read at different moments: a little ahead is no untruth.
  TimePoint newest() { return scheduler().now() + stores.limits_.connectTimeout; }

  Stores& stores;
  int store;
  sched::Socket socket;
  std::string in;
  std::size_t used = 0, kept = 0;  // of `in`: the message in hand; before it, what of the answer goes on as it came
  Job* job = nullptr;
  TimePoint idleSince{};
  bool garbled = false, late = false;

  void learn(std::string_view payload, Job& to);
  void handOver(Job& to);
  sched::Task<bool> comeUp(TimePoint until);
  sched::Task<bool> perform();
};

void Connection::learn(std::string_view payload, Job& to) {
  auto name = pg::takeString(payload), value = pg::takeString(payload);
  if (!name || !value) return;
  if (*name == "server_role")
    to.role = *value == "writer" ? Role::primary : *value == "reader" ? Role::replica : Role::unknown;
  if (*name == "usage") to.report = readReport(*value, newest());
  if (*name == "commit_clock")
    if (auto ms = numberIn<double>(*value); ms && *ms > 0 && *ms * 1000 <= static_cast<double>(newest().us))
      to.position = TimePoint{static_cast<std::int64_t>(*ms * 1000)};
}

// The answer goes on in the buffer in which it came: values may be long, and each copy of them costs.
void Connection::handOver(Job& to) {
  std::string behind = in.substr(kept);
  in.resize(kept);
  to.row = std::exchange(in, std::move(behind));
  kept = 0;
}

sched::Task<bool> Connection::comeUp(TimePoint until) {
  bool up = co_await sched::connected(socket, until);
  if (!up) co_return false;
  std::string hello = pg::startup(kUser, kDatabase);
  bool sent = co_await sched::writeAll(socket, hello, until);
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
      log::line("store_refused", "store=%d code=%s", store, code.c_str());
    }
    bool known = type == 'R' || type == 'S' || type == 'K' || type == 'N' || type == 'Z';
    drop();
    if (refused || !known) co_return false;
    if (type == 'Z') co_return true;
  }
}

// Writes the job and reads its answer; false where the connection is of no more use. Sets the job's ending.
sched::Task<bool> Connection::perform() {
  Job& j = *job;
  bool written = co_await sched::writeAll(socket, j.bytes, j.until);
  j.bytes.clear();
  j.bytes.shrink_to_fit();
  if (!written) {
    // Danger: a job that was called off while it was written says nothing about the store.
    j.ending = j.cancelled ? Ending::moot : Ending::connectFailed;
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
        if (j.stmt < 0)
          if (auto value = pg::firstColumn(m.payload)) j.report = readReport(*value, newest());
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
        j.row = m.whole;
        if (code == "25006" || code == "72000")
          j.ending = Ending::miss;
        else if (code == "53300")
          j.ending = Ending::full;
        else
          j.ending = blamesStatement(code) ? Ending::invalid : Ending::error;
        if (code != "25006" && code != "72000" && code != "53300" && code != "XX000" && j.stmt >= 0)
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
        if (complete) j.ending = Ending::ok, handOver(j);
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
    log::line("store_garbled", "store=%d", store);
    // Danger: nothing of a spoilt answer is to be believed, least of all that the statement never ran.
    j.role = Role::unknown, j.position.reset(), j.report = {};
    j.ending = j.cancelled ? Ending::cancelled : Ending::spoilt;
    co_return false;
  }
  if (failed) co_return false;  // its word stands, though the connection ended before it was ready again
  if (complete && !j.cancelled) handOver(j);
  j.ending = j.cancelled ? Ending::cancelled
             : complete  ? Ending::ok
             : late      ? Ending::timeout
                         : Ending::reset;
  co_return false;
}

// ---- the pools ----

Stores::Stores(sched::Scheduler& s, Giver& giver, Limits limits)
    : scheduler_(s), giver_(giver), limits_(limits) {}

Stores::~Stores() = default;

void Stores::place(int store, const sockaddr_in& address) {
  if (static_cast<std::size_t>(store) >= pools_.size()) pools_.resize(static_cast<std::size_t>(store) + 1);
  Pool& pool = poolOf(store);
  bool moved = pool.address && !sched::sameAddress(*pool.address, address);
  pool.address = address;
  if (moved) release(store);  // danger: what still answers at the old address is not this store
}

Job* Stores::give(std::unique_ptr<Job> job) {
  Job* j = job.get();
  j->place = jobs_.size();
  jobs_.push_back(std::move(job));
  Pool& pool = poolOf(j->store);
  if (!pool.idle.empty()) {
    // Danger: a store may close right behind its answer; a job that is written just then is lost. The one used
    // last is taken of those that have been idle for a moment.
    TimePoint settled = scheduler_.now() - limits_.connectTimeout * kSettle;
    auto it = pool.idle.end() - 1;
    while (it != pool.idle.begin() && (*it)->idleSince > settled) --it;
    if ((*it)->idleSince > settled) it = pool.idle.end() - 1;
    Connection* c = *it;
    pool.idle.erase(it);
    c->job = j, j->on = c;
    c->socket.in.set();
    return j;
  }
  pool.waiting.push_back(j);
  // Danger: statements that start together would each open a connection; one for each that waits is enough.
  if (pool.coming < static_cast<int>(pool.waiting.size())) openOne(j->store);
  return j;
}

void Stores::cancel(Job* job) {
  if (job->cancelled) return;
  job->cancelled = true;
  if (job->on) job->on->socket.close();
  // One that waits for a connection is passed over when its turn comes.
}

void Stores::withdraw(int store) {
  // Danger: a connection may come up as late as the grace ends.
  for (std::deque<Job*> left = std::exchange(poolOf(store).waiting, {}); Job * j : left)
    finish(j, Ending::moot);
}

bool Stores::unused(int store) const {
  auto toIt = [&](const auto& one) { return one->store == store; };
  return std::none_of(connections_.begin(), connections_.end(), toIt) &&
         std::none_of(jobs_.begin(), jobs_.end(), toIt);
}

void Stores::release(int store) {
  if (static_cast<std::size_t>(store) >= pools_.size()) return;
  for (Connection* c : poolOf(store).idle) c->socket.close();
  poolOf(store).idle.clear();
}

bool Stores::closeLongestIdle() {
  Pool* from = nullptr;
  for (Pool& p : pools_)
    if (!p.idle.empty() && (!from || p.idle.front()->idleSince < from->idle.front()->idleSince)) from = &p;
  if (!from) return false;
  from->idle.front()->socket.close();
  from->idle.erase(from->idle.begin());
  return true;
}

std::size_t Stores::held() const {
  std::size_t bytes = 0;
  for (const Connection* c : connections_) bytes += c->in.capacity();
  return bytes;
}

void Stores::openOne(int store) {
  int fd = -1;
  Pool& pool = poolOf(store);
  // Danger: the process has only so many descriptors; the longest idle connection makes room.
  if (connections_.size() < limits_.connections || closeLongestIdle())
    fd = pool.address ? sched::startConnect(*pool.address) : -1;
  else
    log::line("stores_crowded", "connections=%zu", connections_.size());
  auto c = std::make_unique<Connection>(*this, store, fd);
  connections_.push_back(c.get());
  ++pool.coming;
  scheduler_.spawn(serve(std::move(c)));
}

// Is it still to be written? Danger: a statement may have ended while its execution waited for a connection.
bool Stores::due(const Job& j) const {
  // Danger: a process that used up its part of a core stands still for most of a tenth of a second in the middle of
  // a round; a bounded read that is judged by the round's beginning would leave stale.
  TimePoint now = scheduler_.instant();
  return !j.cancelled && j.until > now && j.sendBy > now && giver_.wanted(j);
}

// The next job for a connection; those that are not to be sent any more end on the way.
Job* Stores::nextFor(int store) {
  std::deque<Job*>& waiting = poolOf(store).waiting;
  while (!waiting.empty()) {
    Job* j = waiting.front();
    waiting.pop_front();
    if (due(*j)) return j;
    finish(j, Ending::moot);
  }
  return nullptr;
}

void Stores::failOldest(int store) {
  if (Job* j = nextFor(store)) finish(j, Ending::connectFailed);
}

void Stores::finish(Job* job, Ending ending) {
  job->ending = ending;
  job->on = nullptr;
  std::unique_ptr<Job> kept = std::move(jobs_[job->place]);
  if (job != jobs_.back().get() && jobs_.back()) {
    jobs_[job->place] = std::move(jobs_.back());
    jobs_[job->place]->place = job->place;
  }
  jobs_.pop_back();
  giver_.ended(*kept);
}

sched::Task<> Stores::serve(std::unique_ptr<Connection> c) {
  Connection& conn = *c;
  int store = conn.store;
  bool up = co_await conn.comeUp(scheduler_.now() + limits_.connectTimeout);
  --poolOf(store).coming;
  if (!up) failOldest(store);
  while (up && conn.socket.open()) {
    if (!conn.job) {
      conn.job = nextFor(store);
      if (conn.job) conn.job->on = &conn;
    }
    if (!conn.job) {
      conn.idleSince = scheduler_.now();
      poolOf(store).idle.push_back(&conn);
      // Danger: the store's machine closes what has been idle for the stated time; a job that is written just
      // then is lost. A connection is given up a connect time-out earlier.
      TimePoint until = conn.idleSince + limits_.keepalive - limits_.connectTimeout;
      bool alive = true;
      while (alive && !conn.job) {
        bool set = co_await conn.socket.in.wait(until);
        if (conn.job) break;
        alive = set && conn.quiet();
      }
      if (!conn.job) std::erase(poolOf(store).idle, &conn);
      if (!alive) break;
    }
    // Danger: what the store sent unasked would pass for the answer, and what it ended would lose the job.
    if (!conn.quiet()) {
      if (conn.job->cancelled) break;
      Job* j = conn.job;
      conn.job = nullptr, j->on = nullptr;
      poolOf(store).waiting.push_front(j);
      break;
    }
    Job* j = conn.job;
    if (!due(*j)) {
      conn.job = nullptr;
      finish(j, Ending::moot);
      continue;
    }
    bool sound = co_await conn.perform();
    conn.job = nullptr;
    finish(j, j->ending);
    if (!sound) break;
  }
  if (conn.job) finish(std::exchange(conn.job, nullptr), Ending::moot);
  // Jobs that counted on this connection need another.
  std::erase(connections_, &conn);
  conn.socket.close();
  Pool& pool = poolOf(store);
  if (pool.coming < static_cast<int>(pool.waiting.size())) openOne(store);
}

}  // namespace reedchute::peers
