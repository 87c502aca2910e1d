#include "proxy/slow_start_log.h"

#include <algorithm>

#include "log/log.h"

namespace reedchute::proxy {
namespace {

constexpr Duration kProgressInterval{1'000'000};

const char* nameOf(StartEvidence evidence) {
  switch (evidence) {
    case StartEvidence::listed:
      return "list";
    case StartEvidence::probe:
      return "probe";
    case StartEvidence::response:
      return "response";
    default:
      return "zone";
  }
}

}  // namespace

const char* SlowStartLog::idOf(int store) const {
  return ids_.stores.id(store).c_str();
}

void SlowStartLog::write(const std::vector<SlowStartStatus>& cold, TimePoint now) {
  logEnds(cold);
  logStarts(cold, now);
  if (now - progressAt_ < kProgressInterval) return;
  progressAt_ = now;
  logProgress(cold);
}

void SlowStartLog::logStarts(const std::vector<SlowStartStatus>& cold, TimePoint now) {
  for (const SlowStartStatus& status : cold) {
    auto before = known_.find(status.store);
    bool isNew = before == known_.end() || before->second.starts != status.starts;
    if (isNew)
      log::unlimitedLine("slow_start_began", "store=%d id=%s evidence=%s age_ms=%lld", status.store,
                         idOf(status.store), nameOf(status.evidence),
                         static_cast<long long>((now - status.startedAt).us / 1000));
    known_[status.store] = status;
  }
}

void SlowStartLog::logEnds(const std::vector<SlowStartStatus>& cold) {
  std::erase_if(known_, [&](const auto& entry) {
    const SlowStartStatus& last = entry.second;
    auto now = std::lower_bound(
        cold.begin(), cold.end(), last.store,
        [](const SlowStartStatus& status, int store) { return status.store < store; });
    bool isOver = now == cold.end() || now->store != last.store;
    bool hasStartedAgain = !isOver && now->starts != last.starts;
    if (isOver || hasStartedAgain) finish(last, isOver ? "over" : "started_again");
    return isOver;
  });
}

void SlowStartLog::finish(const SlowStartStatus& status, const char* reason) {
  finished_.sent += status.sent;
  finished_.allowed += status.allowed;
  log::unlimitedLine("slow_start_ended", "store=%d reason=%s allowed=%.2f sent=%.2f", status.store,
                     reason, status.allowed, status.sent);
}

void SlowStartLog::logProgress(const std::vector<SlowStartStatus>& cold) const {
  for (const SlowStartStatus& status : cold)
    log::line("slow_start",
              "store=%d warmth=%.2f allowed_per_s=%.3f budget=%.2f allowed=%.2f sent=%.2f",
              status.store, status.warmth, status.allowedPerSecond, status.budget, status.allowed,
              status.sent);
}

double SlowStartLog::total(double SlowStartStatus::*field) const {
  double sum = finished_.*field;
  for (const auto& [store, status] : known_) sum += status.*field;
  return sum;
}

}  // namespace reedchute::proxy
