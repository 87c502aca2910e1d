// The rules for what may be written to a store: first attempts, retries and hedged attempts alike.
// Asked right before the first byte is written, it judges by what was written before and how that
// ended, not by what was decided. No I/O, no clock.
#pragma once

#include <vector>

#include "config/engine_settings.h"
#include "decision/engine.h"

namespace reedchute::invariants {

// An earlier attempt of the same statement.
struct EarlierAttempt {
  int store = -1;
  TimePoint sentAt = kNever;  // when its first byte was written; kNever: it wasn't
  bool mayHaveRun = true;     // as far as is known by now
};

// The attempt that is about to be written.
struct AttemptToSend {
  int workload = -1;
  int store = -1;
  bool isOpen = false;  // its client still awaits the final response
  bool isClientGone = false;
  bool isCancelled = false;
  TimePoint deadline;
  TimePoint sendBy;
};

// Why an attempt may not be written.
enum class Refusal {
  none,
  statementClosed,
  clientGone,
  cancelled,
  deadlinePassed,
  sendByPassed,
  storeDraining,            // and its drain grace is over
  mayHaveRun,               // an earlier attempt, of a statement that must not run twice
  deduplicationWindowOver,  // an earlier attempt may have run, and its key may be forgotten
  outOfDeduplicationScope,  // an earlier attempt may have run where this store can't know its key
  count
};
// As the log words it.
const char* nameOf(Refusal refusal);

// Does this outcome prove that an attempt that was written has not run?
bool provesNothingRan(AttemptOutcome outcome);

class AttemptGuard {
 public:
  // For how long the process may stand still between reading the clock and writing.
  static constexpr Duration kMaxStall{150'000};

  explicit AttemptGuard(const EngineSettings& settings) : settings_(settings) {}

  // What the endpoint list states of a store. A drain lasts from the first time that it is stated.
  void onEndpointListed(int store, int group, int zone, EndpointStatus status, TimePoint now);
  // A full endpoint list leaves the store out.
  void onEndpointDropped(int store, TimePoint now);
  // The store's index may be another store's from now on.
  void forget(int store);

  Refusal refusalToSend(const AttemptToSend& attempt, const std::vector<EarlierAttempt>& earlier,
                        TimePoint now) const;
  // Judges only whether the attempt could repeat the effect of an earlier one.
  Refusal refusalToRetry(const AttemptToSend& attempt, const std::vector<EarlierAttempt>& earlier,
                         TimePoint now) const;
  bool isPastDrainGrace(int store, Duration grace, TimePoint now) const;

 private:
  struct Store {
    int group = -1;
    int zone = -1;
    TimePoint drainingSince = kForever;
  };

  const Store& at(int store) const;
  bool sharesKeys(Scope scope, int store, int earlierStore) const;

  const EngineSettings& settings_;
  std::vector<Store> stores_;
};

}  // namespace reedchute::invariants
