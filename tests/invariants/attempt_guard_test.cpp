// Tests of the attempt guard, which refuses attempts before they are sent, and of the checks that
// report violations after an attempt has ended: each refusal and each rule is provoked once.
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

constexpr int kRead = 0, kDeduplicated = 1, kNonIdempotent = 2, kZoneDeduplicated = 3;

EngineSettings engineSettings() {
  EngineSettings t = Bench::terms({Bench::work(Level::any),
                                   Bench::work(Level::write, Effect::deduplicated),
                                   Bench::work(Level::write, Effect::nonIdempotent),
                                   Bench::work(Level::write, Effect::deduplicated, Scope::zone)});
  t.drainGrace = ms(250);
  return t;
}

const TimePoint kNow{1'000'000'000};

AttemptToSend attemptToSend(int workload, int store = 0) {
  AttemptToSend attempt;
  attempt.workload = workload, attempt.store = store, attempt.isOpen = true;
  attempt.deadline = kNow + ms(500), attempt.sendBy = kNow + ms(500);
  return attempt;
}

void printRefusal(const char* what, invariants::Refusal refusal) {
  std::printf("%s: %s\n", what, invariants::nameOf(refusal));
}

void guardLeaves() {
  EngineSettings t = engineSettings();
  AttemptGuard guard(t);
  for (int store : {0, 1})
    guard.onEndpointListed(store, 0, store, EndpointStatus::up, kNow - ms(9000));
  auto refusal = [&](AttemptToSend attempt, const std::vector<EarlierAttempt>& earlier = {},
                     TimePoint now = kNow) { return guard.refusalToSend(attempt, earlier, now); };
  auto attemptWith = [](auto change) {
    AttemptToSend attempt = attemptToSend(kRead);
    change(attempt);
    return attempt;
  };
  printRefusal("in order", refusal(attemptToSend(kRead)));
  printRefusal("answered already",
               refusal(attemptWith([](AttemptToSend& attempt) { attempt.isOpen = false; })));
  printRefusal("its client has gone",
               refusal(attemptWith([](AttemptToSend& attempt) { attempt.isClientGone = true; })));
  printRefusal("cancelled",
               refusal(attemptWith([](AttemptToSend& attempt) { attempt.isCancelled = true; })));
  printRefusal("at its client's time", refusal(attemptToSend(kRead), {}, kNow + ms(500)));
  printRefusal("at the moment to leave by",
               refusal(attemptWith([](AttemptToSend& attempt) { attempt.sendBy = kNow; })));

  std::vector<EarlierAttempt> ran = {{0, kNow - ms(100), true}},
                              never = {{0, kNow - ms(100), false}}, notSent = {{0}};
  printRefusal("a read again", refusal(attemptToSend(kRead), ran));
  printRefusal("once, never ran", refusal(attemptToSend(kNonIdempotent), never));
  printRefusal("once, never left", refusal(attemptToSend(kNonIdempotent), notSent));
  printRefusal("once, may have run", refusal(attemptToSend(kNonIdempotent), ran));
  printRefusal("marked, within its window", refusal(attemptToSend(kDeduplicated), ran));
  printRefusal("marked, at the end of its window",
               refusal(attemptToSend(kDeduplicated), {{0, kNow - ms(1000), true}}));
  printRefusal("marked, the first of two before its window",
               refusal(attemptToSend(kDeduplicated),
                       {{0, kNow - ms(1200), true}, {0, kNow - ms(100), true}}));
  printRefusal("marked by zone, in it", refusal(attemptToSend(kZoneDeduplicated, 0), ran));
  printRefusal("marked by zone, in another", refusal(attemptToSend(kZoneDeduplicated, 1), ran));

  guard.onEndpointListed(1, 0, 1, EndpointStatus::draining, kNow);
  printRefusal("to one that begins to drain", refusal(attemptToSend(kRead, 1), {}, kNow + ms(99)));
  printRefusal("to one that drains, so late that a hold-up would miss the grace",
               refusal(attemptToSend(kRead, 1), {}, kNow + ms(101)));
  guard.onEndpointListed(1, 0, 1, EndpointStatus::gone, kNow + ms(150));
  printRefusal("told once more, the first word counts",
               refusal(attemptToSend(kRead, 1), {}, kNow + ms(200)));
  guard.onEndpointListed(1, 0, 1, EndpointStatus::up, kNow + ms(210));
  printRefusal("to one that is up again", refusal(attemptToSend(kRead, 1), {}, kNow + ms(220)));
  guard.onEndpointDropped(0, kNow);
  printRefusal("to one that a whole list leaves out",
               refusal(attemptToSend(kRead), {}, kNow + ms(200)));
  t.removalMeansDrained = false;
  AttemptGuard lenient(t);
  lenient.onEndpointListed(0, 0, 0, EndpointStatus::gone, kNow);
  printRefusal("the same where that doesn't bind",
               lenient.refusalToSend(attemptToSend(kRead), {}, kNow + ms(400)));
}

// A statement with one attempt that ends in a way that may violate a rule; prints the rules that
// are reported as violated.
class EndedAttempt : public DecisionSink {
 public:
  explicit EndedAttempt(int workload)
      : settings_(engineSettings()),
        engine_(settings_, scheduler_.now()),
        responder_(groups_),
        rounds_(scheduler_),
        guard_(settings_),
        attempts_(scheduler_, engine_, responder_, statements_, rounds_, guard_, settings_) {
    engine_.beginSnapshot(true);
    engine_.addEndpoint({0, 0, 0, EndpointStatus::up, true, 1, {}}, scheduler_.now());
    engine_.endSnapshot(true);
    guard_.onEndpointListed(0, 0, 0, EndpointStatus::up, scheduler_.now());
    pipeline::Statement statement;
    statement.id = "s", statement.workload = workload, statement.group = 0, statement.isOpen = true,
    statement.payload = std::make_unique<EmptyPayload>();
    statement.deadline = scheduler_.now() + ms(400);
    statement_ = statements_.add(std::move(statement));
    Arrival a;
    a.workload = workload, a.group = 0, a.giveUpAt = scheduler_.now() + ms(400);
    engine_.onStatementArrived(statement_, a, scheduler_.now());
    engine_.decide(scheduler_.now(), *this);
  }
  // Applies `change`, ends the attempt and prints the rules that are reported as violated.
  void end(const char* what,
           const std::function<void(request::UpstreamRequest&, pipeline::Statement&,
                                    EndedAttempt&)>& change) {
    std::uint64_t before[static_cast<int>(invariants::Rule::count)];
    for (int k = 0; k < static_cast<int>(invariants::Rule::count); ++k)
      before[k] = invariants::violationCount(static_cast<invariants::Rule>(k));
    upstreamRequest.statement = statement_, upstreamRequest.attempt = 0, upstreamRequest.store = 0,
    upstreamRequest.outcome = AttemptOutcome::timeout;
    upstreamRequest.startedAt = upstreamRequest.firstByteSentAt = upstreamRequest.lastByteSentAt =
        now();
    upstreamRequest.announcedTimeoutMs = 400;
    pipeline::Statement& statement = statements_.at(statement_);
    statement.attempts.push_back({.store = 0}), statement.requests.push_back(&upstreamRequest),
        ++statement.outstandingAttempts;
    change(upstreamRequest, statement, *this);
    attempts_.onRequestEnded(upstreamRequest);
    std::printf("%s:", what);
    for (int k = 0; k < static_cast<int>(invariants::Rule::count); ++k)
      if (invariants::violationCount(static_cast<invariants::Rule>(k)) > before[k])
        std::printf(" %s", invariants::nameOf(static_cast<invariants::Rule>(k)));
    std::printf("\n");
  }
  // Runs rounds for up to 300 ms until the engine sends a retry, ends that too, and prints whether
  // it was reported as a second effect.
  void endRetry(const char* what) {
    sends_ = 0;
    for (TimePoint at = now(); sends_ == 0 && at < now() + ms(300); at = at + ms(5))
      engine_.onWake(), engine_.decide(at, *this);
    std::uint64_t before = invariants::violationCount(invariants::Rule::singleEffect);
    pipeline::Statement& statement = statements_.at(statement_);
    statement.attempts.push_back({.store = 0}), statement.requests.push_back(&upstreamRequest),
        ++statement.outstandingAttempts;
    upstreamRequest.attempt = 1,
    upstreamRequest.firstByteSentAt = upstreamRequest.lastByteSentAt = now(),
    upstreamRequest.announcedTimeoutMs = 0;
    attempts_.onRequestEnded(upstreamRequest);
    std::printf(
        "%s, sent %d:%s\n", what, sends_,
        invariants::violationCount(invariants::Rule::singleEffect) > before ? " repeat" : "");
  }
  TimePoint now() const { return scheduler_.now(); }
  AttemptGuard& guard() { return guard_; }

  void send(int, int, TimePoint, TimePoint) override { ++sends_; }
  void cancel(int, int) override {}
  void reject(int, Duration) override {}
  void abort(int) override {}
  void probe(int) override {}
  void release(int) override {}
  void pollEndpoints() override {}
  void wake(Duration) override {}

  request::UpstreamRequest upstreamRequest;

 private:
  struct EmptyPayload : request::StatementPayload {
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
  int statement_ = -1, sends_ = 0;
};

void guardChecks() {
  using pipeline::Statement;
  using request::UpstreamRequest;
  EndedAttempt(kNonIdempotent).end("in order", [](UpstreamRequest&, Statement&, EndedAttempt&) {});
  EndedAttempt(kNonIdempotent)
      .end("left 0.2 s after its client",
           [](UpstreamRequest& request, Statement& statement, EndedAttempt& e) {
             statement.isOpen = false, statement.clientGoneAt = e.now() - ms(200),
             request.firstByteSentAt = e.now();
           });
  EndedAttempt(kNonIdempotent)
      .end("left 0.05 s after its client",
           [](UpstreamRequest&, Statement& statement, EndedAttempt& e) {
             statement.isOpen = false, statement.clientGoneAt = e.now() - ms(50);
           });
  EndedAttempt(kNonIdempotent)
      .end("whole 0.2 s after its time",
           [](UpstreamRequest& request, Statement& statement, EndedAttempt&) {
             request.lastByteSentAt = statement.deadline + ms(200), request.announcedTimeoutMs = 0;
           });
  EndedAttempt(kNonIdempotent)
      .end("told 0.2 s too much", [](UpstreamRequest& request, Statement&, EndedAttempt&) {
        request.announcedTimeoutMs = 600;
      });
  EndedAttempt(kNonIdempotent)
      .end("to a store that drains since 0.3 s", [](UpstreamRequest&, Statement&, EndedAttempt& e) {
        e.guard().onEndpointListed(0, 0, 0, EndpointStatus::draining, e.now() - ms(300));
      });
  for (double gap : {900.0, 1100.0}) {
    EndedAttempt e(kDeduplicated);
    e.end("a marked one", [&](UpstreamRequest& request, Statement&, EndedAttempt& ended) {
      request.firstByteSentAt = request.lastByteSentAt = ended.now() - ms(gap);
    });
    std::printf("%.0f ms later ", gap);
    e.endRetry("its repeat");
  }
  EndedAttempt(kNonIdempotent)
      .end("a read that had to leave 0.2 s before",
           [](UpstreamRequest& request, Statement&, EndedAttempt& e) {
             request.sendBy = e.now() - ms(200);
           });
}

const Case kCases[] = {{"guardLeaves", guardLeaves}, {"guardChecks", guardChecks}};

}  // namespace

int main(int argc, char** argv) {
  return test::runCase(kCases, argc, argv);
}
