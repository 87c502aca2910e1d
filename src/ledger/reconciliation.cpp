#include "ledger/reconciliation.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "ledger/notice.h"

namespace reedchute::ledger {
namespace {

// Prefixes of correction ids. They are stored in the log.
constexpr const char* kReversal = "repeat ";
constexpr const char* kRestoration = "restore ";

bool isNotice(const wire::Record& record, NoticeKind kind) {
  return record.has_notice() && record.notice().kind() == static_cast<std::uint32_t>(kind);
}

std::string joined(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += (text.empty() ? "" : ", ") + name;
  return text;
}

}  // namespace

const char* nameOf(Reconciliation::Problem::Kind kind) {
  static constexpr const char* kNames[] = {"gap", "overlap", "two names", "clock jumped",
                                           "entries lost"};
  return kNames[static_cast<std::size_t>(kind)];
}

void Reconciliation::add(const std::string& birth, const std::string& instance,
                         const wire::Record& record) {
  Ledger& ledger = ledgers_[birth];
  ledger.instances.insert(instance);
  std::string bytes = record.SerializeAsString();
  auto [known, isNew] = ledger.records.try_emplace(record.seq(), bytes);
  if (isNew || known->second == bytes) return;
  ledger.overlaps.insert(record.seq());
  // Of two contents the smaller one counts, so that the result doesn't depend on the order of
  // calls.
  known->second = std::min(known->second, bytes);
}

template <typename Handler>
void Reconciliation::forEachRecord(Handler&& handler) const {
  for (const auto& [birth, ledger] : ledgers_)
    for (const auto& [seq, bytes] : ledger.records) {
      wire::Record record;
      record.ParseFromString(bytes);
      handler(birth, record);
    }
}

// ---- problems ----

std::vector<Reconciliation::Problem> Reconciliation::problems() const {
  std::vector<Problem> problems;
  for (const auto& [birth, ledger] : ledgers_) findProblems(birth, ledger, problems);
  std::sort(problems.begin(), problems.end());
  return problems;
}

void Reconciliation::findProblems(const std::string& birth, const Ledger& ledger,
                                  std::vector<Problem>& problems) {
  using Kind = Problem::Kind;
  if (ledger.instances.size() > 1)
    problems.push_back({Kind::multipleInstances, birth, 0, 0, joined(ledger.instances)});
  for (std::uint64_t seq : ledger.overlaps)
    problems.push_back(
        {Kind::overlap, birth, seq, seq, "two records with the same sequence number"});
  std::uint64_t previous = 0;
  std::int64_t newestUs = INT64_MIN;
  for (const auto& [seq, bytes] : ledger.records) {
    if (seq != previous + 1) problems.push_back({Kind::gap, birth, previous + 1, seq - 1, ""});
    previous = seq;
    wire::Record record;
    record.ParseFromString(bytes);
    if (record.at_us() < newestUs)
      problems.push_back({Kind::clockJumped, birth, seq, seq, "earlier than the record before it"});
    newestUs = std::max<std::int64_t>(newestUs, record.at_us());
    const wire::Notice& notice = record.notice();
    if (isNotice(record, NoticeKind::entriesLost))
      problems.push_back({Kind::entriesLost, birth, seq, notice.count(), notice.text()});
    if (isNotice(record, NoticeKind::clockJumped))
      problems.push_back({Kind::clockJumped, birth, seq, seq, notice.text()});
  }
}

// ---- corrections ----

std::int64_t Reconciliation::BilledEntry::windowEndUs() const {
  return atUs + std::int64_t{record.use().deduplication_window_ms()} * 1000;
}

std::vector<Reconciliation::BilledEntry> Reconciliation::billedEntries() const {
  std::vector<BilledEntry> entries;
  forEachRecord([&](const std::string& birth, const wire::Record& record) {
    if (!record.has_use() || !record.use().billed()) return;
    std::uint64_t key = record.use().idempotency_key();
    if (key != 0) entries.push_back({key, record.at_us(), birth, record.seq(), record});
  });
  std::sort(entries.begin(), entries.end(), [](const BilledEntry& a, const BilledEntry& b) {
    return std::tie(a.key, a.atUs, a.birth, a.seq) < std::tie(b.key, b.atUs, b.birth, b.seq);
  });
  return entries;
}

std::map<std::string, Reconciliation::CorrectionIds> Reconciliation::knownCorrections() const {
  std::map<std::string, CorrectionIds> known;
  forEachRecord([&](const std::string&, const wire::Record& record) {
    if (!record.has_correction()) return;
    const wire::Correction& correction = record.correction();
    if (correction.id().starts_with(kReversal))
      known[correction.corrects()].reversals.insert(correction.id());
    if (correction.id().starts_with(kRestoration))
      known[correction.corrects()].restorations.insert(correction.id());
  });
  return known;
}

// A run on only some of the ledgers may reverse an entry as a retry that is no retry when all
// ledgers are known. Such an entry is restored by a further correction. Correction ids are numbered
// per entry, so each correction counts once even if it is written by several runs.
std::vector<Reconciliation::MissingCorrection> Reconciliation::missingCorrections() const {
  std::map<std::string, CorrectionIds> known = knownCorrections();
  std::vector<BilledEntry> entries = billedEntries();
  std::vector<MissingCorrection> missing;
  const BilledEntry* original = nullptr;  // first entry of the current key and window
  for (const BilledEntry& entry : entries) {
    bool isRetry = original && original->key == entry.key && entry.atUs < original->windowEndUs();
    if (!isRetry) original = &entry;
    const CorrectionIds& ids = known[entry.name()];
    bool isReversed = ids.reversals.size() > ids.restorations.size();
    if (isRetry == isReversed) continue;
    std::size_t number = (isRetry ? ids.reversals : ids.restorations).size() + 1;
    missing.push_back(correctionOf(entry, isRetry ? original : nullptr, number));
  }
  return missing;
}

// Reverses the entry as a retry of `original`, or restores it if `original` is null.
Reconciliation::MissingCorrection Reconciliation::correctionOf(const BilledEntry& entry,
                                                               const BilledEntry* original,
                                                               std::size_t number) {
  const wire::Use& use = entry.record.use();
  std::int64_t sign = original ? -1 : 1;
  MissingCorrection missing;
  missing.birth = entry.birth;
  missing.period = Period{entry.record.period_s()};
  wire::Correction& correction = missing.correction;
  correction.set_id((original ? kReversal : kRestoration) + entry.name() + " #" +
                    std::to_string(number));
  correction.set_corrects(entry.name());
  correction.set_tenant(use.tenant());
  correction.set_statements(sign);
  correction.set_bytes_in(sign * static_cast<std::int64_t>(use.bytes_in()));
  correction.set_bytes_out(sign * static_cast<std::int64_t>(use.bytes_out()));
  correction.set_reason(original ? "billed at " + original->name() + " under the same mark"
                                 : "no repeat, seen with all ledgers");
  correction.set_by("reconcile");
  return missing;
}

UsageTotals Reconciliation::totals(bool corrected) const {
  UsageTotals totals;
  forEachRecord([&](const std::string&, const wire::Record& record) { totals.add(record); });
  if (!corrected) return totals;
  for (const MissingCorrection& missing : missingCorrections()) {
    wire::Record record;
    *record.mutable_correction() = missing.correction;
    record.set_period_s(missing.period.beginsS);
    totals.add(record);
  }
  return totals;
}

}  // namespace reedchute::ledger
