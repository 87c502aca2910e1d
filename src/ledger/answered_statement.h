// The billing data of a statement's final answer, which the proxy passes to the ledger, and its
// encoding in the entry ring.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "ledger/billed_keys.h"
#include "ledger/billing_periods.h"
#include "ledger/ledger.pb.h"

namespace reedchute::ledger {

struct AnsweredStatement {
  std::string tenant;
  std::string workload;
  std::int64_t group = 0;
  Outcome outcome = Outcome::none;
  std::uint64_t bytesIn = 0;
  std::uint64_t bytesOut = 0;
  std::uint64_t idempotencyKey = 0;  // 0: none
  std::uint32_t attempts = 0;
  std::uint32_t protocol = 0;
  Duration deduplicationWindow;
  TimePoint at;  // of the final answer, in the ledger's time (see BillingPeriods)
  Period period;
};

// Encodes the statement as a wire::Record.
std::string encodeEntry(const AnsweredStatement& statement);
// Returns nullopt if `bytes` isn't a valid encoding of a statement.
std::optional<AnsweredStatement> decodeEntry(std::string_view bytes);
// Returns the log record's `use` with all fields set but `billed`.
wire::Use toUse(const AnsweredStatement& statement);

}  // namespace reedchute::ledger
