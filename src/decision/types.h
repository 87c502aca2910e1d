// The types that the decision modules share with their callers: settings, observed facts, and the
// interface through which decisions are carried out. They contain no logic.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace reedchute {

// How current the data that a workload's statements read must be.
enum class Level { any, bounded, session, fresh, write };
// The effect of executing a statement more than once.
enum class Effect { idempotent, deduplicated, nonIdempotent };
// The set of stores that share their idempotency keys.
enum class Scope { everywhere, zone, group };
enum class EndpointStatus { up, draining, gone };
enum class Role { unknown, primary, replica };
// The evidence for a store being the primary: the endpoint list, a report, or its own response.
enum class RoleEvidence { listed, reported, confirmed };
// `malformedResponse`: the store's response can't be parsed, and the store may have executed the
// statement. `invalid`: the statement itself is invalid, whichever store receives it.
enum class AttemptOutcome {
  ok,
  notServedHere,
  overloaded,
  error,
  malformedResponse,
  invalid,
  timeout,
  connectFailed,
  reset,
  cancelled,
  neverSent
};

struct Workload {
  Level level = Level::any;
  Effect effect = Effect::nonIdempotent;
  Scope scope = Scope::group;
  Duration stalenessBound;       // maximum age of the data that a bounded read returns
  Duration slo;                  // the time within which a statement should be answered
  Duration deduplicationWindow;  // how long a store recognizes and drops a retry
  double importance = 1;
  double lateShare = 0;  // fraction of the importance left once the SLO time has passed
};

struct Tenant {
  double quota = 0;  // statements per second, over all proxies
};

// The settings of a decision engine, passed when it is created.
struct EngineSettings {
  std::uint64_t seed = 0;
  int proxyCount = 1;
  int maxAttempts = 1;
  Duration tick;
  std::vector<Workload> workloads;
  std::vector<Tenant> tenants;
  double overQuotaImportance = 1;  // factor on the importance of a statement over quota
  bool allowsHedging = false;      // a statement may be in flight at two stores
  bool mayCancel = false;
  bool mayProbe = false;
  double probeCost = 0;                  // as a fraction of the value of a statement
  bool pollsEndpoints = false;           // the endpoint list is sent only when polled
  bool removalMeansDrained = true;       // a store missing from the endpoint list counts as drained
  bool endpointRolesAreCurrent = false;  // the endpoint list's roles are kept up to date
  bool storesRejectStaleReads = false;   // a store that lags too far rejects a read
  bool readsCarrySessionToken = true;  // session reads carry the time of their session's last write
  bool repliesWithRetryAfter = false;
  Duration maxRetryAfter;
  Duration connectTimeout;
  Duration maxPollInterval;
  // A change in discovery counts as known to this proxy after this time, even if polls failed;
  // zero: never.
  Duration endpointsAssumedKnownAfter;
  // A response counts as known this long after it was written, even if unread; zero: once read.
  Duration responseAssumedKnownAfter;
  Duration drainGrace;  // how long statements may still be sent to a store that is to drain
  Duration warmUpTime;  // of a store that has just started
  // The endpoint list gives start times by the clocks of other machines, from which this machine's
  // clock may differ, so they need confirmation.
  bool listedStartsNeedProof = false;
  Duration coldOverloadWindow;      // the period over which the load of a cold store is judged
  double coldInitialShare = 1;      // fraction of its usual traffic for a store just started
  double coldOverloadMultiple = 1;  // multiple of its usual load that overloads a cold store
};

struct EndpointInfo {
  int store = -1;
  int group = -1;
  int zone = -1;
  EndpointStatus listed = EndpointStatus::up;
  bool primary = false;
  double weight = 1;
  std::optional<TimePoint> started;  // start of the store's process, if listed
};

// How this process learned that a store has started: from the endpoint list, from the answer to a
// probe or to a statement after the store was unreachable, or because its zone gets traffic again.
enum class StartEvidence { listed, probe, response, zone };

// The slow start of a cold store, as this process sees it.
struct SlowStartStatus {
  int store = -1;
  StartEvidence evidence = StartEvidence::listed;
  TimePoint startedAt;
  int starts = 0;               // of the store that this process has learned of
  double warmth = 0;            // fraction of its usual traffic that the store may get
  double allowedPerSecond = 0;  // statements of mean work that this process may send now
  double budget = 0;            // statements that it may send at once; negative: it owes them
  double allowed = 0;           // statements that it could have sent since the start
  double sent = 0;              // statements that it has sent since the start
};

// A store's report of itself: its replication log position, and whether it is the primary.
struct ReplicaReport {
  std::optional<TimePoint> position;
  std::optional<bool> primary;
};

// The read that a statement continues, as a later page of a result does. The statement must not
// return older data, whatever its workload's level allows.
struct PrecedingRead {
  TimePoint position;  // of the store that answered, as stated with its response
  int store = -1;      // that answered; -1: unknown
};

struct Arrival {
  int workload = -1;
  int group = -1;
  int tenant = -1;
  std::uint64_t session = 0;
  std::optional<Duration> sinceWrite;  // time since the session's last write, if carried
  std::optional<PrecedingRead> precedingRead;
  bool repeated = false;  // the client marked this as a retry
  TimePoint giveUpAt;
};

struct AttemptResult {
  int attempt = -1;
  AttemptOutcome outcome = AttemptOutcome::ok;
  Role role = Role::unknown;
  std::optional<TimePoint> position;
  Duration elapsed;
  bool closed = false;  // the statement has received its final response
  ReplicaReport report;
};

// Carries out the engine's decisions.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  // An attempt that has not been sent by `sendBy` ends as `neverSent`.
  virtual void send(int statement, int store, TimePoint stopAt, TimePoint sendBy) = 0;
  virtual void cancel(int statement, int attempt) = 0;
  virtual void reject(int statement, Duration retryAfter) = 0;
  // Ends a statement that may already have taken effect.
  virtual void abort(int statement) = 0;
  virtual void probe(int store) = 0;
  // Closes the idle connections to the store.
  virtual void release(int store) = 0;
  virtual void pollEndpoints() = 0;
  virtual void wake(Duration after) = 0;
};

// The time of a round of the engine, and the sink for its decisions.
struct Round {
  TimePoint now;
  DecisionSink& sink;
};

struct Attempt {
  int store = -1;
  TimePoint sent;
  bool isOutstanding = false;
  bool isCancelled = false;
  bool isOverdue = false;
  bool mayHaveRun = true;
  bool isPaced = true;  // sent while the store's limit held back further sends
};

struct StatementState {
  int id = -1;
  int workload = -1;
  int group = -1;
  int tenant = -1;
  std::uint64_t session = 0;
  bool isOpen = false;
  bool isOverQuota = false;
  TimePoint arrived;
  TimePoint giveUpAt;
  TimePoint requiredPosition = kNever;  // least position of a store that may answer the read
  std::optional<PrecedingRead> precedingRead;
  TimePoint notBefore = kNever;  // earliest time of the next attempt
  int misses = 0;                // attempts that ended as `notServedHere`
  std::vector<Attempt> attempts;

  bool isOutstanding() const {
    for (const Attempt& attempt : attempts)
      if (attempt.isOutstanding) return true;
    return false;
  }
};

}  // namespace reedchute
