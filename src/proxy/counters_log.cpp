#include "proxy/counters_log.h"

#include <cstdint>
#include <string>

#include "invariants/violations.h"
#include "log/log.h"

namespace reedchute::proxy {
namespace {

// Builds the fields of a log line, leaving out counters that are 0.
class NonZeroFields {
 public:
  void add(const char* prefix, const char* name, std::uint64_t count) {
    if (count == 0) return;
    if (!text_.empty()) text_ += ' ';
    text_.append(prefix).append(name).append("=").append(std::to_string(count));
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace

std::size_t sessionCount(const ClientGroups& clients) {
  std::size_t total = 0;
  for (const auto& group : clients) total += group->sessionCount();
  return total;
}

void CountersLog::write() const {
  writeTotals();
  writeCauses();
  std::size_t pending = sources_.statements.openCount();
  for (const auto& group : sources_.clients) pending += group->responsesBeingWritten();
  writeMissingResponses(pending);
}

void CountersLog::writeFinal() const {
  writeTotals();
  writeCauses();
  writeMissingResponses(0);
}

void CountersLog::writeTotals() const {
  const request::RequestCounters& requests = sources_.requests;
  const pipeline::Responder::ResponseCounts& responses = sources_.responder.counts();
  log::line(
      "counters",
      "taken=%llu open=%zu sessions=%zu store_connections=%zu stores=%zu gone=%zu completed=%llu "
      "rejected=%llu "
      "aborted=%llu executions=%llu probes=%llu connects=%llu answered=%llu client_gone=%llu "
      "late=%llu cold_allowed=%.2f cold_sent=%.2f",
      log::printable(requests.received), sources_.statements.openCount(),
      sessionCount(sources_.clients), sources_.pools.connectionCount(), sources_.ids.stores.size(),
      sources_.endpoints.absentCount(), log::printable(responses.completed),
      log::printable(responses.rejected), log::printable(responses.aborted),
      log::printable(sources_.dispatcher.attemptCount()),
      log::printable(sources_.dispatcher.probeCount()),
      log::printable(sources_.pools.openedCount()), log::printable(requests.answered),
      log::printable(requests.clientGone), log::printable(requests.answeredLate),
      sources_.slowStarts.allowed(), sources_.slowStarts.sent());
}

// Logs how many client connections were closed and attempts refused, by reason, and how many
// violations there were of each invariant.
void CountersLog::writeCauses() const {
  NonZeroFields fields;
  for (int k = 1; k < static_cast<int>(client::CloseReason::count); ++k) {
    auto reason = static_cast<client::CloseReason>(k);
    std::uint64_t total = 0;
    for (const auto& group : sources_.clients) total += group->closedCount(reason);
    fields.add("ended_", client::nameOf(reason), total);
  }
  for (int k = 1; k < static_cast<int>(invariants::Refusal::count); ++k) {
    auto refusal = static_cast<invariants::Refusal>(k);
    fields.add("attempt_", invariants::nameOf(refusal), sources_.attempts.refusedCount(refusal));
  }
  for (int k = 0; k < static_cast<int>(invariants::Rule::count); ++k) {
    auto rule = static_cast<invariants::Rule>(k);
    fields.add("violated_", invariants::nameOf(rule), invariants::violationCount(rule));
  }
  if (!fields.text().empty()) log::line("close_counters", "%s", fields.text().c_str());
}

void CountersLog::writeMissingResponses(std::size_t pending) const {
  const request::RequestCounters& requests = sources_.requests;
  auto missing = static_cast<long long>(requests.missing(pending));
  if (missing == 0) return;
  log::line("responses_missing",
            "statements=%lld taken=%llu answered=%llu client_gone=%llu owed=%zu", missing,
            log::printable(requests.received), log::printable(requests.answered),
            log::printable(requests.clientGone), pending);
}

}  // namespace reedchute::proxy
