#include "peers/stores.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::peers {
namespace {

constexpr double kSettle = 0.01;  // connect time-outs that a connection is idle before it is a sure one
// Where stores are more than descriptors: of the connections, those that may be made for probes at once; and connect
// time-outs that a statement waits for a place. A probe waits for one.
constexpr std::size_t kProbesPart = 2;
constexpr double kStatementWaits = 0.4, kLooks = 0.1;
constexpr int kMostReturns = 3;  // connections that a job may find of no use

}  // namespace

Stores::Stores(sched::Scheduler& s, exchange::Giver& giver, Limits limits)
    : scheduler_(s), giver_(giver), limits_(limits) {}

Stores::~Stores() = default;

Speech Stores::add(exchange::Voice& voice) {
  voices_.push_back(&voice);
  return static_cast<Speech>(voices_.size()) - 1;
}

void Stores::place(int store, Speech speech, const sockaddr_in& address) {
  while (static_cast<std::size_t>(store) >= pools_.size()) pools_.emplace_back(voices_.size());
  Pool& pool = poolOf(store, speech);
  bool moved = pool.address && !sched::sameAddress(*pool.address, address);
  pool.address = address;
  if (!moved) return;
  // Danger: what still answers at the old address is not this store.
  closeIdle(pool);
  std::vector<Carrier*> all = connections_;
  for (Carrier* c : all)
    if (c->store == store && c->speech == speech) c->retire();
}

Job* Stores::give(std::unique_ptr<Job> job) {
  Job* j = job.get();
  j->place = jobs_.size();
  jobs_.push_back(std::move(job));
  Pool& pool = poolOf(j->store, j->speech);
  if (!pool.ready.empty()) {
    // Danger: a store may close right behind its answer; a job that is written just then is lost. Of those with the
    // fewest jobs, the one used last is taken that has been idle for a moment.
    TimePoint settled = scheduler_.now() - limits_.connectTimeout * kSettle;
    Carrier* best = pool.ready.back();
    auto sure = [&](const Carrier* c) { return c->jobs() > 0 || c->idleSince <= settled; };
    for (auto it = pool.ready.rbegin(); it != pool.ready.rend(); ++it)
      if ((*it)->jobs() < best->jobs() || ((*it)->jobs() == best->jobs() && !sure(best) && sure(*it))) best = *it;
    if (best->jobs() + 1 >= atOnce(j->speech)) std::erase(pool.ready, best);
    j->on = best;
    best->take(j);
    return j;
  }
  pool.waiting.push_back(j);
  openWanted(j->store, j->speech);
  return j;
}

void Stores::cancel(Job* job) {
  if (job->cancelled) return;
  job->cancelled = true;
  if (job->on) job->on->cancel(job);
  // One that waits for a connection is passed over when its turn comes.
}

void Stores::withdraw(int store) {
  for (Pool& pool : pools_[static_cast<std::size_t>(store)]) {
    // Danger: a connection may come up as late as the grace ends.
    for (std::list<Job*> left = std::exchange(pool.waiting, {}); Job * j : left) finish(j, Ending::moot);
  }
  std::vector<Carrier*> all = connections_;
  for (Carrier* c : all)
    if (c->store == store) c->retire();
}

void Stores::recall(const std::function<bool(const Job&)>& which) {
  for (const std::unique_ptr<Job>& j : jobs_)
    if (j->leftAt == kNever && which(*j)) j->sendBy = kNever;
  std::vector<Job*> waited;
  for (auto& pools : pools_)
    for (Pool& p : pools)
      std::erase_if(p.waiting, [&](Job* j) {
        if (j->sendBy == kNever) waited.push_back(j);
        return j->sendBy == kNever;
      });
  for (Job* j : waited) finish(j, Ending::moot);
}

bool Stores::unused(int store) const {
  auto toIt = [&](const auto& one) { return one->store == store; };
  return std::none_of(connections_.begin(), connections_.end(), toIt) &&
         std::none_of(jobs_.begin(), jobs_.end(), toIt);
}

void Stores::forget(int store) {
  for (Pool& pool : pools_[static_cast<std::size_t>(store)]) pool = {};
  for (exchange::Voice* v : voices_) v->forget(store);
}

void Stores::release(int store) {
  if (static_cast<std::size_t>(store) >= pools_.size()) return;
  for (Pool& pool : pools_[static_cast<std::size_t>(store)]) closeIdle(pool);
}

void Stores::closeIdle(Pool& pool) {
  for (Carrier* c : pool.ready)
    if (c->jobs() == 0) c->close();
  std::erase_if(pool.ready, [](const Carrier* c) { return c->jobs() == 0; });
}

bool Stores::closeLongestIdle() {
  Carrier* longest = nullptr;
  auto idle = [&](Carrier* c) {
    const std::vector<Carrier*>& ready = poolOf(*c).ready;
    return c->jobs() == 0 && std::find(ready.begin(), ready.end(), c) != ready.end();
  };
  for (Carrier* c : connections_)
    if ((!longest || c->idleSince < longest->idleSince) && idle(c)) longest = c;
  if (!longest) return false;
  unready(*longest);
  longest->close();
  return true;
}

std::size_t Stores::held() const {
  std::size_t bytes = 0;
  for (const Carrier* c : connections_) bytes += c->held();
  return bytes;
}

// Danger: statements that start together would each open a connection; one for as many as it carries is enough.
bool Stores::wanted(const Pool& pool, Speech speech) const {
  std::size_t each = atOnce(speech);
  return static_cast<std::size_t>(pool.coming) < (pool.waiting.size() + each - 1) / each;
}

Stores::Line Stores::lineOf(const Pool& pool) {
  bool statements = std::any_of(pool.waiting.begin(), pool.waiting.end(), [](const Job* j) { return j->stmt >= 0; });
  return statements ? forStatements : forProbes;
}

void Stores::openWanted(int store, Speech speech) {
  Pool& pool = poolOf(store, speech);
  if (!wanted(pool, speech) || openOne(store, speech)) return;
  // Danger: a store for which this process has no descriptor left would count as one that can't be reached.
  Line line = lineOf(pool);
  if (std::exchange(pool.lined[line], true)) return;
  lines_[line].emplace_back(store, speech);
  if (!std::exchange(watching_, true)) scheduler_.spawn(watchLines());
}

// Danger: the process has only so many descriptors, and stores may be more; the longest idle connection makes room.
// Probes of all of them at once would leave none to statements.
bool Stores::place(Line line) {
  auto probing = [](const Carrier* c) { return c->forProbe; };
  if (line == forProbes && static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), probing)) >=
                               std::max<std::size_t>(1, limits_.connections / kProbesPart))
    return false;
  return connections_.size() < limits_.connections || closeLongestIdle();
}

bool Stores::openOne(int store, Speech speech) {
  Pool& pool = poolOf(store, speech);
  Line line = lineOf(pool);
  if (!place(line)) return false;
  bool lacking = false;
  int fd = pool.address ? sched::startConnect(*pool.address, &lacking) : -1;
  if (lacking) return false;
  auto c = voices_[static_cast<std::size_t>(speech)]->carrier(*this, store, speech, fd);
  c->forProbe = line == forProbes;
  connections_.push_back(c.get());
  ++pool.coming, ++opened_;
  scheduler_.spawn(run(std::move(c)));
  return true;
}

void Stores::placeFreed() {
  for (Line line : {forStatements, forProbes})
    while (!lines_[line].empty()) {
      auto [store, speech] = lines_[line].front();
      Pool& pool = poolOf(store, speech);
      bool still = wanted(pool, speech) && lineOf(pool) == line;
      if (still && !openOne(store, speech)) break;
      lines_[line].pop_front();
      pool.lined[line] = false;
      openWanted(store, speech);  // where it wants more than one, it goes to the end
    }
}

// Danger: what waits for a place would wait until its client's time is up, while other stores could be had.
sched::Task<> Stores::watchLines() {
  while (!lines_[forStatements].empty() || !lines_[forProbes].empty()) {
    co_await sched::sleepUntil(scheduler_, scheduler_.now() + limits_.connectTimeout * kLooks);
    TimePoint now = scheduler_.now();
    std::vector<Job*> over;
    for (const auto& line : lines_)
      for (auto [store, speech] : line) {
        // The first ones have their connections coming.
        std::size_t coming = static_cast<std::size_t>(poolOf(store, speech).coming) * atOnce(speech), k = 0;
        for (Job* j : poolOf(store, speech).waiting) {
          Span waits = limits_.connectTimeout * (j->stmt >= 0 ? kStatementWaits : 1.0);
          if (k++ >= coming && !j->unplaced && (now - j->begun >= waits || !due(*j))) j->unplaced = true, over.push_back(j);
        }
      }
    for (Job* j : over) {
      log::line("stores_crowded", "connections=%zu store=%d", connections_.size(), j->store);
      poolOf(j->store, j->speech).waiting.remove(j);
      finish(j, Ending::moot);
    }
    placeFreed();
  }
  watching_ = false;
}

bool Stores::due(const Job& j) const {
  // Danger: a process that used up its part of a core stands still for most of a tenth of a second in the middle of
  // a round; a bounded read that is judged by the round's beginning would leave stale.
  TimePoint now = scheduler_.instant();
  return !j.cancelled && j.until > now && j.sendBy > now && giver_.wanted(j);
}

bool Stores::leaves(Job& j) {
  TimePoint now = scheduler_.instant();
  if (!giver_.mayLeave(j, now)) return false;
  j.leftAt = now;
  return true;
}

Job* Stores::nextFor(Carrier& c) {
  std::list<Job*>& waiting = poolOf(c).waiting;
  while (!waiting.empty()) {
    Job* j = waiting.front();
    waiting.pop_front();
    if (due(*j)) {
      j->on = &c;
      return j;
    }
    finish(j, Ending::moot);
  }
  return nullptr;
}

void Stores::ready(Carrier& c) {
  std::vector<Carrier*>& ready = poolOf(c).ready;
  if (std::find(ready.begin(), ready.end(), &c) == ready.end()) ready.push_back(&c);
  c.forProbe = false;
  if (c.jobs() == 0) placeFreed();
}

void Stores::unready(Carrier& c) { std::erase(poolOf(c).ready, &c); }

void Stores::giveBack(Job* job) {
  job->on = nullptr;
  // Danger: a store that closes each connection as soon as it is up would be dialled in a loop.
  if (++job->returns > kMostReturns) return finish(job, Ending::connectFailed);
  poolOf(job->store, job->speech).waiting.push_front(job);
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

sched::Task<bool> Stores::comeUp(Carrier& c) {
  try {
    bool up = co_await c.comeUp(scheduler_.now() + limits_.connectTimeout);
    co_return up;
  } catch (const std::exception& e) {
    log::line("fault", "what=\"%s\"", e.what());
    co_return false;
  }
}

sched::Task<> Stores::run(std::unique_ptr<Carrier> owned) {
  Carrier& c = *owned;
  bool up = co_await comeUp(c);
  --poolOf(c).coming;
  if (up) {
    // Danger: an exception that left this coroutine would leave its jobs without an end, and its connection
    // among the others.
    try {
      co_await c.serve();
    } catch (const std::exception& e) {
      log::line("fault", "what=\"%s\"", e.what());
    }
  } else {
    // Those that it was made for. Danger: one that waited too long to be sent found the store away all the same.
    std::list<Job*>& waiting = poolOf(c).waiting;
    for (std::size_t n = atOnce(c.speech); n > 0 && !waiting.empty();) {
      Job* j = waiting.front();
      waiting.pop_front();
      bool wanted = !j->cancelled && giver_.wanted(*j);
      finish(j, wanted ? Ending::connectFailed : Ending::moot);
      n -= wanted;
    }
  }
  unready(c);
  co_await c.end();
  std::erase(connections_, &c);
  // Jobs that counted on this connection need another.
  openWanted(c.store, c.speech);
  placeFreed();
}

}  // namespace reedchute::peers
