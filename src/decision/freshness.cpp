#include "decision/freshness.h"

#include <algorithm>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

// Fraction of the staleness bound below which a drained replica is readmitted. It must exceed the
// age that a report has when it arrives, or few replicas would be readmitted.
constexpr double kReadmitBelow = 0.92;
constexpr double kLimitCutLag = 0.25;  // fraction of the bound: more lag cuts the limit
constexpr std::size_t kMaxSessions = 100'000;
constexpr Duration kStatedPositionStep{1000};  // stores round the positions in responses down to it

}  // namespace

Freshness::Freshness(const EngineSettings& settings, Duration smallestBound)
    : settings_(settings), readmitBelow_(smallestBound * kReadmitBelow) {}

void Freshness::reset(int store, TimePoint now) {
  std::size_t workloads = settings_.workloads.size();
  assignAt(position_, store, kNever);
  assignAt(learnedAt_, store, kNever);
  assignAt(restartedAt_, store, kNever);
  assignAt(sameProcessSince_, store, now);
  assignAt(drained_, store, std::vector<char>(workloads, 1));
  assignAt(readmittedAt_, store, std::vector<TimePoint>(workloads, kNever));
}

void Freshness::onRestarted(int store, TimePoint now) {
  position_[store] = kNever;
  restartedAt_[store] = now;
  sameProcessSince_[store] = now;
  std::fill(drained_[store].begin(), drained_[store].end(), char{1});
}

// A process never returns to older data, so a response that states an older position than was known
// when its request was sent comes from a process that was started from an older copy. Reports may
// be older than a known position, and stated positions are rounded. A round learns from responses
// before it sends requests, so what both did at the same time was known to the request.
bool Freshness::showsOlderProcess(int store, const PositionReport& report) const {
  Duration margin = kStatedPositionStep + settings_.tick;
  return report.isOfResponse && report.requestedAt >= learnedAt_[store] &&
         report.position + margin < position_[store];
}

// Reads compete with the replica's thread that applies the log, so sending fewer of them lets a
// lagging replica catch up.
bool Freshness::onPosition(int store, const PositionReport& report, Duration reportAge,
                           TimePoint now) {
  TimePoint position = report.position;
  if (report.requestedAt < restartedAt_[store]) return false;
  if (showsOlderProcess(store, report)) onRestarted(store, report.requestedAt);
  if (position < position_[store]) return false;
  position_[store] = position;
  learnedAt_[store] = now;
  Duration lag = now - position;
  bool fallsBehind = false;
  for (std::size_t index = 0; index < settings_.workloads.size(); ++index) {
    const Workload& workload = settings_.workloads[index];
    if (workload.level != Level::bounded) continue;
    Duration bound = workload.stalenessBound;
    if (lag < bound && lag - reportAge >= bound * kLimitCutLag) fallsBehind = true;
    if (lag >= bound) {
      drained_[store][index] = 1;
    } else if (drained_[store][index] && lag < bound * kReadmitBelow) {
      drained_[store][index] = 0;
      readmittedAt_[store][index] = now;
    }
  }
  return fallsBehind;
}

bool Freshness::isDrainedForAllBounds(int store) const {
  for (std::size_t index = 0; index < settings_.workloads.size(); ++index)
    if (settings_.workloads[index].level == Level::bounded && !drained_[store][index]) return false;
  return true;
}

bool Freshness::isFreshEnough(int store, const StatementState& statement, TimePoint now) const {
  return meetsLevel(store, statement, now) && hasReachedPrecedingRead(store, statement);
}

// A process never returns to older data, so the one that answered the preceding read needs no
// margin. Any other must be past the position's rounding. A clock step of less than a tick goes
// unnoticed and may have moved either position.
bool Freshness::hasReachedPrecedingRead(int store, const StatementState& statement) const {
  if (!statement.precedingRead) return true;
  const PrecedingRead& read = *statement.precedingRead;
  bool hasAnswered = store == read.store && sameProcessSince_[store] < read.position;
  TimePoint required = hasAnswered ? read.position - settings_.tick
                                   : read.position + kStatedPositionStep + settings_.tick;
  return position_[store] >= required;
}

bool Freshness::reliesOnKnownFreshness(const StatementState& statement) const {
  Level level = settings_.workloads[statement.workload].level;
  if (level == Level::write) return false;
  if (statement.precedingRead) return true;
  return level != Level::any && !settings_.storesRejectStaleReads;
}

bool Freshness::meetsLevel(int store, const StatementState& statement, TimePoint now) const {
  const Workload& workload = settings_.workloads[statement.workload];
  switch (workload.level) {
    case Level::any:
      return true;
    case Level::write:
      return false;
    case Level::bounded: {
      if (isDrained(store, statement.workload)) return false;
      // A store that rejects stale reads itself needs no known position.
      if (settings_.storesRejectStaleReads) return true;
      Duration ageWhenSent = now + settings_.tick - position_[store];
      return ageWhenSent < workload.stalenessBound;
    }
    default:
      return position_[store] >= statement.requiredPosition;
  }
}

TimePoint Freshness::requiredPosition(const Arrival& arrival, TimePoint now) const {
  Level level = settings_.workloads[arrival.workload].level;
  if (level == Level::fresh) return now;
  if (level != Level::session) return kNever;
  TimePoint carried = kNever;
  if (arrival.sinceWrite) carried = now - *arrival.sinceWrite + settings_.tick;
  if (settings_.readsCarrySessionToken) return carried;
  auto entry = lastCommits_.find(arrival.session);
  TimePoint kept = entry == lastCommits_.end() ? commitFloor_ : entry->second;
  return std::max(carried, kept);
}

// Without a cap the map would grow for as long as the proxy runs. At kMaxSessions it is cleared,
// and every session counts as having last written at the latest commit in it.
void Freshness::onCommit(std::uint64_t session, TimePoint position) {
  if (lastCommits_.size() >= kMaxSessions) {
    for (const auto& entry : lastCommits_) commitFloor_ = std::max(commitFloor_, entry.second);
    lastCommits_.clear();
  }
  TimePoint& last = lastCommits_.try_emplace(session, commitFloor_).first->second;
  last = std::max(last, position);
}

void Freshness::onClockStepped(Duration ahead) {
  Duration aged = std::max(ahead, Duration{});
  for (TimePoint& position : position_)
    if (position > kNever) position = position - aged;
  for (auto& entry : lastCommits_) entry.second = entry.second - ahead;
  if (commitFloor_ > kNever) commitFloor_ = commitFloor_ - ahead;
}

}  // namespace reedchute
