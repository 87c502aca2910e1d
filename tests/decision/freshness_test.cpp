// Does the module ever send a read to a store whose data is too old? Small seeded worlds of stores,
// a list, links and a front that is at times slow play random orders of events against it; an
// oracle that knows the true state of each store judges every read as its last byte leaves. It
// shares nothing with the module but its interface.
//
//   freshness [FIRST [COUNT]]       plays so many seeds; prints the first that breaks the rule, and
//   how freshness --all FIRST COUNT     prints all that do freshness --finds FIRST COUNT   the
//   other way round, for a module with a planted fault: good once it is found freshness --show SEED
//   prints all that happens
//
// The rule, from the protocol: a bounded read's data is no older than its bound as the read leaves,
// a session read's has the session's last commit, a fresh read's all that was committed before it
// arrived. A store that has been primary is excused until an answer has told since that it is none;
// on sockets that counts 100 ms after it was written, read or not, else from the next batch on.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "decision/engine.h"

using namespace reedchute;

namespace {

constexpr Duration ms(double n) {
  return Duration{static_cast<std::int64_t>(n * 1000)};
}
constexpr TimePoint kBegin{1'000'000'000};
constexpr Duration kDay = ms(2500);
constexpr Duration kTick = ms(5), kConnect = ms(100), kReports = ms(80);
constexpr Duration kKnownAfter = ms(95);  // of arrival; it was written a little earlier
enum Kind { kAny, kNear, kFar, kSession, kFresh, kWrite, kKinds };

struct Tally {
  long seeds = 0, atReplica[kKinds] = {}, atPrimary[kKinds] = {}, excused = 0, late = 0, told = 0,
       forgotten = 0;
};

class World : public DecisionSink {
 public:
  World(std::uint64_t seed, Tally& tally, bool show)
      : chance_(seed), tally_(tally), show_(show), engine_(terms(seed), kBegin) {}

  // True where no read broke the rule.
  bool play() {
    begin();
    while (!events_.empty() && broken_.empty()) {
      Event e = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      if (e.at > kBegin + kDay) break;
      now_ = e.at;
      for (Store& s : stores_) advance(s);
      e.run();
    }
    return broken_.empty();
  }
  const std::string& broken() const { return broken_; }

 private:
  // ---- the true state ----
  struct Store {
    int group = 0;
    bool up = true, linked = true;         // `linked`: with the front
    bool primary = false, claims = false;  // `claims`: it takes itself for the primary
    bool was = false;                      // primary at some time
    bool shown = false;                    // by the list, where that shows roles as at the start
    bool gone = false;                     // from the list
    TimePoint position;
    double rate = 1;            // at which its log comes in
    Duration behind{};          // at the best
    TimePoint moved;            // its position is of that moment
    TimePoint said = kNever;    // the highest position that it has told
    TimePoint lost = kNever;    // the role
    TimePoint told = kForever;  // since then the front counts as told that it is none
    TimePoint started = kNever;
    int life = 0;
    std::vector<std::pair<TimePoint, bool>> roles;  // primary or not, from when on
    ReplicaReport report;
    TimePoint reportMade;
    std::vector<std::function<void()>> held;  // answers behind a cut link
  };
  struct StatementState {
    int kind = 0;
    bool open = true;
    TimePoint needs = kNever, giveUpAt;
    std::uint64_t session = 0;
    std::vector<int> jobs;
  };
  struct UpstreamRequest {
    int statement = -1, attempt = -1, store = -1, life = 0;
    TimePoint stopAt, sendBy = kForever;
    bool left = false, done = false, cancelled = false;
  };
  struct Fact {
    int job = -1;
    AttemptOutcome outcome = AttemptOutcome::ok;
    Role role = Role::unknown;
    std::optional<TimePoint> position, commit;
    ReplicaReport report;
    TimePoint tells = kNever;  // when it was written, where that says that its store is no primary
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& o) const { return std::pair(o.at, o.order) < std::pair(at, order); }
  };

  std::uint64_t below(std::uint64_t n) { return chance_() % n; }
  bool chance(int percent) { return below(100) < static_cast<std::uint64_t>(percent); }
  Duration between(double least, double most) {
    return ms(least + (most - least) * static_cast<double>(below(10'001)) / 10'000);
  }
  void after(Duration wait, std::function<void()> run) { at(now_ + wait, std::move(run)); }
  void at(TimePoint when, std::function<void()> run) {
    events_.push({std::max(when, now_), order_++, std::move(run)});
  }
  template <class... Values>
  void say(const char* format, Values... values) {
    if (!show_) return;
    std::printf("%9.3f ", (now_ - kBegin).seconds() * 1000);
    std::printf(format, values...);
    std::printf("\n");
  }

  EngineSettings terms(std::uint64_t seed) {
    EngineSettings t;
    t.seed = seed, t.tick = kTick,
    t.proxyCount = chance(70)   ? 2
                   : chance(70) ? 10
                                : 100,
    t.maxAttempts = 6;
    t.workloads.resize(kKinds);
    for (Workload& w : t.workloads)
      w.slo = ms(400), w.effect = Effect::idempotent, w.lateShare = 0.6;
    t.workloads[kNear].level = t.workloads[kFar].level = Level::bounded;
    t.workloads[kNear].stalenessBound = ms(200), t.workloads[kFar].stalenessBound = ms(450);
    t.workloads[kSession].level = Level::session, t.workloads[kFresh].level = Level::fresh;
    t.workloads[kWrite].level = Level::write, t.workloads[kWrite].effect = Effect::deduplicated;
    t.workloads[kWrite].deduplicationWindow = ms(1000);
    t.allowsHedging = chance(60), t.mayCancel = chance(80), t.mayProbe = chance(85);
    t.endpointRolesAreCurrent = chance(50), t.readsCarrySessionToken = chance(50);
    t.connectTimeout = kConnect, t.maxPollInterval = ms(10'000), t.drainGrace = ms(500);
    t.warmUpTime = ms(chance(50) ? 200 : 3000), t.coldOverloadWindow = ms(1000),
    t.coldInitialShare = 0.5, t.coldOverloadMultiple = 2.5;
    sockets_ = chance(70), untrue_ = chance(20) ? 30 : 2, roleBeside_ = chance(25);
    trail_ = between(0, 400), mostly_ = chance(50) ? static_cast<int>(below(9)) : -1,
    late_ = chance(30) ? 30 : 8;
    if (sockets_) t.responseAssumedKnownAfter = ms(100);
    follows_ = t.endpointRolesAreCurrent, carried_ = t.readsCarrySessionToken,
    cancels_ = t.mayCancel;
    return t;
  }

  void advance(Store& s) {
    Duration passed = now_ - s.moved;
    s.moved = now_;
    if (s.primary)
      s.position = now_;
    else if (s.up)
      s.position = std::max(s.position, std::min(s.position + passed * s.rate, now_ - s.behind));
  }
  int primaryOf(int group) const {
    for (std::size_t s = 0; s < stores_.size(); ++s)
      if (stores_[s].group == group && stores_[s].primary) return static_cast<int>(s);
    return -1;
  }
  void gains(int s) {
    Store& store = stores_[s];
    store.primary = store.claims = store.was = true, store.told = kForever, store.position = now_;
    store.roles.emplace_back(now_, true);
    say("store %d is primary", s);
    listLater(s, true);
  }
  void loses(int s, bool claims) {
    Store& store = stores_[s];
    store.primary = false, store.claims = claims, store.lost = now_, store.told = kForever;
    store.roles.emplace_back(now_, false);
    store.rate = claims ? 0 : pace(), store.behind = between(1, 60);
    say("store %d is primary no more%s", s, claims ? ", and doesn't know" : "");
    listLater(s, true);
  }
  double pace() { return chance(40) ? 0 : chance(50) ? 0.5 : 2; }
  void promoteOne(int group) {
    if (primaryOf(group) >= 0) return;
    std::vector<int> able;
    for (std::size_t s = 0; s < stores_.size(); ++s)
      if (stores_[s].group == group && stores_[s].up && !stores_[s].claims && !stores_[s].gone)
        able.push_back(static_cast<int>(s));
    if (!able.empty()) gains(able[below(able.size())]);
  }

  void begin() {
    int groups = 1 + static_cast<int>(below(2)), each = 3 + static_cast<int>(below(2));
    now_ = kBegin;
    engine_.beginSnapshot(true);
    for (int s = 0; s < groups * each; ++s) {
      Store store;
      store.group = s / each, store.position = now_ - between(5, 700), store.moved = now_;
      store.rate = pace(), store.behind = between(1, 60);
      store.shown = s % each == 0;
      if (store.shown) store.primary = store.claims = store.was = true, store.position = now_;
      if (store.shown) store.roles.emplace_back(kNever, true);
      stores_.push_back(store);
      // Some fronts start when the role that the list shows has been lost already.
      if (store.shown && chance(20)) loses(s, false);
      tellEntry(s);
      after(between(0, 80), [this, s] { makeReport(s); });
    }
    engine_.endSnapshot(true);
    for (int g = 0; g < groups; ++g) promoteOne(g);
    after(between(0, 5), [this] { clientAsks(); });
    after(between(10, 200), [this] { trouble(); });
    after(Duration{}, [this] { wantRound(); });
  }

  // ---- troubles ----
  void trouble() {
    after(between(20, 250), [this] { trouble(); });
    int s = static_cast<int>(below(stores_.size()));
    int p = primaryOf(stores_[s].group);
    if (p >= 0 && chance(40)) s = p;
    Store& store = stores_[s];
    switch (chance(mostly_ < 0 ? 0 : 70) ? mostly_ : static_cast<int>(below(9))) {
      case 0:
        if (store.up) crash(s);
        break;
      case 1:  // the role moves on, and nothing else happens
        if (!store.primary) break;
        loses(s, false);
        promoteOne(store.group);
        break;
      case 2:  // cut off from the others, not from the front: it goes on answering as primary
        if (!store.primary) break;
        loses(s, true);
        promoteOne(store.group);
        if (chance(70)) after(between(20, 150), [this, s] { cut(s, 200, 500); });
        after(between(50, 400), [this, s, life = store.life] {
          if (stores_[s].life == life && !stores_[s].primary)
            stores_[s].claims = false, stores_[s].rate = pace();
        });
        break;
      case 3:
      case 4:
        cut(s, 30, 900);
        break;
      case 5:
      case 6:
        if (!store.primary && !store.claims) store.rate = pace(), store.behind = between(1, 120);
        break;
      case 7:
        listLater(s, false);
        break;
      default:
        for (std::size_t k = 0; k < stores_.size() && chance(60); ++k)
          if (stores_[k].shown && stores_[k].group == store.group) s = static_cast<int>(k);
        leave(s);
    }
  }
  void crash(int s) {
    Store& store = stores_[s];
    bool was = store.primary;
    if (was) loses(s, false);
    store.up = false, ++store.life, store.claims = false;
    say("store %d crashes", s);
    for (std::size_t j = 0; j < jobs_.size(); ++j)
      if (jobs_[j].store == s && jobs_[j].left && !jobs_[j].done)
        arrives(static_cast<int>(j), AttemptOutcome::reset, between(0.2, 3));
    store.held.clear();
    int g = store.group;
    if (was && chance(80)) after(between(20, 500), [this, g] { promoteOne(g); });
    if (chance(40)) listLater(s, true);
    after(between(20, 900), [this, s, g] {
      Store& back = stores_[s];
      if (back.up || back.gone) return;
      back.up = true, back.started = now_, back.moved = now_;
      // What it had not told yet may be lost.
      back.position = std::max(back.said, back.position - between(0, 40));
      back.rate = pace(), back.behind = between(1, 60);
      say("store %d is back", s);
      if (primaryOf(g) < 0) gains(s);
      makeSnapshot(s);
      listLater(s, true);
    });
  }
  void cut(int s, double least, double most) {
    Store& store = stores_[s];
    if (!store.linked) return;
    store.linked = false;
    say("store %d is cut off", s);
    if (store.primary && chance(60)) loses(s, chance(50)), promoteOne(store.group);
    after(between(least, most), [this, s] {
      Store& back = stores_[s];
      back.linked = true;
      if (back.claims && !back.primary) back.claims = false, back.rate = pace();
      say("store %d is linked again", s);
      for (auto& run : std::exchange(back.held, {})) after(between(0.2, 200), run);
    });
  }
  // It is gone from the list for long; its row in the module is another's from then on, or its own
  // again.
  void leave(int s) {
    Store& store = stores_[s];
    if (!store.up || store.primary || store.claims || store.gone || now_ < busy_) return;
    tellEntry(s, EndpointStatus::gone);
    store.gone = true;
    after(between(400, 700), [this, s] { forget(s); });
  }
  void forget(int s) {
    Store& store = stores_[s];
    bool busy = now_ < busy_;
    for (const UpstreamRequest& j : jobs_)
      busy |= j.store == s && (!j.done || (j.statement >= 0 && statements_[j.statement].open));
    for (const Fact& f : inbox_) busy |= jobs_[f.job].store == s;
    if (busy) return after(ms(20), [this, s] { forget(s); });
    say("store %d is forgotten", s);
    ++tally_.forgotten;
    engine_.removeEndpoint(s, now_);
    if (chance(50)) {
      store.was = store.shown = false, store.said = store.lost = store.started = kNever,
      ++store.life;
      store.position = now_ - between(5, 3000), store.told = kForever;
      makeSnapshot(s);
    }
    // The list may name it again just as the role moves on.
    int p = primaryOf(store.group);
    if (p >= 0 && chance(50)) loses(p, false), promoteOne(store.group);
    after(between(1, 100), [this, s] {
      stores_[s].gone = false;
      tellEntry(s);
      wantRound();
    });
  }

  // ---- the list ----
  bool shows(const Store& store) const {
    bool primary = false;
    for (auto [since, so] : store.roles)
      if (since + trail_ <= now_) primary = so;
    return primary;
  }
  void tellEntry(int s, EndpointStatus listed = EndpointStatus::up) {
    const Store& store = stores_[s];
    if (store.gone) return;
    EndpointInfo e;
    e.store = s, e.group = store.group, e.zone = 0,
    e.primary = follows_ ? shows(store) : store.shown;
    if (store.started > kNever) e.started = store.started;
    e.listed = !store.up && chance(50) ? EndpointStatus::gone : listed;
    say("listed: %d, primary %d, listed %d, started %.3f", s, e.primary, static_cast<int>(e.listed),
        e.started ? (*e.started - kBegin).seconds() * 1000 : 0);
    engine_.addEndpoint(e, now_);
  }
  // What it says may be old when it comes.
  void listLater(int s, bool prompt) {
    after(between(0, prompt ? 1500 : 300), [this, s] {
      if (now_ < busy_) return listLater(s, false);
      engine_.beginSnapshot(false);
      tellEntry(s);
      engine_.endSnapshot(true);
      wantRound();
    });
  }

  // ---- reports ----
  void makeSnapshot(int s) {
    Store& store = stores_[s];
    store.report = {store.position, store.claims}, store.reportMade = now_;
    // A report may claim the role untruly.
    if (!store.claims && chance(untrue_)) store.report.primary = true;
  }
  void makeReport(int s) {
    if (stores_[s].up) makeSnapshot(s);
    after(kReports, [this, s] { makeReport(s); });
  }

  // ---- clients ----
  void clientAsks() {
    after(between(1, 25), [this] { clientAsks(); });
    waiting_.push_back(static_cast<int>(below(kKinds)));
    wantRound();
  }
  void admit(int kind) {
    Arrival a;
    StatementState st;
    st.kind = kind, st.giveUpAt = now_ + between(60, 1500), st.session = 1 + below(6);
    int groups = stores_.back().group + 1;
    a.workload = kind, a.group = static_cast<int>(st.session) % groups, a.giveUpAt = st.giveUpAt;
    a.session = st.session, a.repeated = chance(10);
    if (kind == kFresh) st.needs = now_;
    if (kind == kSession && carried_) {
      // Its last write may have been anybody's; the token is the commit's time in ms, rounded up.
      TimePoint commit = chance(30) ? now_ - between(0, 900) : commits_[st.session];
      if (commit > kNever) {
        TimePoint token{(commit.us + 999) / 1000 * 1000};
        a.sinceWrite = std::max(Duration{1}, now_ - token);
        st.needs = commit;
      }
    } else if (kind == kSession) {
      st.needs = commits_[st.session];
    }
    int statement = static_cast<int>(statements_.size());
    statements_.push_back(st);
    engine_.onStatementArrived(statement, a, now_);
  }

  // ---- the front ----
  void wantRound() {
    if (std::exchange(roundDue_, true)) return;
    at(busy_, [this] { round(); });
  }
  void round() {
    if (now_ < busy_) return at(busy_, [this] { round(); });
    roundDue_ = false;
    ++rounds_;
    // In one pass nothing says which connection's answer is read first.
    std::vector<Fact> facts = std::exchange(inbox_, {});
    for (std::size_t k = facts.size(); k > 1; --k) std::swap(facts[k - 1], facts[below(k)]);
    for (const Fact& f : facts) read(f);
    for (int kind : std::exchange(waiting_, {})) admit(kind);
    for (auto [session, commit] : std::exchange(learned_, {}))
      commits_[session] = std::max(commits_[session], commit);
    // The process may stand still in the middle of the round.
    stall_ = chance(4) ? between(1, 200) : Duration{};
    busy_ = now_ + stall_;
    engine_.decide(now_, *this);
    if (chance(2)) busy_ = busy_ + between(1, 250);
  }
  void read(const Fact& f) {
    UpstreamRequest& j = jobs_[f.job];
    if (!sockets_) tells(j.store, f.tells, Duration{1});  // from the next batch on
    if (j.statement < 0) {
      if (f.report.position)
        say("read: probe of %d, at %.3f as %s", j.store,
            (*f.report.position - kBegin).seconds() * 1000,
            *f.report.primary ? "primary" : "replica");
      return engine_.onProbeEnded(j.store, f.outcome == AttemptOutcome::ok, f.report, now_, f.role);
    }
    StatementState& st = statements_[j.statement];
    AttemptResult r;
    r.attempt = j.attempt, r.outcome = f.outcome, r.role = f.role, r.position = f.position,
    r.report = f.report;
    r.elapsed = ms(20), r.closed = !st.open || f.outcome == AttemptOutcome::ok;
    say("read: #%d.%d at %d, ending %d, role %d, at %.3f", j.statement, j.attempt, j.store,
        static_cast<int>(f.outcome), static_cast<int>(f.role),
        f.position ? (*f.position - kBegin).seconds() * 1000 : 0);
    engine_.onAttemptEnded(j.statement, r, now_);
    if (f.outcome == AttemptOutcome::ok && st.kind == kWrite && f.commit && (st.open || !carried_))
      learned_.emplace_back(st.session, *f.commit);  // counts for what arrives in a later batch
    st.open &= !r.closed;
  }
  // What was written before it was primary last tells nothing of what it is now.
  void tells(int s, TimePoint written, Duration counts) {
    Store& store = stores_[s];
    if (store.primary || written == kNever || written < store.lost) return;
    ++tally_.told;
    store.told = std::min(store.told, now_ + counts);
  }

  void send(int statement, int s, TimePoint stopAt, TimePoint sendBy) override {
    StatementState& st = statements_[statement];
    int j = static_cast<int>(jobs_.size());
    jobs_.push_back({statement, static_cast<int>(st.jobs.size()), s, stores_[s].life,
                     std::min(stopAt, st.giveUpAt), sockets_ ? sendBy : kForever});
    st.jobs.push_back(j);
    say("decided: #%d.%d (kind %d) to %d", statement, jobs_[j].attempt, st.kind, s);
    at(jobs_[j].stopAt, [this, j] {
      if (!jobs_[j].done && jobs_[j].left) arrives(j, AttemptOutcome::timeout, Duration{});
    });
    connect(j, 60);
  }
  void connect(int j, int pooled) {
    if (!sockets_) return leaves(j);
    if (chance(pooled))
      at(now_ + stall_, [this, j] { leaves(j); });
    else
      after(stall_ + between(1, chance(50) ? 30 : 240), [this, j] { comesUp(j); });
  }
  // Its connection has come up, or another job's has come free.
  void comesUp(int j) {
    if (now_ < busy_) return at(busy_, [this, j] { comesUp(j); });
    Store& s = stores_[jobs_[j].store];
    if (!s.linked || !s.up)
      return arrives(j, AttemptOutcome::connectFailed, s.up ? kConnect : Duration{});
    jobs_[j].life = s.life;
    leaves(j);
  }
  void leaves(int j) {
    UpstreamRequest& job = jobs_[j];
    if (job.done) return;
    bool wanted = job.statement < 0 || (statements_[job.statement].open && !job.cancelled);
    if (!wanted || now_ >= job.sendBy || now_ >= job.stopAt) {
      ++tally_.late;
      return arrives(j, AttemptOutcome::neverSent, Duration{});
    }
    // The kernel may take the last byte later, up to the very end.
    Duration left = std::min({job.sendBy, job.stopAt, now_ + ms(300)}) - now_;
    if (sockets_ && job.statement >= 0 && left > ms(1) && chance(10))
      return after(chance(50) ? left - Duration{1} : left * 0.5, [this, j] { hasLeft(j); });
    hasLeft(j);
  }
  void hasLeft(int j) {
    UpstreamRequest& job = jobs_[j];
    if (job.done) return;
    job.left = true;
    Store& s = stores_[job.store];
    if (!s.up || job.life != s.life) return arrives(j, AttemptOutcome::reset, between(0.2, 2));
    if (job.statement >= 0) judge(job);
    Duration service = chance(10) ? between(30, 400) : between(0.5, 25);
    after(service, [this, j] { answers(j); });
  }
  void answers(int j) {
    UpstreamRequest& job = jobs_[j];
    Store& s = stores_[job.store];
    if (job.done || !s.up || s.life != job.life) return;
    Fact f;
    f.role = s.claims ? Role::primary : Role::replica;
    if (!s.claims) f.tells = now_;
    if (job.statement < 0) {
      f.report = s.report;
      if (!roleBeside_) f.role = Role::unknown, f.tells = *s.report.primary ? kNever : s.reportMade;
      s.said = std::max(s.said, *s.report.position);
    } else if (statements_[job.statement].kind == kWrite && s.primary) {
      f.commit = now_;
      if (!sockets_ || !chance(5)) f.position = TimePoint{(now_.us + 999) / 1000 * 1000};
      s.said = now_;
    } else if (statements_[job.statement].kind == kWrite) {
      f.outcome =
          s.claims ? AttemptOutcome::error
                   : AttemptOutcome::notServedHere;  // one that is cut off gets no commit through
    } else {
      f.position = TimePoint{s.position.us / 1000 * 1000};
      s.said = std::max(s.said, *f.position);
      if (chance(3)) f.outcome = AttemptOutcome::error, f.position.reset();
      if (chance(30)) f.position.reset();
    }
    if (job.statement >= 0 && chance(20))
      f.report = s.report, s.said = std::max(s.said, *s.report.position);
    if (f.outcome == AttemptOutcome::notServedHere && chance(20))
      f.role = Role::unknown;  // a write turned away says it all the same
    auto go = [this, j, f] { arrives(j, f, Duration{}); };
    if (!s.linked)
      s.held.push_back(go);
    else
      after(chance(late_) ? between(20, 400) : between(0.2, 3), go);
  }
  // A fact of a job has come to the front, or is one of its own.
  void arrives(int j, Fact f, Duration later) {
    if (later > Duration{}) return after(later, [this, j, f] { arrives(j, f, Duration{}); });
    if (std::exchange(jobs_[j].done, true)) return;
    f.job = j;
    if (sockets_) tells(jobs_[j].store, f.tells, kKnownAfter);
    inbox_.push_back(f);
    wantRound();
  }

  void arrives(int j, AttemptOutcome outcome, Duration later) {
    Fact f;
    f.outcome = outcome;
    arrives(j, f, later);
  }

  void cancel(int statement, int attempt) override {
    UpstreamRequest& request = jobs_[statements_[statement].jobs[attempt]];
    request.cancelled = true;
    if (request.left)
      arrives(statements_[statement].jobs[attempt], AttemptOutcome::cancelled, Duration{});
  }
  void reject(int statement, Duration) override { statements_[statement].open = false; }
  void abort(int statement) override { statements_[statement].open = false; }
  void probe(int s) override {
    int j = static_cast<int>(jobs_.size());
    jobs_.push_back({-1, -1, s, stores_[s].life, now_ + kConnect, kForever});
    at(jobs_[j].stopAt, [this, j] { arrives(j, AttemptOutcome::timeout, Duration{}); });
    connect(j, 80);
  }
  void release(int) override {}
  void pollEndpoints() override {}
  void wake(Duration wait) override {
    after(wait, [this] {
      engine_.onWake();
      wantRound();
    });
  }

  // ---- the oracle ----
  void judge(const UpstreamRequest& job) {
    const StatementState& st = statements_[job.statement];
    const Store& s = stores_[job.store];
    if (st.kind == kAny || st.kind == kWrite) return;
    ++(s.primary ? tally_.atPrimary : tally_.atReplica)[st.kind];
    if (s.primary) return;
    TimePoint needs = st.kind == kNear  ? now_ - ms(200)
                      : st.kind == kFar ? now_ - ms(450)
                                        : st.needs;
    if (s.position >= needs) return;
    if (s.was && now_ < s.told) {
      ++tally_.excused;
      return;
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "at %.3f ms #%d.%d, kind %d, leaves for %d, whose data is %.3f ms too old%s",
                  (now_ - kBegin).seconds() * 1000, job.statement, job.attempt, st.kind, job.store,
                  (needs - s.position).seconds() * 1000,
                  s.was ? "; it has told that it is no primary" : "");
    broken_ = text;
    say("%s", text);
  }

  std::mt19937_64 chance_;
  Tally& tally_;
  const bool show_;
  int untrue_ = 0;  // per cent of replicas' reports
  int mostly_ = -1,
      late_ = 0;      // a trouble that comes again and again; per cent of answers that are late
  Duration trail_{};  // so late are roles in a list that follows them
  bool roleBeside_ = false;  // probes' answers say their store's role beside the report
  bool sockets_ = true, follows_ = true, carried_ = true, cancels_ = true;
  DecisionEngine engine_;
  TimePoint now_ = kBegin, busy_ = kBegin;
  Duration stall_{};
  bool roundDue_ = false;
  long rounds_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Store> stores_;
  std::vector<StatementState> statements_;
  std::vector<UpstreamRequest> jobs_;
  std::vector<Fact> inbox_;
  std::vector<int> waiting_;
  std::vector<std::pair<std::uint64_t, TimePoint>> learned_;
  struct Commits {
    std::vector<TimePoint> of = std::vector<TimePoint>(8, kNever);
    TimePoint& operator[](std::uint64_t session) { return of[session]; }
  } commits_;
  std::string broken_;
};

}  // namespace

int main(int argc, char** argv) {
  auto wants = [&](const char* what) { return argc > 1 && !std::strcmp(argv[1], what); };
  bool finds = wants("--finds"), show = wants("--show"), all = wants("--all");
  auto number = [&](int k, std::uint64_t otherwise) {
    k += finds || show || all;
    return argc > k ? std::strtoull(argv[k], nullptr, 10) : otherwise;
  };
  std::uint64_t first = number(1, 1), count = number(2, show ? 1 : 2000);
  Tally tally;
  long broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    World world(seed, tally, show);
    ++tally.seeds;
    if (world.play()) continue;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), world.broken().c_str());
    ++broken;
    if (!all) return !finds;
  }
  const char* names[] = {"any", "near", "far", "session", "fresh"};
  std::printf(
      "%ld seeds, %ld with a stale read; told %ld, too late to leave %ld, excused %ld, forgotten "
      "%ld\n",
      tally.seeds, broken, tally.told, tally.late, tally.excused, tally.forgotten);
  bool played = tally.excused > 0 && tally.late > 0 && tally.forgotten > 0;
  for (int k = kNear; k <= kFresh; ++k) {
    std::printf("  %s: %ld at replicas, %ld at primaries\n", names[k], tally.atReplica[k],
                tally.atPrimary[k]);
    played &= tally.atReplica[k] > 0 && tally.atPrimary[k] > 0;
  }
  if (count >= 500 && !played) std::printf("not all was played\n");
  return finds || broken > 0 || (count >= 500 && !played);
}
