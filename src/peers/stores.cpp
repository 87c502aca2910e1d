#include "peers/stores.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::peers {
namespace {

constexpr double kSettle = 0.01;  // connect time-outs that a connection is idle before it is a sure one

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
    for (std::deque<Job*> left = std::exchange(pool.waiting, {}); Job * j : left) finish(j, Ending::moot);
  }
  std::vector<Carrier*> all = connections_;
  for (Carrier* c : all)
    if (c->store == store) c->retire();
}

void Stores::recall(const std::function<bool(const Job&)>& which) {
  for (const std::unique_ptr<Job>& j : jobs_)
    if (which(*j)) j->sendBy = kNever;
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
  for (auto& pools : pools_)
    for (Pool& p : pools)
      for (Carrier* c : p.ready)
        if (c->jobs() == 0 && (!longest || c->idleSince < longest->idleSince)) longest = c;
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
void Stores::openWanted(int store, Speech speech) {
  Pool& pool = poolOf(store, speech);
  std::size_t each = atOnce(speech);
  if (static_cast<std::size_t>(pool.coming) < (pool.waiting.size() + each - 1) / each) openOne(store, speech);
}

void Stores::openOne(int store, Speech speech) {
  int fd = -1;
  Pool& pool = poolOf(store, speech);
  // Danger: the process has only so many descriptors; the longest idle connection makes room.
  if (connections_.size() < limits_.connections || closeLongestIdle())
    fd = pool.address ? sched::startConnect(*pool.address) : -1;
  else
    log::line("stores_crowded", "connections=%zu", connections_.size());
  auto c = voices_[static_cast<std::size_t>(speech)]->carrier(*this, store, speech, fd);
  connections_.push_back(c.get());
  ++pool.coming, ++opened_;
  scheduler_.spawn(run(std::move(c)));
}

bool Stores::due(const Job& j) const {
  // Danger: a process that used up its part of a core stands still for most of a tenth of a second in the middle of
  // a round; a bounded read that is judged by the round's beginning would leave stale.
  TimePoint now = scheduler_.instant();
  return !j.cancelled && j.until > now && j.sendBy > now && giver_.wanted(j);
}

Job* Stores::nextFor(Carrier& c) {
  std::deque<Job*>& waiting = poolOf(c).waiting;
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
}

void Stores::unready(Carrier& c) { std::erase(poolOf(c).ready, &c); }

void Stores::giveBack(Job* job) {
  job->on = nullptr;
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
    std::deque<Job*>& waiting = poolOf(c).waiting;
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
}

}  // namespace reedchute::peers
