#include "ledger/reconcile.h"

#include <algorithm>
#include <tuple>

#include "ledger/billed_keys.h"

namespace reedchute::ledger {
namespace {

const std::string kRepeat = "repeat ", kRestore = "restore ";

}  // namespace

const char* nameOf(Reconciliation::Trouble::What w) {
  static constexpr const char* kNames[] = {"gap", "overlap", "two names", "clock jumped",
                                           "entries lost"};
  return kNames[static_cast<std::size_t>(w)];
}

void Reconciliation::add(const std::string& birth, const std::string& instance,
                         const wire::Record& r) {
  Ledger& l = ledgers_[birth];
  l.names.insert(instance);
  std::string bytes = r.SerializeAsString();
  auto [it, fresh] = l.records.try_emplace(r.seq(), bytes);
  if (fresh || it->second == bytes) return;
  l.twice.insert(r.seq());
  // Danger: which came first must not decide; of two contents the same one always stands.
  it->second = std::min(it->second, bytes);
}

std::vector<Reconciliation::Trouble> Reconciliation::troubles() const {
  using What = Trouble::What;
  std::vector<Trouble> all;
  for (const auto& [birth, l] : ledgers_) {
    if (l.names.size() > 1) {
      std::string names;
      for (const std::string& n : l.names) names += (names.empty() ? "" : ", ") + n;
      all.push_back({What::twoNames, birth, 0, 0, names});
    }
    for (std::uint64_t seq : l.twice)
      all.push_back({What::overlap, birth, seq, seq, "two contents under one number"});
    std::uint64_t before = 0;
    std::int64_t newest = INT64_MIN;
    for (const auto& [seq, bytes] : l.records) {
      if (seq != before + 1) all.push_back({What::gap, birth, before + 1, seq - 1, ""});
      before = seq;
      wire::Record r;
      r.ParseFromString(bytes);
      if (r.at_us() < newest)
        all.push_back({What::clockJumped, birth, seq, seq, "earlier than the record before it"});
      newest = std::max<std::int64_t>(newest, r.at_us());
      if (r.has_notice() && r.notice().kind() == 1)
        all.push_back({What::entriesLost, birth, seq, r.notice().count(), r.notice().text()});
      if (r.has_notice() && r.notice().kind() == 2)
        all.push_back({What::clockJumped, birth, seq, seq, r.notice().text()});
    }
  }
  std::sort(all.begin(), all.end());
  return all;
}

std::vector<Reconciliation::Missing> Reconciliation::missing() const {
  // All that was billed under a mark, in one order that doesn't depend on how it came here.
  struct Billed {
    std::uint64_t mark = 0;
    std::int64_t at = 0;
    std::string birth;
    std::uint64_t seq = 0;
    wire::Record r;
  };
  std::vector<Billed> billed;
  // By entry: how often it was taken back, and how often given back, each under an id of its own.
  std::map<std::string, std::pair<std::set<std::string>, std::set<std::string>>> known;
  for (const auto& [birth, l] : ledgers_)
    for (const auto& [seq, bytes] : l.records) {
      wire::Record r;
      r.ParseFromString(bytes);
      if (r.has_correction() && r.correction().id().starts_with(kRepeat))
        known[r.correction().corrects()].first.insert(r.correction().id());
      if (r.has_correction() && r.correction().id().starts_with(kRestore))
        known[r.correction().corrects()].second.insert(r.correction().id());
      if (r.has_use() && r.use().billed() && r.use().mark() != 0)
        billed.push_back({r.use().mark(), r.at_us(), birth, seq, r});
    }
  std::sort(billed.begin(), billed.end(), [](const Billed& a, const Billed& b) {
    return std::tie(a.mark, a.at, a.birth, a.seq) < std::tie(b.mark, b.at, b.birth, b.seq);
  });
  std::vector<Missing> all;
  const Billed* kept = nullptr;
  for (const Billed& b : billed) {
    bool again = kept && kept->mark == b.mark &&
                 b.at < kept->at + std::int64_t{kept->r.use().window_ms()} * 1000;
    if (!again) kept = &b;
    std::string entry = b.birth + ":" + std::to_string(b.seq);
    const auto& [taken, given] = known[entry];
    bool isBack = taken.size() > given.size();
    if (again == isBack) continue;
    // Danger: with a part of the ledgers at hand an entry may have been taken for a repeat that,
    // seen with all, is none. It is given back by a further correction; ids are numbered, so each
    // is written once whoever writes it.
    std::int64_t sign = again ? -1 : 1;
    Missing m;
    m.birth = b.birth, m.period = Period{b.r.period_s()};
    wire::Correction& c = m.correction;
    c.set_id((again ? kRepeat : kRestore) + entry + " #" +
             std::to_string((again ? taken : given).size() + 1));
    c.set_corrects(entry);
    c.set_tenant(b.r.use().tenant());
    c.set_statements(sign);
    c.set_bytes_in(sign * static_cast<std::int64_t>(b.r.use().bytes_in()));
    c.set_bytes_out(sign * static_cast<std::int64_t>(b.r.use().bytes_out()));
    c.set_reason(again ? "billed at " + kept->birth + ":" + std::to_string(kept->seq) +
                             " under the same mark"
                       : "no repeat, seen with all ledgers");
    c.set_by("reconcile");
    all.push_back(std::move(m));
  }
  return all;
}

UsageTotals Reconciliation::totals(bool with) const {
  UsageTotals t;
  for (const auto& [birth, l] : ledgers_)
    for (const auto& [seq, bytes] : l.records) {
      wire::Record r;
      r.ParseFromString(bytes);
      t.add(r);
    }
  if (with)
    for (const Missing& m : missing()) {
      wire::Record r;
      *r.mutable_correction() = m.correction;
      r.set_period_s(m.period.beginsS);
      t.add(r);
    }
  return t;
}

}  // namespace reedchute::ledger
