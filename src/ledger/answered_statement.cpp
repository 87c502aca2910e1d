#include "ledger/answered_statement.h"

namespace reedchute::ledger {

wire::Use toUse(const AnsweredStatement& statement) {
  wire::Use use;
  use.set_tenant(statement.tenant);
  use.set_workload(statement.workload);
  use.set_group(statement.group);
  use.set_outcome(static_cast<std::uint32_t>(statement.outcome));
  use.set_bytes_in(statement.bytesIn);
  use.set_bytes_out(statement.bytesOut);
  use.set_attempts(statement.attempts);
  use.set_idempotency_key(statement.idempotencyKey);
  use.set_deduplication_window_ms(
      static_cast<std::uint32_t>(statement.deduplicationWindow.us / 1000));
  use.set_protocol(statement.protocol);
  return use;
}

std::string encodeEntry(const AnsweredStatement& statement) {
  wire::Record record;
  *record.mutable_use() = toUse(statement);
  record.set_at_us(statement.at.us);
  record.set_period_s(statement.period.beginsS);
  return record.SerializeAsString();
}

std::optional<AnsweredStatement> decodeEntry(std::string_view bytes) {
  wire::Record record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !record.has_use())
    return std::nullopt;
  const wire::Use& use = record.use();
  return AnsweredStatement{
      .tenant = use.tenant(),
      .workload = use.workload(),
      .group = use.group(),
      .outcome = static_cast<Outcome>(use.outcome()),
      .bytesIn = use.bytes_in(),
      .bytesOut = use.bytes_out(),
      .idempotencyKey = use.idempotency_key(),
      .attempts = use.attempts(),
      .protocol = use.protocol(),
      .deduplicationWindow = Duration{std::int64_t{use.deduplication_window_ms()} * 1000},
      .at = TimePoint{record.at_us()},
      .period = Period{record.period_s()}};
}

}  // namespace reedchute::ledger
