#include "upstream/connection_pools.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::upstream {
namespace {

constexpr double kSettle =
    0.01;  // connect time-outs that a connection is idle before it is a sure one
// Where stores are more than descriptors: of the connections, those that may be made for probes at
// once; and connect time-outs that a statement waits for a place. A probe waits for one.
constexpr std::size_t kProbesPart = 2;
constexpr double kStatementWaits = 0.4, kLooks = 0.1;
constexpr int kMostReturns = 3;  // connections that a job may find of no use

}  // namespace

ConnectionPools::ConnectionPools(runtime::Scheduler& s, request::AttemptOwner& owner, Limits limits)
    : scheduler_(s), owner_(owner), limits_(limits) {}

ConnectionPools::~ConnectionPools() = default;

ProtocolVersion ConnectionPools::add(request::UpstreamProtocol& voice) {
  voices_.push_back(&voice);
  return static_cast<ProtocolVersion>(voices_.size()) - 1;
}

void ConnectionPools::place(int store, ProtocolVersion version, const sockaddr_in& address) {
  while (static_cast<std::size_t>(store) >= pools_.size()) pools_.emplace_back(voices_.size());
  Pool& pool = poolOf(store, version);
  bool moved = pool.address && !runtime::sameAddress(*pool.address, address);
  pool.address = address;
  if (!moved) return;
  // Danger: what still answers at the old address is not this store.
  closeIdle(pool);
  std::vector<UpstreamConnection*> all = connections_;
  for (UpstreamConnection* c : all)
    if (c->store == store && c->version == version) c->retire();
}

UpstreamRequest* ConnectionPools::submit(std::unique_ptr<UpstreamRequest> job) {
  UpstreamRequest* j = job.get();
  j->index = jobs_.size();
  jobs_.push_back(std::move(job));
  Pool& pool = poolOf(j->store, j->version);
  if (!pool.ready.empty()) {
    // Danger: a store may close right behind its answer; a job that is written just then is lost.
    // Of those with the fewest jobs, the one used last is taken that has been idle for a moment.
    TimePoint settled = scheduler_.now() - limits_.connectTimeout * kSettle;
    UpstreamConnection* best = pool.ready.back();
    auto sure = [&](const UpstreamConnection* c) {
      return c->jobs() > 0 || c->idleSince <= settled;
    };
    for (auto it = pool.ready.rbegin(); it != pool.ready.rend(); ++it)
      if ((*it)->jobs() < best->jobs() ||
          ((*it)->jobs() == best->jobs() && !sure(best) && sure(*it)))
        best = *it;
    if (best->jobs() + 1 >= atOnce(j->version)) std::erase(pool.ready, best);
    j->connection = best;
    best->take(j);
    return j;
  }
  pool.waiting.push_back(j);
  openWanted(j->store, j->version);
  return j;
}

void ConnectionPools::cancel(UpstreamRequest* job) {
  if (job->isCancelled) return;
  job->isCancelled = true;
  if (job->connection) job->connection->cancel(job);
  // One that waits for a connection is passed over when its turn comes.
}

void ConnectionPools::withdraw(int store) {
  for (Pool& pool : pools_[static_cast<std::size_t>(store)]) {
    // Danger: a connection may come up as late as the grace ends.
    for (std::list<UpstreamRequest*> left = std::exchange(pool.waiting, {});
         UpstreamRequest * j : left)
      finish(j, AttemptOutcome::neverSent);
  }
  std::vector<UpstreamConnection*> all = connections_;
  for (UpstreamConnection* c : all)
    if (c->store == store) c->retire();
}

void ConnectionPools::recall(const std::function<bool(const UpstreamRequest&)>& which) {
  for (const std::unique_ptr<UpstreamRequest>& j : jobs_)
    if (j->firstByteSentAt == kNever && which(*j)) j->sendBy = kNever;
  std::vector<UpstreamRequest*> waited;
  for (auto& pools : pools_)
    for (Pool& p : pools)
      std::erase_if(p.waiting, [&](UpstreamRequest* j) {
        if (j->sendBy == kNever) waited.push_back(j);
        return j->sendBy == kNever;
      });
  for (UpstreamRequest* j : waited) finish(j, AttemptOutcome::neverSent);
}

bool ConnectionPools::unused(int store) const {
  auto toIt = [&](const auto& one) { return one->store == store; };
  return std::none_of(connections_.begin(), connections_.end(), toIt) &&
         std::none_of(jobs_.begin(), jobs_.end(), toIt);
}

void ConnectionPools::forget(int store) {
  for (Pool& pool : pools_[static_cast<std::size_t>(store)]) pool = {};
  for (request::UpstreamProtocol* v : voices_) v->forget(store);
}

void ConnectionPools::release(int store) {
  if (static_cast<std::size_t>(store) >= pools_.size()) return;
  for (Pool& pool : pools_[static_cast<std::size_t>(store)]) closeIdle(pool);
}

void ConnectionPools::closeIdle(Pool& pool) {
  for (UpstreamConnection* c : pool.ready)
    if (c->jobs() == 0) c->close();
  std::erase_if(pool.ready, [](const UpstreamConnection* c) { return c->jobs() == 0; });
}

bool ConnectionPools::closeLongestIdle() {
  UpstreamConnection* longest = nullptr;
  auto idle = [&](UpstreamConnection* c) {
    const std::vector<UpstreamConnection*>& ready = poolOf(*c).ready;
    return c->jobs() == 0 && std::find(ready.begin(), ready.end(), c) != ready.end();
  };
  for (UpstreamConnection* c : connections_)
    if ((!longest || c->idleSince < longest->idleSince) && idle(c)) longest = c;
  if (!longest) return false;
  unready(*longest);
  longest->close();
  return true;
}

std::size_t ConnectionPools::held() const {
  std::size_t bytes = 0;
  for (const UpstreamConnection* c : connections_) bytes += c->held();
  return bytes;
}

// Danger: statements that start together would each open a connection; one for as many as it
// carries is enough.
bool ConnectionPools::wanted(const Pool& pool, ProtocolVersion version) const {
  std::size_t each = atOnce(version);
  return static_cast<std::size_t>(pool.coming) < (pool.waiting.size() + each - 1) / each;
}

ConnectionPools::WaitingLine ConnectionPools::lineOf(const Pool& pool) {
  bool statements = std::any_of(pool.waiting.begin(), pool.waiting.end(),
                                [](const UpstreamRequest* j) { return j->statement >= 0; });
  return statements ? forStatements : forProbes;
}

void ConnectionPools::openWanted(int store, ProtocolVersion version) {
  Pool& pool = poolOf(store, version);
  if (!wanted(pool, version) || openOne(store, version)) return;
  // Danger: a store for which this process has no descriptor left would count as one that can't be
  // reached.
  WaitingLine line = lineOf(pool);
  if (std::exchange(pool.lined[line], true)) return;
  lines_[line].emplace_back(store, version);
  if (!std::exchange(watching_, true)) scheduler_.spawn(watchLines());
}

// Danger: the process has only so many descriptors, and stores may be more; the longest idle
// connection makes room. Probes of all of them at once would leave none to statements.
bool ConnectionPools::place(WaitingLine line) {
  auto probing = [](const UpstreamConnection* c) { return c->forProbe; };
  if (line == forProbes &&
      static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), probing)) >=
          std::max<std::size_t>(1, limits_.connections / kProbesPart))
    return false;
  return connections_.size() < limits_.connections || closeLongestIdle();
}

bool ConnectionPools::openOne(int store, ProtocolVersion version) {
  Pool& pool = poolOf(store, version);
  WaitingLine line = lineOf(pool);
  if (!place(line)) return false;
  bool lacking = false;
  int fd = pool.address ? runtime::startConnect(*pool.address, &lacking) : -1;
  if (lacking) return false;
  auto c = voices_[static_cast<std::size_t>(version)]->carrier(*this, store, version, fd);
  c->forProbe = line == forProbes;
  connections_.push_back(c.get());
  ++pool.coming, ++opened_;
  scheduler_.spawn(run(std::move(c)));
  return true;
}

void ConnectionPools::placeFreed() {
  for (WaitingLine line : {forStatements, forProbes})
    while (!lines_[line].empty()) {
      auto [store, version] = lines_[line].front();
      Pool& pool = poolOf(store, version);
      bool still = wanted(pool, version) && lineOf(pool) == line;
      if (still && !openOne(store, version)) break;
      lines_[line].pop_front();
      pool.lined[line] = false;
      openWanted(store, version);  // where it wants more than one, it goes to the end
    }
}

// Danger: what waits for a place would wait until its client's time is up, while other stores could
// be had.
runtime::Task<> ConnectionPools::watchLines() {
  while (!lines_[forStatements].empty() || !lines_[forProbes].empty()) {
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + limits_.connectTimeout * kLooks);
    TimePoint now = scheduler_.now();
    std::vector<UpstreamRequest*> over;
    for (const auto& line : lines_)
      for (auto [store, version] : line) {
        // The first ones have their connections coming.
        std::size_t coming = static_cast<std::size_t>(poolOf(store, version).coming) *
                             atOnce(version),
                    k = 0;
        for (UpstreamRequest* j : poolOf(store, version).waiting) {
          Duration waits = limits_.connectTimeout * (j->statement >= 0 ? kStatementWaits : 1.0);
          if (k++ >= coming && !j->lackedConnectionSlot &&
              (now - j->startedAt >= waits || !due(*j)))
            j->lackedConnectionSlot = true, over.push_back(j);
        }
      }
    for (UpstreamRequest* j : over) {
      log::line("stores_crowded", "connections=%zu store=%d", connections_.size(), j->store);
      poolOf(j->store, j->version).waiting.remove(j);
      finish(j, AttemptOutcome::neverSent);
    }
    placeFreed();
  }
  watching_ = false;
}

bool ConnectionPools::due(const UpstreamRequest& j) const {
  // Danger: a process that used up its part of a core stands still for most of a tenth of a second
  // in the middle of a round; a bounded read that is judged by the round's beginning would leave
  // stale.
  TimePoint now = scheduler_.instant();
  return !j.isCancelled && j.deadline > now && j.sendBy > now && owner_.isWanted(j);
}

bool ConnectionPools::leaves(UpstreamRequest& j) {
  TimePoint now = scheduler_.instant();
  if (!owner_.maySend(j, now)) return false;
  j.firstByteSentAt = now;
  return true;
}

UpstreamRequest* ConnectionPools::nextFor(UpstreamConnection& c) {
  std::list<UpstreamRequest*>& waiting = poolOf(c).waiting;
  while (!waiting.empty()) {
    UpstreamRequest* j = waiting.front();
    waiting.pop_front();
    if (due(*j)) {
      j->connection = &c;
      return j;
    }
    finish(j, AttemptOutcome::neverSent);
  }
  return nullptr;
}

void ConnectionPools::ready(UpstreamConnection& c) {
  std::vector<UpstreamConnection*>& ready = poolOf(c).ready;
  if (std::find(ready.begin(), ready.end(), &c) == ready.end()) ready.push_back(&c);
  c.forProbe = false;
  if (c.jobs() == 0) placeFreed();
}

void ConnectionPools::unready(UpstreamConnection& c) {
  std::erase(poolOf(c).ready, &c);
}

void ConnectionPools::giveBack(UpstreamRequest* job) {
  job->connection = nullptr;
  // Danger: a store that closes each connection as soon as it is up would be dialled in a loop.
  if (++job->requeueCount > kMostReturns) return finish(job, AttemptOutcome::connectFailed);
  poolOf(job->store, job->version).waiting.push_front(job);
}

void ConnectionPools::finish(UpstreamRequest* job, AttemptOutcome ending) {
  job->outcome = ending;
  job->connection = nullptr;
  std::unique_ptr<UpstreamRequest> kept = std::move(jobs_[job->index]);
  if (job != jobs_.back().get() && jobs_.back()) {
    jobs_[job->index] = std::move(jobs_.back());
    jobs_[job->index]->index = job->index;
  }
  jobs_.pop_back();
  owner_.onRequestEnded(*kept);
}

runtime::Task<bool> ConnectionPools::comeUp(UpstreamConnection& c) {
  try {
    bool up = co_await c.comeUp(scheduler_.now() + limits_.connectTimeout);
    co_return up;
  } catch (const std::exception& e) {
    log::line("task_failed", "what=\"%s\"", e.what());
    co_return false;
  }
}

runtime::Task<> ConnectionPools::run(std::unique_ptr<UpstreamConnection> owned) {
  UpstreamConnection& c = *owned;
  bool up = co_await comeUp(c);
  --poolOf(c).coming;
  if (up) {
    // Danger: an exception that left this coroutine would leave its jobs without an end, and its
    // connection among the others.
    try {
      co_await c.serve();
    } catch (const std::exception& e) {
      log::line("task_failed", "what=\"%s\"", e.what());
    }
  } else {
    // Those that it was made for. Danger: one that waited too long to be sent found the store away
    // all the same.
    std::list<UpstreamRequest*>& waiting = poolOf(c).waiting;
    for (std::size_t n = atOnce(c.version); n > 0 && !waiting.empty();) {
      UpstreamRequest* j = waiting.front();
      waiting.pop_front();
      bool wanted = !j->isCancelled && owner_.isWanted(*j);
      finish(j, wanted ? AttemptOutcome::connectFailed : AttemptOutcome::neverSent);
      n -= wanted;
    }
  }
  unready(c);
  co_await c.end();
  std::erase(connections_, &c);
  // Jobs that counted on this connection need another.
  openWanted(c.store, c.version);
  placeFreed();
}

}  // namespace reedchute::upstream
