// The interface of the decision module and the types of its state. All decisions stand in
// rules.cpp.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace reedchute {

enum class Level { any, bounded, session, fresh, write };
enum class Effect { idempotent, deduplicated, nonIdempotent };
enum class Scope { everywhere, zone, group };
enum class EndpointStatus { up, draining, gone };
enum class Role { unknown, primary, replica };
// `malformedResponse`: it has answered, with what can't be read, and may have run it. `invalid`: it
// answered that the statement itself is wrong, whichever store gets it; its client is told so.
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

// A row a workload.
struct Workload {
  Level level = Level::any;
  Effect effect = Effect::nonIdempotent;
  Scope scope = Scope::group;
  Duration stalenessBound;       // how old a bounded read's data may be
  Duration slo;                  // the SLO time
  Duration deduplicationWindow;  // how long a repeat is dropped
  double importance = 1;
  double lateShare = 0;  // of the importance, once the SLO time has passed
};

struct Tenant {
  double quota = 0;  // statements a second within its share, over all fronts
};

// What an instance is told when it starts.
struct EngineSettings {
  std::uint64_t seed = 0;
  int proxyCount = 1;
  int maxAttempts = 1;
  Duration tick;
  std::vector<Workload> workloads;
  std::vector<Tenant> tenants;
  double overQuotaImportance = 1;
  bool allowsHedging = false;
  bool mayCancel = false;
  bool mayProbe = false;
  double probeCost = 0;                  // as a share of a statement's worth
  bool pollsEndpoints = false;           // the list comes only when asked for
  bool removalMeansDrained = true;       // a store that vanished from the list counts as drained
  bool endpointRolesAreCurrent = false;  // the list's role is kept up to date
  bool storesRejectStaleReads = false;   // a store that is too far behind turns a read away
  bool readsCarrySessionToken = true;    // session reads say when their session last wrote
  bool repliesWithRetryAfter = false;
  Duration maxRetryAfter;
  Duration connectTimeout;
  Duration maxPollInterval;
  Duration endpointsAssumedKnownAfter;  // what the list's service has counts as told by then,
                                        // whatever calls came to; none: never
  Duration responseAssumedKnownAfter;  // an answer's word counts as known so long after it was
                                       // written; none: once it is read
  Duration drainGrace;  // that sends to a store may go on after it was told to drain
  Duration warmUpTime;
  Duration coldOverloadWindow;
  double coldInitialShare = 1;
  double coldOverloadMultiple = 1;
};

struct EndpointInfo {
  int store = -1;
  int group = -1;
  int zone = -1;
  EndpointStatus listed = EndpointStatus::up;
  bool primary = false;
  double weight = 1;
  std::optional<TimePoint> started;
};

struct ReplicaReport {
  std::optional<TimePoint> position;
  std::optional<bool> primary;
};

struct Arrival {
  int workload = -1;
  int group = -1;
  int tenant = -1;
  std::uint64_t session = 0;
  std::optional<Duration> sinceWrite;
  bool repeated = false;  // the client says that it tries again
  TimePoint giveUpAt;
};

struct AttemptResult {
  int attempt = -1;
  AttemptOutcome outcome = AttemptOutcome::ok;
  Role role = Role::unknown;
  std::optional<TimePoint> position;
  Duration elapsed;
  bool closed = false;  // the statement has its final answer
  ReplicaReport report;
};

// Where decisions go.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  // `sendBy`: an execution that has not left by then ends as moot.
  virtual void send(int statement, int store, TimePoint stopAt, TimePoint sendBy) = 0;
  virtual void cancel(int statement, int attempt) = 0;
  virtual void reject(int statement, Duration retryAfter) = 0;
  virtual void abort(int statement) = 0;
  virtual void probe(int store) = 0;
  virtual void release(int store) = 0;  // its idle connections
  virtual void pollEndpoints() = 0;
  virtual void wake(Duration after) = 0;
};

struct Attempt {
  int store = -1;
  TimePoint sent;
  bool out = false;
  bool cancelled = false;
  bool overdue = false;
  bool mayHaveRun = true;
  bool paced = true;  // sent while the store's limit held sends back
};

struct StatementState {
  int workload = -1;
  int group = -1;
  int tenant = -1;
  std::uint64_t session = 0;
  bool open = false;
  bool overShare = false;
  TimePoint arrived;
  TimePoint giveUpAt;
  TimePoint needs = kNever;  // the position that a session or fresh read must see
  TimePoint notBefore = kNever;
  int tries = 0;  // at replicas that turned it away
  std::vector<Attempt> attempts;
};

// What is known of stores, in parallel arrays under the store's index.
struct Stores {
  std::vector<int> group, zone;
  std::vector<EndpointStatus> listed;
  std::vector<double> weight;
  std::vector<TimePoint> started;
  std::vector<char> inList;
  // lag
  std::vector<TimePoint> position;
  std::vector<std::vector<char>> drained;  // a flag a workload, as each has its own bound
  std::vector<std::vector<TimePoint>> returned;
  // role
  std::vector<Role> role;
  std::vector<TimePoint> primaryAt, replicaAt;  // last seen in that role
  std::vector<TimePoint> doubtedAt;  // what was sent up to then doesn't show it as primary
  // probes
  std::vector<char> probing;
  std::vector<TimePoint> reported;  // the position of its newest report
  std::vector<TimePoint> probedAt,
      renewal;  // when last lastResponse, when its report is renewed next
  std::vector<TimePoint> probeDue;
  // health
  std::vector<double> successRate, speed;
  std::vector<TimePoint> lastResponse, lastDecay, blockedUntil, blockedAt;
  std::vector<Duration> block;
  std::vector<char> down, dead;  // refused a connection; and probes found it away
  std::vector<TimePoint> refusedAt,
      crowdedAt;            // a connection; and last seen that it has no room for more
  std::vector<int> missed;  // probes in vain, one after the other
  // load
  std::vector<int> out;
  std::vector<TimePoint> freeAt;  // where the limit is below one: when its pace has a place again
  std::vector<double> limit;
  std::vector<TimePoint> cutAt;
  std::vector<double> coldBudget;
  std::vector<TimePoint> coldFilled;

  int size() const { return static_cast<int>(group.size()); }

  // Nothing is known of this store, which may be one more; unmeasured counts as drained.
  void begin(int store, std::size_t workloads, double firstLimit, TimePoint now) {
    auto put = [s = static_cast<std::size_t>(store)](auto& array, auto value) {
      if (array.size() <= s) array.resize(s + 1);
      array[s] = std::move(value);
    };
    for (auto* never : {&started, &position, &primaryAt, &replicaAt, &doubtedAt, &reported,
                        &probedAt, &renewal, &probeDue, &lastResponse, &blockedUntil, &blockedAt,
                        &freeAt, &cutAt, &refusedAt, &crowdedAt})
      put(*never, kNever);
    for (auto* flag : {&inList, &probing, &down, &dead}) put(*flag, char{0});
    put(group, -1), put(zone, -1), put(listed, EndpointStatus::up), put(weight, 1.0);
    put(drained, std::vector<char>(workloads, 1)),
        put(returned, std::vector<TimePoint>(workloads, kNever));
    put(role, Role::unknown), put(successRate, 1.0), put(speed, 1.0), put(lastDecay, now),
        put(block, Duration{});
    put(out, 0), put(missed, 0), put(limit, firstLimit), put(coldBudget, 0.0), put(coldFilled, now);
  }
};

// What a primary's name rests on: the list alone, a report alone, or its own answers.
enum class RoleEvidence { listed, reported, confirmed };

struct GroupState {
  std::vector<int> members;
  std::vector<int> waiting;  // statements not out anywhere, oldest first
  int primary = -1;
  RoleEvidence named = RoleEvidence::listed;
  bool moved = false;  // a store has told of the role otherwise than the list
  int turn = 0;
  TimePoint searched = kNever;
  TimePoint primarySince = kNever;
  double workRate = 0;     // offered to this front, in store seconds a second
  double boundedRate = 0;  // bounded reads a second
  TimePoint rated = kNever;
};

struct ZoneState {
  int missed = 0;  // tries in vain since its last word
  TimePoint missedAt = kNever;
  double share = 1;
  bool looks = true;
};

struct TenantState {
  double rate = 0;    // statements a second at this front
  double tokens = 0;  // within its share
};

class DecisionEngine {
 public:
  // Throws std::invalid_argument where a setting that it can't do without is missing or makes no
  // sense.
  DecisionEngine(EngineSettings settings, TimePoint now);

  // Facts, in the order in which they came in.
  void beginSnapshot(bool whole);
  void addEndpoint(const EndpointInfo& e, TimePoint now);
  void endSnapshot(bool polled);
  // A store that is gone has left every place outside: nothing is out to it, no open statement was
  // sent to it, and its index may be another's from now on.
  void removeEndpoint(int store, TimePoint now);
  void onDiscoveryFailed(TimePoint now);
  void onStatementArrived(int statement, const Arrival& a, TimePoint now);
  void onAttemptEnded(int statement, const AttemptResult& r, TimePoint now);
  void onClientClosed(int statement);
  void onProbeNotSent(int store,
                      TimePoint now);  // its probe never left this front, for want of room here
  // `role`: what the answer itself says of its store, whatever its report does.
  void onProbeEnded(int store, bool ok, const ReplicaReport& report, TimePoint now,
                    Role role = Role::unknown);
  void onWake();
  // The clock that positions are told in was set ahead by this, or below zero back.
  void onClockStepped(Duration ahead);
  // Of a zone's usual traffic, how much this front is to bring its replicas, and may it try those
  // found away? Where nobody says so, all and yes. It is one more factor in the weight, and no word
  // on freshness; writes follow their primary. From none to some: all its stores count as started
  // just now.
  void setZoneShare(int zone, double share, bool looks, TimePoint now);

  // Once a round, after its facts.
  void decide(TimePoint now, DecisionSink& out);

 private:
  // the design: curve, drain, choice
  double curve(int s, const Workload& w, TimePoint now) const;
  bool measured(int s, const StatementState& st, TimePoint now) const;
  bool boundedDrained(int s) const;
  bool longRead(int w) const;
  bool anyLongRead() const;
  int hostsAtOnce(int members) const;
  bool mayHost(int s) const;
  double weightFor(int s, int statement, TimePoint now) const;
  int fewest(const std::vector<int>& among, int statement, TimePoint now);
  int route(int statement, TimePoint now);
  int routeCurrent(int statement, TimePoint now);
  void learnPosition(int s, TimePoint position, Duration known, TimePoint now);
  // primary search
  void startedAnew(int s, TimePoint now);
  void doubtRole(int s, TimePoint now);
  void learnRole(int s, Role role, TimePoint at, bool byReport, TimePoint now);
  bool primaryUsable(const GroupState& g, TimePoint now) const;
  bool doubted(int s, TimePoint now) const;
  double shareOf(int s) const { return stores_.zone[s] < 0 ? 1 : zones_[stores_.zone[s]].share; }
  void tellZone(int s, bool heard, TimePoint now);
  bool primaryRoom(const GroupState& g, int statement, TimePoint now) const;
  void namePrimary(int g, int s, RoleEvidence named, TimePoint now);
  int searchTurn(int statement, TimePoint now);
  // probe timing
  Duration supposedLag(int s, bool host) const;
  void probeRound(TimePoint now, DecisionSink& out);
  void lookLater(int s, Duration lag, Duration least, TimePoint now);
  void learnRefresh(int s, TimePoint position, TimePoint now);
  // health
  bool usable(int s, TimePoint now) const;
  void healed(int s, TimePoint now);
  void unblock(int s);
  void blockStore(int s, TimePoint now, bool down);
  void learnHealth(int s, int workload, const AttemptResult& r, TimePoint sent, bool paced,
                   TimePoint now);
  // in-flight limit and shedding
  bool room(int s, int statement, TimePoint now) const;
  bool many() const { return firstLimit_ < 1; }  // fronts: each sees and may send little
  void cutLimit(int s, TimePoint sent, TimePoint now, bool jam = false);
  void setLimit(int s, double limit, TimePoint now);
  Duration startTime(int w) const;
  void countTenant(StatementState& st, TimePoint now);
  bool late(const StatementState& st, TimePoint now) const;
  double standing(const StatementState& st, TimePoint now) const;
  void dispatch(int g, TimePoint now, DecisionSink& out);
  void shed(int g, TimePoint now, DecisionSink& out);
  void giveUp(int statement, DecisionSink& out);
  // time-outs and further attempts
  bool mayRunAgain(const StatementState& st, int s, TimePoint now) const;
  bool harmless(const StatementState& st) const;
  bool isOut(const StatementState& st) const;
  std::vector<double> answersMissing(TimePoint now) const;
  void superviseAttempts(TimePoint now, DecisionSink& out);
  // cold share by age
  double warmth(int s, TimePoint now) const;
  void begins(int s, TimePoint at, TimePoint now);
  double remembered(const GroupState& g, TimePoint now) const;
  void fillCold(int s, TimePoint now);
  void send(int statement, int s, TimePoint now, DecisionSink& out);

  EngineSettings settings_;
  std::ranlux24_base chance_;
  Stores stores_;
  std::vector<GroupState> groups_;
  std::vector<StatementState> statements_;
  std::vector<int> open_;          // statements that are owed a final answer, oldest first
  std::vector<Duration> typical_;  // a workload's usual time from send to answer
  std::vector<Duration> least_;    // and about the least that it takes
  std::unordered_map<std::uint64_t, TimePoint> sessions_;  // last commit of a session
  TimePoint sessionFloor_ = kNever;
  double meanWork_ = 0;                  // of a statement, in store seconds
  double longWork_ = 0.2, allWork_ = 1;  // brought by long reads, and by all statements
  double probeBudget_ = 0, probesEarned_ = 0, furtherBudget_ = 0, firstLimit_ = 1;
  Duration refresh_,
      reportAge_;  // of reports: their period, and their age when they can first be seen
  Duration smallestBound_, smallestSlo_;
  Duration memory_;   // how far back rates look
  double crowd_ = 0;  // the share of late attempts that got no connection
  TimePoint crowdedAt_ =
      kNever;              // last seen that stores, not one alone, have no room for connections
  std::vector<int> used_;  // stores that answered in this round
  TimePoint askAt_ = kNever;
  Duration askBackoff_, askFirst_, askLast_;
  std::vector<TenantState> tenants_;
  std::vector<ZoneState> zones_;
  double quotas_ = 0;  // of all tenants
  TimePoint tenantsAt_ = kNever;
  TimePoint wakeAt_ = kNever;
};

}  // namespace reedchute
