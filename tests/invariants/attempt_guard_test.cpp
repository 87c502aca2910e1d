// The guard for what leaves for a store, and the checks that hold what has left against the rules:
// each finds what it is there for.
#include "invariants/attempt_guard.h"

#include <cstdio>
#include <memory>
#include <string>

#include "invariants/violations.h"
#include "pipeline/attempt_reporter.h"
#include "trace.h"

using namespace reedchute;
using invariants::AttemptGuard;
using invariants::AttemptToSend;
using invariants::EarlierAttempt;
using test::Bench;
using test::Case;
using test::ms;

namespace {

constexpr int kRead = 0, kMarked = 1, kOnce = 2, kZoneMarked = 3;

EngineSettings terms() {
  EngineSettings t = Bench::terms({Bench::work(Level::any),
                                   Bench::work(Level::write, Effect::deduplicated),
                                   Bench::work(Level::write, Effect::nonIdempotent),
                                   Bench::work(Level::write, Effect::deduplicated, Scope::zone)});
  t.drainGrace = ms(250);
  return t;
}

const TimePoint kNow{1'000'000'000};

AttemptToSend departure(int workload, int store = 0) {
  AttemptToSend d;
  d.workload = workload, d.store = store, d.isOpen = true;
  d.deadline = kNow + ms(500), d.sendBy = kNow + ms(500);
  return d;
}

void tell(const char* what, invariants::Refusal refusal) {
  std::printf("%s: %s\n", what, invariants::nameOf(refusal));
}

void guardLeaves() {
  EngineSettings t = terms();
  AttemptGuard g(t);
  for (int store : {0, 1}) g.onEndpointListed(store, 0, store, EndpointStatus::up, kNow - ms(9000));
  auto leaves = [&](AttemptToSend d, const std::vector<EarlierAttempt>& earlier = {},
                    TimePoint now = kNow) { return g.refusalToSend(d, earlier, now); };
  auto changed = [](auto change) {
    AttemptToSend d = departure(kRead);
    change(d);
    return d;
  };
  tell("in order", leaves(departure(kRead)));
  tell("answered already", leaves(changed([](AttemptToSend& d) { d.isOpen = false; })));
  tell("its client has gone", leaves(changed([](AttemptToSend& d) { d.isClientGone = true; })));
  tell("cancelled", leaves(changed([](AttemptToSend& d) { d.isCancelled = true; })));
  tell("at its client's time", leaves(departure(kRead), {}, kNow + ms(500)));
  tell("at the moment to leave by", leaves(changed([](AttemptToSend& d) { d.sendBy = kNow; })));

  std::vector<EarlierAttempt> ran = {{0, kNow - ms(100), true}},
                              never = {{0, kNow - ms(100), false}}, unsent = {{0}};
  tell("a read again", leaves(departure(kRead), ran));
  tell("once, never ran", leaves(departure(kOnce), never));
  tell("once, never left", leaves(departure(kOnce), unsent));
  tell("once, may have run", leaves(departure(kOnce), ran));
  tell("marked, within its window", leaves(departure(kMarked), ran));
  tell("marked, at the end of its window",
       leaves(departure(kMarked), {{0, kNow - ms(1000), true}}));
  tell("marked, the first of two before its window",
       leaves(departure(kMarked), {{0, kNow - ms(1200), true}, {0, kNow - ms(100), true}}));
  tell("marked by zone, in it", leaves(departure(kZoneMarked, 0), ran));
  tell("marked by zone, in another", leaves(departure(kZoneMarked, 1), ran));

  g.onEndpointListed(1, 0, 1, EndpointStatus::draining, kNow);
  tell("to one that begins to drain", leaves(departure(kRead, 1), {}, kNow + ms(99)));
  tell("to one that drains, so late that a hold-up would miss the grace",
       leaves(departure(kRead, 1), {}, kNow + ms(101)));
  g.onEndpointListed(1, 0, 1, EndpointStatus::gone, kNow + ms(150));
  tell("told once more, the first word counts", leaves(departure(kRead, 1), {}, kNow + ms(200)));
  g.onEndpointListed(1, 0, 1, EndpointStatus::up, kNow + ms(210));
  tell("to one that is up again", leaves(departure(kRead, 1), {}, kNow + ms(220)));
  g.onEndpointDropped(0, kNow);
  tell("to one that a whole list leaves out", leaves(departure(kRead), {}, kNow + ms(200)));
  t.removalMeansDrained = false;
  AttemptGuard lenient(t);
  lenient.onEndpointListed(0, 0, 0, EndpointStatus::gone, kNow);
  tell("the same where that doesn't bind",
       lenient.refusalToSend(departure(kRead), {}, kNow + ms(400)));
}

// A statement of which one execution ends in a way that the rules don't allow; the check names the
// rule.
class Ended : public DecisionSink {
 public:
  explicit Ended(int workload)
      : settings_(terms()),
        engine_(settings_, scheduler_.now()),
        responder_(groups_),
        rounds_(scheduler_),
        guard_(settings_),
        attempts_(scheduler_, engine_, responder_, statements_, rounds_, guard_, settings_) {
    engine_.beginSnapshot(true);
    engine_.addEndpoint({0, 0, 0, EndpointStatus::up, true, 1, {}}, scheduler_.now());
    engine_.endSnapshot(true);
    guard_.onEndpointListed(0, 0, 0, EndpointStatus::up, scheduler_.now());
    pipeline::Statement st;
    st.id = "s", st.workload = workload, st.group = 0, st.isOpen = true,
    st.payload = std::make_unique<Nothing>();
    st.deadline = scheduler_.now() + ms(400);
    stmt_ = statements_.add(std::move(st));
    Arrival a;
    a.workload = workload, a.group = 0, a.giveUpAt = scheduler_.now() + ms(400);
    engine_.onStatementArrived(stmt_, a, scheduler_.now());
    engine_.decide(scheduler_.now(), *this);
  }
  // Lets it end after `change`; the rule that is found broken.
  void ends(
      const char* what,
      const std::function<void(request::UpstreamRequest&, pipeline::Statement&, Ended&)>& change) {
    std::uint64_t before[static_cast<int>(invariants::Rule::count)];
    for (int k = 0; k < static_cast<int>(invariants::Rule::count); ++k)
      before[k] = invariants::violationCount(static_cast<invariants::Rule>(k));
    job.statement = stmt_, job.attempt = 0, job.store = 0, job.outcome = AttemptOutcome::timeout;
    job.startedAt = job.firstByteSentAt = job.lastByteSentAt = now();
    job.announcedTimeoutMs = 400;
    pipeline::Statement& st = statements_.at(stmt_);
    st.attempts.push_back({.store = 0}), st.requests.push_back(&job), ++st.outstandingAttempts;
    change(job, st, *this);
    attempts_.onRequestEnded(job);
    std::printf("%s:", what);
    for (int k = 0; k < static_cast<int>(invariants::Rule::count); ++k)
      if (invariants::violationCount(static_cast<invariants::Rule>(k)) > before[k])
        std::printf(" %s", invariants::nameOf(static_cast<invariants::Rule>(k)));
    std::printf("\n");
  }
  // The rules send it once more, and that ends too.
  void endsAgain(const char* what) {
    sends_ = 0;
    for (TimePoint at = now(); sends_ == 0 && at < now() + ms(300); at = at + ms(5))
      engine_.onWake(), engine_.decide(at, *this);
    std::uint64_t before = invariants::violationCount(invariants::Rule::singleEffect);
    pipeline::Statement& st = statements_.at(stmt_);
    st.attempts.push_back({.store = 0}), st.requests.push_back(&job), ++st.outstandingAttempts;
    job.attempt = 1, job.firstByteSentAt = job.lastByteSentAt = now(), job.announcedTimeoutMs = 0;
    attempts_.onRequestEnded(job);
    std::printf(
        "%s, sent %d:%s\n", what, sends_,
        invariants::violationCount(invariants::Rule::singleEffect) > before ? " repeat" : "");
  }
  TimePoint now() const { return scheduler_.now(); }
  AttemptGuard& stores() { return guard_; }

  void send(int, int, TimePoint, TimePoint) override { ++sends_; }
  void cancel(int, int) override {}
  void reject(int, Duration) override {}
  void abort(int) override {}
  void probe(int) override {}
  void release(int) override {}
  void pollEndpoints() override {}
  void wake(Duration) override {}

  request::UpstreamRequest job;

 private:
  struct Nothing : request::StatementPayload {
    std::size_t size() const override { return 0; }
  };
  EngineSettings settings_;
  runtime::Scheduler scheduler_;
  IdIndex<std::int64_t> groups_;
  DecisionEngine engine_;
  pipeline::Responder responder_;
  pipeline::StatementTable statements_;
  pipeline::RoundTrigger rounds_;
  AttemptGuard guard_;
  pipeline::AttemptReporter attempts_;
  int stmt_ = -1, sends_ = 0;
};

void guardChecks() {
  using pipeline::Statement;
  using request::UpstreamRequest;
  Ended(kOnce).ends("in order", [](UpstreamRequest&, Statement&, Ended&) {});
  Ended(kOnce).ends("left 0.2 s after its client", [](UpstreamRequest& j, Statement& st, Ended& e) {
    st.isOpen = false, st.clientGoneAt = e.now() - ms(200), j.firstByteSentAt = e.now();
  });
  Ended(kOnce).ends("left 0.05 s after its client", [](UpstreamRequest&, Statement& st, Ended& e) {
    st.isOpen = false, st.clientGoneAt = e.now() - ms(50);
  });
  Ended(kOnce).ends("whole 0.2 s after its time", [](UpstreamRequest& j, Statement& st, Ended&) {
    j.lastByteSentAt = st.deadline + ms(200), j.announcedTimeoutMs = 0;
  });
  Ended(kOnce).ends("told 0.2 s too much",
                    [](UpstreamRequest& j, Statement&, Ended&) { j.announcedTimeoutMs = 600; });
  Ended(kOnce).ends(
      "to a store that drains since 0.3 s", [](UpstreamRequest&, Statement&, Ended& e) {
        e.stores().onEndpointListed(0, 0, 0, EndpointStatus::draining, e.now() - ms(300));
      });
  for (double gap : {900.0, 1100.0}) {
    Ended e(kMarked);
    e.ends("a marked one", [&](UpstreamRequest& j, Statement&, Ended& its) {
      j.firstByteSentAt = j.lastByteSentAt = its.now() - ms(gap);
    });
    std::printf("%.0f ms later ", gap);
    e.endsAgain("its repeat");
  }
  Ended(kOnce).ends("a read that had to leave 0.2 s before",
                    [](UpstreamRequest& j, Statement&, Ended& e) { j.sendBy = e.now() - ms(200); });
}

const Case kCases[] = {{"guardLeaves", guardLeaves}, {"guardChecks", guardChecks}};

}  // namespace

int main(int argc, char** argv) {
  return test::runCase(kCases, argc, argv);
}
