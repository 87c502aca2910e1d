#include "ledger/ledger_writer.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace reedchute::ledger {
namespace {

constexpr std::size_t kMostPending = 1 << 20;
constexpr std::size_t kAtOnce = 4096;  // entries that are written together

wire::Use useOf(const Answered& a) {
  wire::Use u;
  u.set_tenant(a.tenant), u.set_workload(a.workload), u.set_group(a.group);
  u.set_outcome(static_cast<std::uint32_t>(a.outcome));
  u.set_bytes_in(a.bytesIn), u.set_bytes_out(a.bytesOut), u.set_executions(a.executions);
  u.set_mark(a.mark), u.set_window_ms(static_cast<std::uint32_t>(a.window.us / 1000)),
      u.set_protocol(a.protocol);
  return u;
}

}  // namespace

std::string toBytes(const Answered& a) {
  wire::Record r;
  *r.mutable_use() = useOf(a);
  r.set_at_us(a.at.us), r.set_period_s(a.period.beginsS);
  return r.SerializeAsString();
}

std::optional<Answered> fromBytes(std::string_view bytes) {
  wire::Record r;
  if (!r.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !r.has_use())
    return std::nullopt;
  const wire::Use& u = r.use();
  Answered a;
  a.tenant = u.tenant(), a.workload = u.workload(), a.group = u.group();
  a.outcome = static_cast<Outcome>(u.outcome());
  a.bytesIn = u.bytes_in(), a.bytesOut = u.bytes_out(), a.mark = u.mark();
  a.executions = u.executions(), a.protocol = u.protocol();
  a.window = Duration{std::int64_t{u.window_ms()} * 1000};
  a.at = TimePoint{r.at_us()}, a.period = Period{r.period_s()};
  return a;
}

LedgerWriter::LedgerWriter(Files& files, Shape shape)
    : shape_(std::move(shape)),
      log_(files, shape_.log),
      marks_(shape_.marks),
      periods_(shape_.every, Duration{}, shape_.grace),
      birth_(shape_.birth) {}

void LedgerWriter::read(const wire::Record& r) {
  newestTime_ = std::max(newestTime_, TimePoint{r.at_us()});
  newestSource_ = std::max<std::uint64_t>(newestSource_, r.source());
  totals_.add(r);
  Period p{r.period_s()};
  if (r.has_use() || r.has_correction()) {
    // A correction may be of a period that was sealed long ago; it stands in the log after the
    // seal, as it should.
    if (!lastSealed_ || p > *lastSealed_) {
      periods_.entered(p);
      wire::Seal& count = counts_[p];
      if (count.first() == 0) count.set_first(r.seq());
      count.set_last(r.seq());
      if (r.has_use() && r.use().billed()) count.set_billed(count.billed() + 1);
    }
  }
  if (r.has_use() && r.use().billed())
    marks_.remember(r.use().mark(), Duration{std::int64_t{r.use().window_ms()} * 1000},
                    TimePoint{r.at_us()});
  if (r.has_opened()) birth_ = r.opened().birth();
  if (r.has_seal()) {
    periods_.sealed(p);
    counts_.erase(p);
    lastSealed_ = lastSealed_ ? std::max(*lastSealed_, p) : p;
  }
  if (r.has_batch()) {
    BatchPlan b{r.batch().number(), r.batch().first(), r.batch().last(), r.batch().digest()};
    (r.batch().confirmed() ? confirmed_ : planned_) = b;
  }
  unsealed_.clear();
  for (const auto& [period, count] : counts_) unsealed_.push_back(period);
}

std::vector<Finding> LedgerWriter::open(TimePoint now) {
  bool any = false;
  std::vector<Finding> findings = log_.open([&](const wire::Record& r) { any = true, read(r); });
  if (!log_.isOpen()) return findings;
  exports_.resume(confirmed_, planned_);
  readTo_ = newestSource_;
  TimePoint at = std::max(now, newestTime_);
  wire::Record r;
  if (!any) {
    r.mutable_opened()->set_birth(birth_);
    r.mutable_opened()->set_instance(shape_.instance);
  } else {
    r.mutable_notice()->set_kind(findings.empty() ? 4 : 3);
    if (!findings.empty())
      r.mutable_notice()->set_text(findings.front().segment + " at byte " +
                                   std::to_string(findings.front().at));
  }
  append(r, at, periodAt(shape_.every, at));
  log_.write();
  return findings;
}

void LedgerWriter::append(wire::Record& r, TimePoint at, Period p) {
  r.set_at_us(at.us), r.set_period_s(p.beginsS);
  log_.append(r);
  read(r);
}

void LedgerWriter::drain(Ring& ring, std::uint64_t lost, TimePoint now) {
  // Danger: an entry that was written and not let go, as the process died in between, would be
  // counted twice.
  if (ring.goneTo() > readTo_) readTo_ = ring.goneTo();
  // Danger: a disk that takes nothing would have all memory filled with what waits for it; the ring
  // holds the rest.
  for (std::size_t n = 0; n < kAtOnce && log_.pendingBytes() < kMostPending; ++n) {
    auto entry = ring.next(readTo_);
    if (!entry) break;
    readTo_ = entry->place;
    auto a = fromBytes(entry->bytes);
    if (!a) continue;
    wire::Record r;
    wire::Use* u = r.mutable_use();
    *u = useOf(*a);
    u->set_billed(marks_.billed(a->outcome, a->mark, a->window, a->at));
    r.set_source(entry->place);
    append(r, a->at, a->period);
  }
  if (lost > lost_) {
    wire::Record r;
    r.mutable_notice()->set_kind(1);
    r.mutable_notice()->set_count(lost - lost_);
    r.mutable_notice()->set_text("the ring was full");
    lost_ = lost;
    append(r, std::max(now, newestTime_), periodAt(shape_.every, std::max(now, newestTime_)));
  }
  // Whatever is still in the ring is of this moment or earlier; a period is sealed once nothing of
  // it can be there.
  if (!ring.next(readTo_)) seal(now);
  log_.write();
  ring.letGo(readTo_);
}

void LedgerWriter::seal(TimePoint now) {
  while (auto p = periods_.due(now)) {
    wire::Record r;
    *r.mutable_seal() = counts_[*p];
    append(r, std::max(now, newestTime_), *p);
  }
}

std::string LedgerWriter::signatureOf(const wire::Correction& c, Period p, const std::string& key) {
  wire::Correction plain = c;
  plain.clear_signature();
  std::string text = std::to_string(p.beginsS) + "\n" + plain.SerializeAsString();
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), out, &size);
  return {reinterpret_cast<char*>(out), size};
}

LedgerWriter::Corrected LedgerWriter::correct(const wire::Correction& c, Period p, TimePoint now) {
  bool complete = !c.id().empty() && !c.tenant().empty() && !c.reason().empty() && !c.by().empty();
  if (!complete || shape_.correctionKey.empty()) return Corrected::refused;
  std::string should = signatureOf(c, p, shape_.correctionKey);
  unsigned differs = should.size() != c.signature().size();
  for (std::size_t k = 0; k < should.size() && k < c.signature().size(); ++k)
    differs |= static_cast<unsigned char>(should[k]) ^ static_cast<unsigned char>(c.signature()[k]);
  if (differs) return Corrected::refused;
  if (totals_.corrected(c.id())) return Corrected::repeated;
  wire::Record r;
  *r.mutable_correction() = c;
  append(r, std::max(now, newestTime_), p);
  log_.write();
  return Corrected::taken;
}

void LedgerWriter::note(const BatchPlan& b, bool confirmed, TimePoint now) {
  wire::Record r;
  wire::Batch* w = r.mutable_batch();
  w->set_number(b.number), w->set_first(b.first), w->set_last(b.last), w->set_digest(b.digest);
  w->set_confirmed(confirmed);
  TimePoint at = std::max(now, newestTime_);
  append(r, at, periodAt(shape_.every, at));
  log_.write();
  // Danger: a batch that was sent and whose plan is lost would be cut otherwise the next time.
  log_.sync();
  if (confirmed)
    exports_.confirmed(b);
  else
    exports_.planned(b);
}

}  // namespace reedchute::ledger
