// The guard for what leaves for a store, and the checks that hold what has left against the rules: each finds
// what it is there for.
#include <cstdio>
#include <memory>
#include <string>

#include "guard/attempt_guard.h"
#include "guard/violations.h"
#include "stages/book.h"
#include "trace.h"

using namespace reedchute;
using guard::AttemptGuard;
using guard::Departure;
using guard::EarlierAttempt;
using test::Bench;
using test::Case;
using test::ms;

namespace {

constexpr int kRead = 0, kMarked = 1, kOnce = 2, kZoneMarked = 3;

Terms terms() {
  Terms t = Bench::terms({Bench::work(Level::any), Bench::work(Level::write, Effect::deduplicated),
                          Bench::work(Level::write, Effect::nonIdempotent),
                          Bench::work(Level::write, Effect::deduplicated, Scope::zone)});
  t.drainGrace = ms(250);
  return t;
}

const TimePoint kNow{1'000'000'000};

Departure departure(int workload, int store = 0) {
  Departure d;
  d.workload = workload, d.store = store, d.open = true;
  d.until = kNow + ms(500), d.sendBy = kNow + ms(500);
  return d;
}

void tell(const char* what, guard::Refusal refusal) { std::printf("%s: %s\n", what, guard::nameOf(refusal)); }

void guardLeaves() {
  Terms t = terms();
  AttemptGuard g(t);
  for (int store : {0, 1}) g.listed(store, 0, store, Listed::up, kNow - ms(9000));
  auto leaves = [&](Departure d, const std::vector<EarlierAttempt>& earlier = {}, TimePoint now = kNow) {
    return g.mayLeave(d, earlier, now);
  };
  auto changed = [](auto change) {
    Departure d = departure(kRead);
    change(d);
    return d;
  };
  tell("in order", leaves(departure(kRead)));
  tell("answered already", leaves(changed([](Departure& d) { d.open = false; })));
  tell("its client has gone", leaves(changed([](Departure& d) { d.clientGone = true; })));
  tell("cancelled", leaves(changed([](Departure& d) { d.cancelled = true; })));
  tell("at its client's time", leaves(departure(kRead), {}, kNow + ms(500)));
  tell("at the moment to leave by", leaves(changed([](Departure& d) { d.sendBy = kNow; })));

  std::vector<EarlierAttempt> ran = {{0, kNow - ms(100), true}}, never = {{0, kNow - ms(100), false}},
                              unsent = {{0}};
  tell("a read again", leaves(departure(kRead), ran));
  tell("once, never ran", leaves(departure(kOnce), never));
  tell("once, never left", leaves(departure(kOnce), unsent));
  tell("once, may have run", leaves(departure(kOnce), ran));
  tell("marked, within its window", leaves(departure(kMarked), ran));
  tell("marked, at the end of its window", leaves(departure(kMarked), {{0, kNow - ms(1000), true}}));
  tell("marked, the first of two before its window",
       leaves(departure(kMarked), {{0, kNow - ms(1200), true}, {0, kNow - ms(100), true}}));
  tell("marked by zone, in it", leaves(departure(kZoneMarked, 0), ran));
  tell("marked by zone, in another", leaves(departure(kZoneMarked, 1), ran));

  g.listed(1, 0, 1, Listed::draining, kNow);
  tell("to one that begins to drain", leaves(departure(kRead, 1), {}, kNow + ms(99)));
  tell("to one that drains, so late that a hold-up would miss the grace",
       leaves(departure(kRead, 1), {}, kNow + ms(101)));
  g.listed(1, 0, 1, Listed::gone, kNow + ms(150));
  tell("told once more, the first word counts", leaves(departure(kRead, 1), {}, kNow + ms(200)));
  g.listed(1, 0, 1, Listed::up, kNow + ms(210));
  tell("to one that is up again", leaves(departure(kRead, 1), {}, kNow + ms(220)));
  g.dropped(0, kNow);
  tell("to one that a whole list leaves out", leaves(departure(kRead), {}, kNow + ms(200)));
  t.goneBinds = false;
  AttemptGuard lenient(t);
  lenient.listed(0, 0, 0, Listed::gone, kNow);
  tell("the same where that doesn't bind", lenient.mayLeave(departure(kRead), {}, kNow + ms(400)));
}

// A statement of which one execution ends in a way that the rules don't allow; the check names the rule.
class Ended : public Writer {
 public:
  explicit Ended(int workload)
      : terms_(terms()),
        rules_(terms_, scheduler_.now()),
        relay_(groups_),
        book_(scheduler_, rules_, relay_, terms_) {
    rules_.listBegins(true);
    rules_.entry({0, 0, 0, Listed::up, true, 1, {}}, scheduler_.now());
    rules_.listEnds(true);
    book_.guard().listed(0, 0, 0, Listed::up, scheduler_.now());
    stages::Statement st;
    st.id = "s", st.workload = workload, st.group = 0, st.open = true,
    st.request = std::make_unique<Nothing>();
    st.giveUpAt = scheduler_.now() + ms(400);
    stmt_ = book_.enter(std::move(st));
    Arrival a;
    a.workload = workload, a.group = 0, a.giveUpAt = scheduler_.now() + ms(400);
    rules_.arrived(stmt_, a, scheduler_.now());
    rules_.decide(scheduler_.now(), *this);
  }
  // Lets it end after `change`; the rule that is found broken.
  void ends(const char* what, const std::function<void(exchange::Job&, stages::Statement&, Ended&)>& change) {
    std::uint64_t before[static_cast<int>(guard::Rule::count)];
    for (int k = 0; k < static_cast<int>(guard::Rule::count); ++k)
      before[k] = guard::violations(static_cast<guard::Rule>(k));
    job.stmt = stmt_, job.execution = 0, job.store = 0, job.ending = Ending::timeout;
    job.begun = job.leftAt = job.wholeAt = now();
    job.toldMs = 400;
    stages::Statement& st = book_.row(stmt_);
    st.attempts.push_back({.store = 0}), st.jobs.push_back(&job), ++st.out;
    change(job, st, *this);
    book_.ended(job);
    std::printf("%s:", what);
    for (int k = 0; k < static_cast<int>(guard::Rule::count); ++k)
      if (guard::violations(static_cast<guard::Rule>(k)) > before[k])
        std::printf(" %s", guard::nameOf(static_cast<guard::Rule>(k)));
    std::printf("\n");
  }
  // The rules send it once more, and that ends too.
  void endsAgain(const char* what) {
    sends_ = 0;
    for (TimePoint at = now(); sends_ == 0 && at < now() + ms(300); at = at + ms(5))
      rules_.woken(), rules_.decide(at, *this);
    std::uint64_t before = guard::violations(guard::Rule::repeat);
    stages::Statement& st = book_.row(stmt_);
    st.attempts.push_back({.store = 0}), st.jobs.push_back(&job), ++st.out;
    job.execution = 1, job.leftAt = job.wholeAt = now(), job.toldMs = 0;
    book_.ended(job);
    std::printf("%s, sent %d:%s\n", what, sends_,
                guard::violations(guard::Rule::repeat) > before ? " repeat" : "");
  }
  TimePoint now() const { return scheduler_.now(); }
  AttemptGuard& stores() { return book_.guard(); }

  void send(int, int, TimePoint, TimePoint) override { ++sends_; }
  void cancel(int, int) override {}
  void reject(int, Span) override {}
  void abort(int) override {}
  void probe(int) override {}
  void release(int) override {}
  void watchList() override {}
  void wake(Span) override {}

  exchange::Job job;

 private:
  struct Nothing : exchange::Request {
    std::size_t size() const override { return 0; }
  };
  Terms terms_;
  sched::Scheduler scheduler_;
  Index<std::int64_t> groups_;
  Rules rules_;
  stages::Relay relay_;
  stages::Book book_;
  int stmt_ = -1, sends_ = 0;
};

void guardChecks() {
  using exchange::Job;
  using stages::Statement;
  Ended(kOnce).ends("in order", [](Job&, Statement&, Ended&) {});
  Ended(kOnce).ends("left 0.2 s after its client", [](Job& j, Statement& st, Ended& e) {
    st.open = false, st.clientLeftAt = e.now() - ms(200), j.leftAt = e.now();
  });
  Ended(kOnce).ends("left 0.05 s after its client", [](Job&, Statement& st, Ended& e) {
    st.open = false, st.clientLeftAt = e.now() - ms(50);
  });
  Ended(kOnce).ends("whole 0.2 s after its time",
                    [](Job& j, Statement& st, Ended&) { j.wholeAt = st.giveUpAt + ms(200), j.toldMs = 0; });
  Ended(kOnce).ends("told 0.2 s too much", [](Job& j, Statement&, Ended&) { j.toldMs = 600; });
  Ended(kOnce).ends("to a store that drains since 0.3 s", [](Job&, Statement&, Ended& e) {
    e.stores().listed(0, 0, 0, Listed::draining, e.now() - ms(300));
  });
  for (double gap : {900.0, 1100.0}) {
    Ended e(kMarked);
    e.ends("a marked one",
           [&](Job& j, Statement&, Ended& its) { j.leftAt = j.wholeAt = its.now() - ms(gap); });
    std::printf("%.0f ms later ", gap);
    e.endsAgain("its repeat");
  }
  Ended(kOnce).ends("a read that had to leave 0.2 s before",
                    [](Job& j, Statement&, Ended& e) { j.sendBy = e.now() - ms(200); });
}

const Case kCases[] = {{"guardLeaves", guardLeaves}, {"guardChecks", guardChecks}};

}  // namespace

int main(int argc, char** argv) { return test::runCase(kCases, argc, argv); }
