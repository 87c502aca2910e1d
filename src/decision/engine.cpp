#include "decision/engine.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

// Share of the SLO time that a client's retry is assumed to have waited before.
constexpr double kRetryElapsedShare = 0.5;
constexpr double kFreshReadDelay = 4;       // ticks; time for the log to reach a replica
constexpr double kThroughputInterval = 10;  // ticks
constexpr double kBusyWakePeriod = 2;       // ticks
constexpr double kIdleWakePeriod = 8;       // ticks

// Returns the settings with `maxPollInterval` raised to the smallest SLO time.
EngineSettings validateSettings(EngineSettings settings) {
  if (settings.workloads.empty()) throw std::invalid_argument("no workloads are given");
  if (settings.tick <= Duration{}) throw std::invalid_argument("the tick must be above 0");
  if (settings.maxAttempts < 1)
    throw std::invalid_argument("the maximum number of attempts must be at least 1");
  if (!(settings.coldInitialShare > 0 && settings.coldInitialShare <= 1))
    throw std::invalid_argument("the cold share must be in (0, 1]");
  for (const Workload& workload : settings.workloads) {
    if (workload.slo <= Duration{})
      throw std::invalid_argument("the SLO time of a workload must be above 0");
    if (workload.level == Level::bounded && workload.stalenessBound <= Duration{})
      throw std::invalid_argument("the staleness bound of a bounded read must be above 0");
  }
  auto smallest = std::min_element(
      settings.workloads.begin(), settings.workloads.end(),
      [](const Workload& one, const Workload& other) { return one.slo < other.slo; });
  settings.maxPollInterval = std::max(settings.maxPollInterval, smallest->slo);
  return settings;
}

// True if the attempt can't have had any effect.
bool provesNothingRan(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::overloaded || outcome == AttemptOutcome::connectFailed ||
         outcome == AttemptOutcome::neverSent || outcome == AttemptOutcome::notServedHere;
}

bool showsLostConnection(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::connectFailed || outcome == AttemptOutcome::reset;
}

bool showsResponsiveStore(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::ok || outcome == AttemptOutcome::notServedHere ||
         outcome == AttemptOutcome::invalid;
}

}  // namespace

DecisionEngine::DecisionEngine(EngineSettings settings, TimePoint now)
    : settings_(validateSettings(std::move(settings))),
      random_(settings_.seed),
      stores_(settings_, now),
      probes_(settings_, stores_),
      selection_(settings_, stores_, probes_, random_),
      actions_(settings_, stores_),
      retries_(settings_, stores_, selection_, actions_),
      admission_(settings_, stores_, statements_) {}

// ---- the endpoint list ----

void DecisionEngine::resetStore(int store, TimePoint now) {
  stores_.reset(store, now);
  probes_.reset(store);
}

void DecisionEngine::ensureGroup(int group) {
  stores_.ensureGroup(group);
  probes_.ensureGroup(group);
  admission_.ensureGroup(group);
}

void DecisionEngine::beginSnapshot(bool whole) {
  stores_.endpoints.beginSnapshot(whole);
}

void DecisionEngine::addEndpoint(const EndpointInfo& endpoint, TimePoint now) {
  int store = endpoint.store;
  int group = endpoint.group;
  while (stores_.endpoints.size() <= store) resetStore(stores_.endpoints.size(), now);
  ensureGroup(group);
  stores_.ensureZone(endpoint.zone);
  // Delays the first send by a random time: hundreds of proxies that learn of a store at the same
  // time would otherwise each find spare capacity at it for a read.
  bool isNew = stores_.endpoints.group(store) < 0;
  if (isNew && stores_.limits.isSharedByManyProxies()) {
    double gaps = drawUnit(random_) / stores_.limits.initialLimit();
    stores_.limits.delayFirstSend(store, stores_.statistics.initialTime() * gaps, now);
  }
  stores_.endpoints.addEndpoint(endpoint);
  bool hasStarted = endpoint.started && stores_.slowStart.onListedStart(store, *endpoint.started,
                                                                        drawSlowStartDebt(), now);
  if (hasStarted) {
    stores_.health.onRestarted(store);
    stores_.health.readmit(store);
    stores_.freshness.onRestarted(store, now);
    stores_.primaries.onRestarted(group, store, now);
  }
  if (endpoint.primary && endpoint.listed == EndpointStatus::up) {
    bool isPrimaryUsable = stores_.hasUsablePrimary(group, now);
    stores_.primaries.onListedAsPrimary(group, store, isPrimaryUsable, now);
  }
}

void DecisionEngine::endSnapshot(bool polled) {
  stores_.endpoints.endSnapshot();
  if (polled) stores_.endpoints.onPolled();
}

// Resets the store so that its index can be reused: otherwise each round would iterate over all
// stores that were ever listed.
void DecisionEngine::removeEndpoint(int store, TimePoint now) {
  stores_.endpoints.remove(store);
  stores_.primaries.onRemoved(store);
  for (int id : openStatements_) {
    std::optional<PrecedingRead>& read = statements_[id].precedingRead;
    if (read && read->store == store) read->store = -1;
  }
  resetStore(store, now);
}

void DecisionEngine::onDiscoveryFailed(TimePoint now) {
  stores_.endpoints.onPollFailed(random_, now);
}

// When a zone gets traffic again, its stores are cold. Their ejections end, as otherwise every
// proxy that found the stores unreachable would probe each of them.
void DecisionEngine::setZoneShare(int zone, double share, bool mayProbe, TimePoint now) {
  stores_.ensureZone(zone);
  double before = stores_.endpoints.setZoneShare(zone, share, mayProbe);
  bool regainsTraffic = before <= 0 && share > 0;
  if (!regainsTraffic) return;
  for (int store = 0; store < stores_.endpoints.size(); ++store) {
    if (stores_.endpoints.zone(store) != zone || stores_.endpoints.group(store) < 0) continue;
    onStoreStarted(store, StartEvidence::zone, now);
    stores_.health.readmit(store);
  }
}

// ---- observations of stores ----

double DecisionEngine::drawSlowStartDebt() {
  double work = stores_.statistics.drawRelativeWork(random_);
  return drawUnit(random_) * work;
}

void DecisionEngine::onStoreStarted(int store, StartEvidence evidence, TimePoint now) {
  stores_.slowStart.onObservedStart(store, evidence, drawSlowStartDebt(), now);
  stores_.health.onRestarted(store);
}

void DecisionEngine::onStoreResponsive(int store, StartEvidence evidence, TimePoint now) {
  if (stores_.health.hasRestarted(store)) onStoreStarted(store, evidence, now);
  stores_.health.readmit(store);
}

void DecisionEngine::observeRole(int store, const RoleObservation& observation, TimePoint now) {
  stores_.primaries.onObserved(stores_.endpoints.group(store), store, observation, now);
}

void DecisionEngine::observePosition(int store, const PositionReport& report, Duration reportAge,
                                     TimePoint now) {
  stores_.clockSkew.onPosition(now - report.position);
  bool fallsBehind = stores_.freshness.onPosition(store, report, reportAge, now);
  if (fallsBehind) stores_.limits.cut(store, report.position, CutReason::slow, now);
}

void DecisionEngine::onProbeNotSent(int store, TimePoint now) {
  probes_.onProbeNotSent(store, now);
}

void DecisionEngine::onProbeEnded(int store, bool ok, const ReplicaReport& report, TimePoint now,
                                  Role role) {
  probes_.onProbeEnded(store);
  // The role in the response itself counts as known too; the report beside it may be older.
  if (role == Role::replica) observeRole(store, {role, now, RoleSource::response}, now);
  if (!ok) {
    stores_.freshness.onConnectionLost(store, now);
    bool isUnreachable = stores_.health.onProbeFailed(store, now);
    probes_.onProbeFailed(store, isUnreachable, now);
    return;
  }
  int group = stores_.endpoints.group(store);
  // In a group of several members, a primary that failed would have lost its role to another. One
  // that reports as primary at a position later than its ejection has kept running.
  bool wasPrimaryThroughout = report.position && report.primary.value_or(false) &&
                              *report.position > stores_.health.ejectedAt(store);
  bool keptRole = wasPrimaryThroughout && stores_.endpoints.groupSize(group) > 1;
  stores_.health.onProbeAnswered(store, stores_.endpoints.zone(store), keptRole, now);
  if (stores_.health.wasUnreachable(store)) {
    stores_.primaries.onRestarted(group, store, now);
    stores_.freshness.onRestarted(store, probes_.sentAt(store));
  }
  if (stores_.health.hasRefusedConnection(store))
    onStoreResponsive(store, StartEvidence::probe, now);
  learnFromReport(store, report, now);
}

void DecisionEngine::learnFromReport(int store, const ReplicaReport& report, TimePoint now) {
  if (!report.position) return;
  TimePoint position = *report.position;
  probes_.onReport(store, position, now);
  observePosition(store, {position, probes_.sentAt(store)}, probes_.reportAge(), now);
  if (!report.primary) return;
  Role role = *report.primary ? Role::primary : Role::replica;
  observeRole(store, {role, position, RoleSource::report}, now);
}

// ---- statements ----

void DecisionEngine::onStatementArrived(int id, const Arrival& arrival, TimePoint now) {
  ensureIndex(statements_, id);
  ensureGroup(arrival.group);
  const Workload& workload = settings_.workloads[arrival.workload];
  StatementState& statement = statements_[id];
  statement = {.id = id,
               .workload = arrival.workload,
               .group = arrival.group,
               .tenant = arrival.tenant,
               .session = arrival.session,
               .isOpen = true,
               // A retry that counted as new would often be answered late, and delay others.
               .arrived = arrival.repeated ? now - workload.slo * kRetryElapsedShare : now,
               .giveUpAt = arrival.giveUpAt,
               .requiredPosition = stores_.freshness.requiredPosition(arrival, now),
               .precedingRead = arrival.precedingRead,
               .attempts = {}};
  // Until the log has arrived, even the most advanced replica rejects a fresh read.
  if (workload.level == Level::fresh && settings_.storesRejectStaleReads)
    statement.notBefore = now + settings_.tick * kFreshReadDelay;
  admission_.countTenant(statement, now);
  stores_.statistics.onStatementArrived(statement.workload);
  probes_.onStatementArrived(statement, arrival.repeated, now);
  retries_.onStatementArrived();
  openStatements_.push_back(id);
  admission_.enqueue(statement);
}

void DecisionEngine::onAttemptEnded(int id, const AttemptResult& result, TimePoint now) {
  StatementState& statement = statements_[id];
  Attempt& attempt = statement.attempts[result.attempt];
  if (std::exchange(attempt.isOutstanding, false)) {
    stores_.limits.onAttemptEnded(attempt.store);
    endedAttemptStores_.push_back(attempt.store);
  }
  attempt.mayHaveRun = !provesNothingRan(result.outcome);
  learnFromResponse(statement, attempt, result, now);
  learnFromAttempt(statement, attempt, result, now);
  if (result.report.position)
    observePosition(attempt.store, {*result.report.position, attempt.sent}, probes_.reportAge(),
                    now);
  continueStatement(statement, result, now);
}

// Records the store's role and position as stated by the response.
void DecisionEngine::learnFromResponse(const StatementState& statement, const Attempt& attempt,
                                       const AttemptResult& result, TimePoint now) {
  int store = attempt.store;
  bool isWrite = settings_.workloads[statement.workload].level == Level::write;
  bool rejectsWrite = isWrite && result.outcome == AttemptOutcome::notServedHere;
  Role role = rejectsWrite ? Role::replica : result.role;
  TimePoint seenAt = role == Role::primary ? attempt.sent : now;
  observeRole(store, {role, seenAt, RoleSource::response}, now);
  if (!result.position) return;
  TimePoint position = *result.position;
  stores_.clockSkew.onPosition(now - position);
  if (result.role != Role::replica) return;
  PositionReport stated{.position = position, .requestedAt = attempt.sent, .isOfResponse = true};
  observePosition(store, stated, Duration{}, now);
  probes_.deferByLag(store, now - position, Duration{}, now);
}

// Records what the outcome shows of the store's health and of the workload's running time.
void DecisionEngine::learnFromAttempt(const StatementState& statement, const Attempt& attempt,
                                      const AttemptResult& result, TimePoint now) {
  int store = attempt.store;
  const Workload& workload = settings_.workloads[statement.workload];
  if (showsResponsiveStore(result.outcome)) onStoreResponsive(store, StartEvidence::response, now);
  if (showsLostConnection(result.outcome)) stores_.freshness.onConnectionLost(store, now);
  OutlierDetection::AttemptContext context{
      .zone = stores_.endpoints.zone(store),
      .sent = attempt.sent,
      .typicalTime = stores_.statistics.typicalTime(statement.workload),
      .isIdle = stores_.limits.outstanding(store) == 0};
  stores_.health.onAttemptEnded(store, result, context, now);
  if (result.outcome == AttemptOutcome::overloaded)
    stores_.limits.cut(store, attempt.sent, CutReason::overloaded, now);
  if (result.outcome != AttemptOutcome::ok) return;
  stores_.limits.onSuccess(store, attempt, result.elapsed, workload.slo, now);
  stores_.statistics.onSuccess(statement.workload, result.elapsed);
  if (stores_.isUsable(store, now))
    stores_.throughput.onCompleted(statement.group, stores_.slowStart.isWarm(store, now),
                                   stores_.statistics.relativeWork(statement.workload));
  // A write is committed before its response is written, so `now` is no earlier than its commit.
  if (workload.level == Level::write && !settings_.readsCarrySessionToken)
    stores_.freshness.onCommit(statement.session, result.position.value_or(now));
}

void DecisionEngine::continueStatement(StatementState& statement, const AttemptResult& result,
                                       TimePoint now) {
  if (result.closed) statement.isOpen = false;
  if (result.outcome == AttemptOutcome::notServedHere) ++statement.misses;
  if (!statement.isOpen) return;
  if (result.outcome == AttemptOutcome::error || result.outcome == AttemptOutcome::overloaded) {
    auto retries = static_cast<double>(statement.attempts.size() - 1);
    statement.notBefore = now + settings_.tick * retries;
  }
  if (!statement.isOutstanding()) admission_.enqueue(statement);
}

void DecisionEngine::onClientClosed(int id) {
  statements_[id].isOpen = false;
}

// ---- time ----

void DecisionEngine::onWake() {
  wakeAt_ = kNever;
}

// Times read before and after the step are not comparable: either reading may be wrong, and mixed
// they would make a stale read appear fresh (test: clockSteps). Positions therefore count as the
// older of both readings, and the positions that open reads require as the later.
void DecisionEngine::onClockStepped(Duration ahead) {
  Duration older = std::max(ahead, Duration{});
  Duration later = older - ahead;
  stores_.freshness.onClockStepped(ahead);
  stores_.slowStart.onClockStepped(ahead);
  stores_.clockSkew.onClockStepped(ahead);
  probes_.onClockStepped(older);
  for (int id : openStatements_) {
    StatementState& statement = statements_[id];
    if (statement.requiredPosition > kNever)
      statement.requiredPosition = statement.requiredPosition + later;
    if (statement.precedingRead)
      statement.precedingRead->position = statement.precedingRead->position + later;
  }
}

std::vector<SlowStartStatus> DecisionEngine::slowStarts(TimePoint now) const {
  std::vector<SlowStartStatus> cold;
  for (int store = 0; store < stores_.endpoints.size(); ++store) {
    if (stores_.endpoints.group(store) < 0) continue;
    if (auto status = stores_.slowStart.status(store, now)) cold.push_back(*status);
  }
  return cold;
}

// ---- the round ----

void DecisionEngine::measureThroughput(TimePoint now) {
  if (now - throughputMeasuredAt_ < settings_.tick * kThroughputInterval) return;
  throughputMeasuredAt_ = now;
  for (int group = 0; group < stores_.endpoints.groupCount(); ++group) {
    AvailableMembers available;
    for (int store : stores_.endpoints.members(group)) {
      if (!stores_.isUsable(store, now)) continue;
      if (stores_.slowStart.isWarm(store, now))
        available.warm += 1;
      else
        available.coldWarmths += stores_.slowStart.warmth(store, now);
    }
    stores_.throughput.advance(group, available, now);
  }
}

// The weight of a store is a measure of its size; where it isn't, a higher one must not raise its
// budget.
void DecisionEngine::refillBudget(int store, TimePoint now) {
  int group = stores_.endpoints.group(store);
  double weights = 0;
  for (int member : stores_.endpoints.members(group)) weights += stores_.endpoints.weight(member);
  double meanWeight = weights / stores_.endpoints.groupSize(group);
  double size = std::min(1.0, stores_.endpoints.weight(store) / meanWeight);
  double perMember = stores_.throughput.perMember(group);
  CompletionRates rates{.warmMember = perMember * size,
                        .group = perMember * stores_.endpoints.groupSize(group)};
  bool isPrimary = store == stores_.primaries.primary(group);
  stores_.slowStart.refill(store, rates, isPrimary, now);
}

void DecisionEngine::refreshStores(TimePoint now) {
  measureThroughput(now);
  for (int store = 0; store < stores_.endpoints.size(); ++store) {
    bool isListed = stores_.endpoints.group(store) >= 0;
    if (isListed && !stores_.slowStart.isWarm(store, now)) refillBudget(store, now);
    double faded = stores_.health.decay(store, now);
    stores_.limits.recover(store, faded, now);
  }
}

// The idle connections of hundreds of proxies fill the connection tables of stores that accept few.
// One store that refuses connections doesn't close those to all stores: while a zone is
// unreachable, each statement would need a new connection.
void DecisionEngine::releaseIdleConnections(const Round& round) {
  for (int store : endedAttemptStores_) {
    bool isIdle = stores_.limits.outstanding(store) == 0;
    if (isIdle && stores_.health.hasConnectionShortage(store, round.now)) round.sink.release(store);
  }
  endedAttemptStores_.clear();
}

void DecisionEngine::scheduleWake(const Round& round) {
  if (wakeAt_ > round.now) return;
  Duration period = settings_.tick * (openStatements_.empty() ? kIdleWakePeriod : kBusyWakePeriod);
  wakeAt_ = round.now + period;
  round.sink.wake(period);
}

void DecisionEngine::decide(TimePoint now, DecisionSink& sink) {
  Round round{now, sink};
  int groups = stores_.endpoints.groupCount();
  if (stores_.endpoints.beginPollIfDue(now)) sink.pollEndpoints();
  refreshStores(now);
  releaseIdleConnections(round);
  retries_.supervise(openStatements_, statements_, round);
  if (settings_.mayProbe)
    for (int group = 0; group < groups; ++group)
      probes_.schedule(group, admission_.waiting(group), statements_, selection_, random_, round);
  for (int group = 0; group < groups; ++group) {
    admission_.dispatch(group, selection_, retries_, actions_, round);
    admission_.shed(group, retries_, actions_, round);
  }
  std::erase_if(openStatements_, [&](int id) { return !statements_[id].isOpen; });
  scheduleWake(round);
}

}  // namespace reedchute
