// Decides which part of the log is exported next, and what a collector's answer means. No I/O. A
// batch is a run of records by their sequence numbers; its plan is written to the log before it is
// sent, so whoever sends it again sends the same.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace reedchute::ledger {

struct BatchPlan {
  std::uint64_t number = 0;
  std::uint64_t first = 0;  // record
  std::uint64_t last = 0;
  std::string digest;
  auto operator<=>(const BatchPlan&) const = default;
};

// The newest batch of one ledger that a collector holds.
struct Watermark {
  std::uint64_t epoch = 0;   // of the exporter that it takes batches from
  std::uint64_t number = 0;  // 0: none yet
  std::uint64_t last = 0;
  std::string digest;
};

class ExportPlanner {
 public:
  enum class Action {
    nothing,   // everything was confirmed
    plan,      // write down the batch, then send it
    send,      // send the batch, which is written down
    confirm,   // write down that the batch was confirmed
    rewind,    // the collector lost what it had confirmed: send the batch again, as it was planned
    conflict,  // the two can't both be right: stop, and call an operator
    fenced,    // another exporter has taken over
  };
  struct Step {
    Action action = Action::nothing;
    BatchPlan batch;
    const char* reason = "";
  };

  // From the log: the newest batch that was confirmed, and the one planned after it, if any.
  void resume(std::optional<BatchPlan> confirmed, std::optional<BatchPlan> planned);

  // `durable`: the newest record that survives the machine's death; nothing beyond it is exported.
  // `collector`: its last answer. `epoch`: that this exporter was given.
  Step next(std::uint64_t durable, std::uint64_t maxRecords, const Watermark& collector,
            std::uint64_t epoch) const;

  void onPlanned(const BatchPlan& batch) { planned_ = batch; }
  void onConfirmed(const BatchPlan& batch);
  std::uint64_t lastConfirmedRecord() const { return confirmed_ ? confirmed_->last : 0; }

 private:
  Step nextBatch(std::uint64_t durable, std::uint64_t maxRecords, const Watermark& collector) const;
  Step judgeUnconfirmed(const Watermark& collector) const;

  std::optional<BatchPlan> confirmed_;
  std::optional<BatchPlan> planned_;
};

// The collector's side: what it does with a batch, given what it holds.
enum class BatchVerdict { accepted, duplicate, gap, fenced, conflicting };
BatchVerdict judgeBatch(const Watermark& held, std::uint64_t epoch, const BatchPlan& batch);

}  // namespace reedchute::ledger
