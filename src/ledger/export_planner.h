// Decides which part of the log is exported next, and how to proceed after a collector's answer.
// Performs no I/O. A batch is a range of records by sequence number. Its plan is written to the log
// before it is sent, so that every later attempt sends the same batch.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace reedchute::ledger {

struct BatchPlan {
  std::uint64_t number = 0;
  std::uint64_t first = 0;  // sequence number of the first record
  std::uint64_t last = 0;
  std::string digest;
  auto operator<=>(const BatchPlan&) const = default;
};

// The newest batch of one ledger that a collector holds.
struct Watermark {
  std::uint64_t epoch = 0;   // of the exporter whose batches it accepts
  std::uint64_t number = 0;  // 0: none yet
  std::uint64_t last = 0;
  std::string digest;
};

class ExportPlanner {
 public:
  enum class Action {
    nothing,   // every durable record was confirmed
    plan,      // write the batch's plan to the log, then send it
    send,      // send the batch, whose plan is in the log
    confirm,   // write to the log that the batch was confirmed
    rewind,    // the collector lost confirmed batches: send this batch again as it was planned
    conflict,  // ledger and collector contradict each other: stop and alert an operator
    fenced,    // another exporter has taken over
  };
  struct Step {
    Action action = Action::nothing;
    BatchPlan batch;
    const char* reason = "";
  };

  // Restores the state from the log: the newest confirmed batch, and the one planned after it, if
  // any.
  void resume(std::optional<BatchPlan> confirmed, std::optional<BatchPlan> planned);

  // Returns the next step. `durable`: the newest record that survives a crash of the machine; no
  // record after it is exported. `collector`: its last answer. `epoch`: the epoch assigned to this
  // exporter.
  Step next(std::uint64_t durable, std::uint64_t maxRecords, const Watermark& collector,
            std::uint64_t epoch) const;

  void onPlanned(const BatchPlan& batch) { planned_ = batch; }
  void onConfirmed(const BatchPlan& batch);
  std::uint64_t lastConfirmedRecord() const { return confirmed_ ? confirmed_->last : 0; }

 private:
  Step nextBatch(std::uint64_t durable, std::uint64_t maxRecords, const Watermark& collector) const;
  Step resolveUnconfirmed(const Watermark& collector) const;

  std::optional<BatchPlan> confirmed_;
  std::optional<BatchPlan> planned_;
};

// The collector's decision on a received batch, given the newest batch that it holds.
enum class BatchVerdict { accepted, duplicate, gap, fenced, conflicting };
BatchVerdict classifyBatch(const Watermark& watermark, std::uint64_t epoch, const BatchPlan& batch);

}  // namespace reedchute::ledger
