// The ledger of one front: takes entries from the ring, decides what each is, and brings them to
// the log. Calls the disk, so it runs beside the front's thread; what it does at which moment is
// told by its caller.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ledger/billed_keys.h"
#include "ledger/exports.h"
#include "ledger/log.h"
#include "ledger/periods.h"
#include "ledger/ring.h"
#include "ledger/usage_totals.h"

namespace reedchute::ledger {

// What a statement's final answer was, as the front puts it into the ring.
struct Answered {
  std::string tenant, workload;
  std::int64_t group = 0;
  Outcome outcome = Outcome::none;
  std::uint64_t bytesIn = 0, bytesOut = 0, mark = 0;
  std::uint32_t executions = 0, protocol = 0;
  Duration window;  // of its mark
  TimePoint at;     // the ledger's time
  Period period;
};

std::string toBytes(const Answered& a);
std::optional<Answered> fromBytes(std::string_view bytes);

class LedgerWriter {
 public:
  struct Shape {
    std::string instance, birth;  // `birth`: random, for a ledger that begins
    Log::Shape log;
    Every every = Every::month;
    Duration grace{60'000'000};   // between a period's end and its seal
    std::size_t marks = 1 << 20;  // remembered at once
    std::string correctionKey;    // of who may correct; empty: nobody may
  };

  LedgerWriter(Files& files, Shape shape);

  // Reads the log. Empty: it is open; otherwise what is wrong, and it stays closed but for a torn
  // tail, which was cut off and is noted in the log.
  std::vector<Finding> open(TimePoint now);
  bool isOpen() const { return log_.isOpen(); }
  const std::string& birth() const { return birth_; }
  // Where the ring that is beside this log goes on.
  std::uint64_t nextPlace() const { return newestSource_ + 1; }
  TimePoint newestTime() const { return newestTime_; }
  std::optional<Period> lastSealed() const { return lastSealed_; }
  std::vector<Period> unsealed() const { return unsealed_; }

  // Takes what the ring has and writes it; `lost` entries found no room there since the last call.
  // What was written is let go from the ring. Throws DiskError: then nothing was lost, and it is
  // tried again.
  void drain(Ring& ring, std::uint64_t lost, TimePoint now);
  void sync() { log_.sync(); }

  enum class Corrected { taken, repeated, refused };
  Corrected correct(const wire::Correction& c, Period p, TimePoint now);
  static std::string signatureOf(const wire::Correction& c, Period p, const std::string& key);

  // For export.
  Exports& exports() { return exports_; }
  void note(const BatchPlan& b, bool confirmed, TimePoint now);
  std::uint64_t durable() const { return log_.durable(); }
  std::uint64_t written() const { return log_.written(); }

  const UsageTotals& totals() const { return totals_; }
  const BilledKeys& marks() const { return marks_; }

 private:
  void read(const wire::Record& r);
  void append(wire::Record& r, TimePoint at, Period p);
  void seal(TimePoint now);

  Shape shape_;
  Log log_;
  BilledKeys marks_;
  UsageTotals totals_;
  Exports exports_;
  Periods periods_;
  std::string birth_;
  std::uint64_t newestSource_ = 0, readTo_ = 0, lost_ = 0, forgotten_ = 0;
  TimePoint newestTime_ = kNever;
  std::optional<Period> lastSealed_;
  std::vector<Period> unsealed_;
  std::map<Period, wire::Seal> counts_;  // of the unsealed
  std::optional<BatchPlan> confirmed_, planned_;
};

}  // namespace reedchute::ledger
