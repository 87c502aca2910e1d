// Decides what of the log is exported next, and what a collector's word means. No I/O. A batch is a
// run of records by their sequence numbers; it is written down before it is sent, so whoever sends
// it again sends the same.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace reedchute::ledger {

struct BatchPlan {
  std::uint64_t number = 0, first = 0, last = 0;
  std::string digest;
  auto operator<=>(const BatchPlan&) const = default;
};

// What the collector holds of one ledger: its newest batch.
struct Watermark {
  std::uint64_t epoch = 0;   // of the exporter that it takes batches from
  std::uint64_t number = 0;  // 0: none yet
  std::uint64_t last = 0;
  std::string digest;
};

class Exports {
 public:
  enum class Do {
    nothing,  // all that there is was confirmed
    plan,     // write down the batch `next`, then send it
    send,     // send `next`, which is written down
    confirm,  // write down that `next` was confirmed
    rewind,  // the collector is behind what it has confirmed: send `next` again, from the log as it
             // was planned
    conflict,  // the two can't both be right: stop, and call an operator
    fenced,    // another exporter has taken over
  };
  struct Step {
    Do what = Do::nothing;
    BatchPlan next;
    const char* why = "";
  };

  // From the log: the newest batch that was confirmed and the one that was planned after it, if
  // any.
  void resume(std::optional<BatchPlan> confirmed, std::optional<BatchPlan> planned);

  // `durable`: the last record that would survive the machine's death; nothing beyond it is
  // exported. `at`: what a collector answered last, with the epoch that this exporter was given.
  Step next(std::uint64_t durable, std::uint64_t mostRecords, const Watermark& at,
            std::uint64_t epoch) const;

  void planned(const BatchPlan& b) { planned_ = b; }
  void confirmed(const BatchPlan& b);
  std::uint64_t confirmedTo() const { return confirmed_ ? confirmed_->last : 0; }

 private:
  std::optional<BatchPlan> confirmed_, planned_;
};

// The collector's side, for whoever keeps a collector: takes a batch or says why not.
enum class Taking { taken, repeated, gap, fenced, differs };
Taking takes(const Watermark& at, std::uint64_t epoch, const BatchPlan& b);

}  // namespace reedchute::ledger
