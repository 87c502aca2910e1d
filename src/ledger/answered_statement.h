// What the proxy hands to the ledger of each statement's final answer, and its encoding in the
// entry ring.
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
  TimePoint at;  // the ledger's time
  Period period;
};

std::string encodeEntry(const AnsweredStatement& statement);
std::optional<AnsweredStatement> decodeEntry(std::string_view bytes);
// The record's part without `billed`.
wire::Use toUse(const AnsweredStatement& statement);

}  // namespace reedchute::ledger
