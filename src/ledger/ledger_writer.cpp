#include "ledger/ledger_writer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

#include "ledger/notice.h"

namespace reedchute::ledger {
namespace {

constexpr std::size_t kMaxPendingBytes = 1 << 20;  // further entries stay in the ring
constexpr std::size_t kMaxEntriesAtOnce = 4096;

wire::Record makeNotice(NoticeKind kind) {
  wire::Record record;
  record.mutable_notice()->set_kind(static_cast<std::uint32_t>(kind));
  return record;
}

bool isComplete(const wire::Correction& correction) {
  return !correction.id().empty() && !correction.tenant().empty() && !correction.reason().empty() &&
         !correction.by().empty();
}

bool signaturesMatch(const std::string& expected, const std::string& given) {
  return expected.size() == given.size() &&
         CRYPTO_memcmp(expected.data(), given.data(), expected.size()) == 0;
}

}  // namespace

LedgerWriter::LedgerWriter(Files& files, Options options)
    : options_(std::move(options)),
      log_(files, options_.log),
      billedKeys_(options_.maxBilledKeys),
      periods_(options_.periodLength, Duration{}, options_.grace),
      birth_(options_.birth) {}

std::vector<Period> LedgerWriter::unsealed() const {
  std::vector<Period> periods;
  for (const auto& [period, seal] : unsealed_) periods.push_back(period);
  return periods;
}

TimePoint LedgerWriter::monotonicTime(TimePoint now) const {
  return std::max(now, newestTime_);
}

// ---- state restored from records ----

void LedgerWriter::apply(const wire::Record& record) {
  newestTime_ = std::max(newestTime_, TimePoint{record.at_us()});
  newestEntryIndex_ = std::max<std::uint64_t>(newestEntryIndex_, record.source());
  totals_.add(record);
  Period period{record.period_s()};
  if (record.has_use() || record.has_correction()) countForSeal(record, period);
  if (record.has_use() && record.use().billed())
    billedKeys_.addKey(record.use().idempotency_key(),
                       Duration{std::int64_t{record.use().deduplication_window_ms()} * 1000},
                       TimePoint{record.at_us()});
  if (record.has_opened()) birth_ = record.opened().birth();
  if (record.has_seal()) applySeal(period);
  if (record.has_batch()) applyBatch(record.batch());
}

void LedgerWriter::countForSeal(const wire::Record& record, Period period) {
  // A correction may belong to a period that is sealed already; the seal doesn't count it.
  if (lastSealed_ && period <= *lastSealed_) return;
  periods_.onEntry(period);
  wire::Seal& seal = unsealed_[period];
  if (seal.first() == 0) seal.set_first(record.seq());
  seal.set_last(record.seq());
  if (record.has_use() && record.use().billed()) seal.set_billed(seal.billed() + 1);
}

void LedgerWriter::applySeal(Period period) {
  periods_.onSealed(period);
  unsealed_.erase(period);
  lastSealed_ = lastSealed_ ? std::max(*lastSealed_, period) : period;
}

void LedgerWriter::applyBatch(const wire::Batch& batch) {
  BatchPlan plan{batch.number(), batch.first(), batch.last(), batch.digest()};
  (batch.confirmed() ? confirmed_ : planned_) = plan;
}

// ---- opening ----

std::vector<Finding> LedgerWriter::open(TimePoint now) {
  bool isNew = true;
  std::vector<Finding> findings = log_.open([&](const wire::Record& record) {
    isNew = false;
    apply(record);
  });
  if (!log_.isOpen()) return findings;
  exports_.resume(confirmed_, planned_);
  lastReadIndex_ = newestEntryIndex_;
  appendOpenRecord(findings, isNew, now);
  log_.write();
  return findings;
}

void LedgerWriter::appendOpenRecord(const std::vector<Finding>& findings, bool isNew,
                                    TimePoint now) {
  wire::Record record;
  if (isNew) {
    record.mutable_opened()->set_birth(birth_);
    record.mutable_opened()->set_instance(options_.instance);
  } else if (findings.empty()) {
    record = makeNotice(NoticeKind::restarted);
  } else {
    const Finding& finding = findings.front();
    record = makeNotice(NoticeKind::tornTailTruncated);
    record.mutable_notice()->set_text(finding.segment + " at byte " + std::to_string(finding.at));
  }
  appendNow(record, now);
}

// ---- writing ----

void LedgerWriter::append(wire::Record& record, TimePoint at, Period period) {
  record.set_at_us(at.us);
  record.set_period_s(period.beginsS);
  log_.append(record);
  apply(record);
}

void LedgerWriter::appendNow(wire::Record& record, TimePoint now) {
  TimePoint at = monotonicTime(now);
  append(record, at, periodAt(options_.periodLength, at));
}

void LedgerWriter::appendEntry(const EntryRing::Entry& entry) {
  std::optional<AnsweredStatement> statement = decodeEntry(entry.bytes);
  if (!statement) return;
  wire::Record record;
  wire::Use* use = record.mutable_use();
  *use = toUse(*statement);
  use->set_billed(billedKeys_.bill(statement->outcome, statement->idempotencyKey,
                                   statement->deduplicationWindow, statement->at));
  record.set_source(entry.index);
  append(record, statement->at, statement->period);
}

void LedgerWriter::appendLossNotice(std::uint64_t lost, TimePoint now) {
  wire::Record record = makeNotice(NoticeKind::entriesLost);
  record.mutable_notice()->set_count(lost - recordedLost_);
  record.mutable_notice()->set_text("the ring was full");
  recordedLost_ = lost;
  appendNow(record, now);
}

void LedgerWriter::drain(EntryRing& ring, std::uint64_t lost, TimePoint now) {
  // Skips released entries, and those that were written to the log but not released because the
  // process ended in between (see open()); they would be counted twice.
  lastReadIndex_ = std::max(lastReadIndex_, ring.releasedIndex());
  // While the disk accepts no writes, further entries stay in the ring, so that memory is bounded.
  for (std::size_t count = 0; count < kMaxEntriesAtOnce && log_.pendingBytes() < kMaxPendingBytes;
       ++count) {
    std::optional<EntryRing::Entry> entry = ring.next(lastReadIndex_);
    if (!entry) break;
    lastReadIndex_ = entry->index;
    appendEntry(*entry);
  }
  if (lost > recordedLost_) appendLossNotice(lost, now);
  // Seals only once the ring is read completely: a remaining entry may belong to a period that is
  // due.
  if (!ring.next(lastReadIndex_)) sealDuePeriods(now);
  log_.write();
  ring.release(lastReadIndex_);
}

void LedgerWriter::sealDuePeriods(TimePoint now) {
  while (std::optional<Period> period = periods_.nextPeriodToSeal(now)) {
    wire::Record record;
    *record.mutable_seal() = unsealed_[*period];
    append(record, monotonicTime(now), *period);
  }
}

// ---- corrections ----

std::string LedgerWriter::signatureOf(const wire::Correction& correction, Period period,
                                      const std::string& key) {
  wire::Correction unsignedCorrection = correction;
  unsignedCorrection.clear_signature();
  std::string text = std::to_string(period.beginsS) + "\n" + unsignedCorrection.SerializeAsString();
  unsigned char signature[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), signature, &size);
  return {reinterpret_cast<char*>(signature), size};
}

CorrectionResult LedgerWriter::correct(const wire::Correction& correction, Period period,
                                       TimePoint now) {
  const std::string& key = options_.correctionKey;
  if (!isComplete(correction) || key.empty()) return CorrectionResult::refused;
  if (!signaturesMatch(signatureOf(correction, period, key), correction.signature()))
    return CorrectionResult::refused;
  if (totals_.hasCorrection(correction.id())) return CorrectionResult::duplicate;
  wire::Record record;
  *record.mutable_correction() = correction;
  append(record, monotonicTime(now), period);
  log_.write();
  return CorrectionResult::accepted;
}

// ---- exports ----

void LedgerWriter::writePlanned(const BatchPlan& batch, TimePoint now) {
  writeBatch(batch, false, now);
  exports_.onPlanned(batch);
}

void LedgerWriter::writeConfirmed(const BatchPlan& batch, TimePoint now) {
  writeBatch(batch, true, now);
  exports_.onConfirmed(batch);
}

// Syncs immediately: if the plan of a sent batch were lost, the next batch would cover a different
// range of records.
void LedgerWriter::writeBatch(const BatchPlan& batch, bool isConfirmed, TimePoint now) {
  wire::Record record;
  wire::Batch* to = record.mutable_batch();
  to->set_number(batch.number);
  to->set_first(batch.first);
  to->set_last(batch.last);
  to->set_digest(batch.digest);
  to->set_confirmed(isConfirmed);
  appendNow(record, now);
  log_.write();
  log_.sync();
}

}  // namespace reedchute::ledger
