// The rules for what may be written to a store: first attempts, retries and hedged attempts alike.
// The guard is called right before the first byte is written. It decides by what was written before
// and how that ended, independent of the decision engine. No I/O, no clock.
#pragma once

#include <vector>

#include "config/engine_settings.h"
#include "decision/engine.h"

namespace reedchute::invariants {

// An earlier attempt of the same statement.
struct EarlierAttempt {
  int store = -1;
  TimePoint sentAt = kNever;  // when its first byte was written; kNever: not written
  bool mayHaveRun = true;     // as far as is known by now
};

// The attempt that is about to be written.
struct AttemptToSend {
  int workload = -1;
  int store = -1;
  bool isOpen = false;  // the statement has no final response yet
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
  storeDraining,            // the store is draining, and its drain grace is over
  mayHaveRun,               // an earlier attempt of a non-idempotent statement may have run
  deduplicationWindowOver,  // an earlier attempt may have run, and stores may have dropped its key
  outOfDeduplicationScope,  // an earlier attempt may have run at a store that shares no keys
  count
};
// The value in log lines and counters.
const char* nameOf(Refusal refusal);

// True if this outcome proves that an attempt that was written has not run.
bool provesNothingRan(AttemptOutcome outcome);

class AttemptGuard {
 public:
  // The longest pause of the process that is allowed for between reading the clock and writing.
  static constexpr Duration kMaxStall{150'000};

  explicit AttemptGuard(const EngineSettings& settings) : settings_(settings) {}

  // Updates a store from the endpoint list. A drain begins when it is first listed, and ends when
  // the store is listed as up.
  void onEndpointListed(int store, int group, int zone, EndpointStatus status, TimePoint now);
  // A full endpoint list doesn't contain the store.
  void onEndpointDropped(int store, TimePoint now);
  // Drops the state of the store, whose index may be reused for another store from now on.
  void forget(int store);

  // Why the attempt may not be sent now. `earlier` holds the attempts of its statement, of which
  // those that were not written don't count.
  Refusal refusalToSend(const AttemptToSend& attempt, const std::vector<EarlierAttempt>& earlier,
                        TimePoint now) const;
  // The same, but checks only whether the attempt could repeat the effect of an earlier one.
  Refusal refusalToRetry(const AttemptToSend& attempt, const std::vector<EarlierAttempt>& earlier,
                         TimePoint now) const;
  // True if the store has been draining for `grace` or longer.
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
