#include "ledger/log.h"

#include <openssl/evp.h>
#include <openssl/params.h>
#include <zlib.h>

#include <algorithm>

namespace reedchute::ledger {
namespace {

constexpr std::string_view kMagic = "RLG1", kHead = "reedchute ledger segment ";
constexpr std::size_t kFront = 4 + 4 + 4 + 8, kMac = 16, kMostPayload = 1 << 20;
constexpr const char* kAnchor = "anchor";
constexpr std::size_t kAnchorLine = 12, kMostAnchor = 64 * 1024;

void add32(std::string& to, std::uint32_t v) {
  for (int k = 0; k < 4; ++k) to.push_back(static_cast<char>(v >> 8 * k & 0xff));
}
void add64(std::string& to, std::uint64_t v) {
  for (int k = 0; k < 8; ++k) to.push_back(static_cast<char>(v >> 8 * k & 0xff));
}
std::uint64_t little(std::string_view b) {
  std::uint64_t v = 0;
  for (std::size_t k = b.size(); k-- > 0;) v = v << 8 | static_cast<unsigned char>(b[k]);
  return v;
}
std::uint32_t sumOf(std::string_view b) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(b.data()), static_cast<uInt>(b.size())));
}

struct Piece {
  std::uint64_t durable = 0;
  std::string_view payload, mac;
  std::size_t size = 0;
};

// A whole frame at the start of `bytes`.
std::optional<Piece> pieceAt(std::string_view bytes) {
  if (bytes.size() < kFront + kMac || bytes.substr(0, 4) != kMagic) return std::nullopt;
  std::size_t length = little(bytes.substr(4, 4));
  if (length > kMostPayload || bytes.size() < kFront + length + kMac) return std::nullopt;
  if (little(bytes.substr(8, 4)) != sumOf(bytes.substr(12, 8 + length + kMac))) return std::nullopt;
  return Piece{little(bytes.substr(12, 8)), bytes.substr(kFront, length),
               bytes.substr(kFront + length, kMac), kFront + length + kMac};
}

}  // namespace

const char* nameOf(Finding::What w) {
  static constexpr const char* kNames[] = {"a torn tail",
                                           "damaged bytes",
                                           "an end that was synced and is gone",
                                           "a missing segment",
                                           "a broken chain",
                                           "a broken sequence",
                                           "a record that can't be read"};
  return kNames[static_cast<std::size_t>(w)];
}

std::uint64_t Log::anchored() {
  std::uint64_t most = 0;
  std::vector<std::string> names = files_.list();
  if (std::find(names.begin(), names.end(), kAnchor) == names.end()) return 0;
  std::string bytes = files_.read(kAnchor);
  anchorSize_ = bytes.size();
  for (std::size_t at = 0; at + kAnchorLine <= bytes.size(); at += kAnchorLine) {
    std::string_view line = std::string_view(bytes).substr(at, kAnchorLine);
    if (little(line.substr(8, 4)) == sumOf(line.substr(0, 8)))
      most = std::max(most, little(line.substr(0, 8)));
  }
  return most;
}

void Log::anchor() {
  if (anchorSize_ >= kMostAnchor) files_.cut(kAnchor, 0), anchorSize_ = 0;
  std::string line;
  add64(line, durable_);
  add32(line, sumOf(line));
  files_.append(kAnchor, line);
  anchorSize_ += line.size();
}

std::string Log::nameOf(std::uint64_t number) {
  std::string digits = std::to_string(number);
  return "ledger-" + std::string(8 - std::min<std::size_t>(8, digits.size()), '0') + digits +
         ".log";
}

struct Log::Keyed {
  EVP_MAC* mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  EVP_MAC_CTX* context = EVP_MAC_CTX_new(mac);
  ~Keyed() {
    EVP_MAC_CTX_free(context);
    EVP_MAC_free(mac);
  }
};

Log::Log(Files& files, Shape shape)
    : files_(files), shape_(std::move(shape)), keyed_(std::make_unique<Keyed>()) {
  char digest[] = "SHA256";
  OSSL_PARAM parameters[] = {OSSL_PARAM_construct_utf8_string("digest", digest, 0),
                             OSSL_PARAM_construct_end()};
  if (EVP_MAC_init(keyed_->context, reinterpret_cast<const unsigned char*>(shape_.key.data()),
                   shape_.key.size(), parameters) != 1)
    throw std::runtime_error("no HMAC-SHA256 with this key");
}

Log::~Log() = default;

std::string Log::macOf(std::string_view payload) {
  unsigned char out[EVP_MAX_MD_SIZE];
  std::size_t size = 0;
  EVP_MAC_init(keyed_->context, nullptr, 0, nullptr);
  EVP_MAC_update(keyed_->context, reinterpret_cast<const unsigned char*>(mac_.data()), mac_.size());
  EVP_MAC_update(keyed_->context, reinterpret_cast<const unsigned char*>(payload.data()),
                 payload.size());
  EVP_MAC_final(keyed_->context, out, &size, sizeof out);
  return {reinterpret_cast<char*>(out), kMac};
}

std::string Log::frame(std::string_view payload) {
  mac_ = macOf(payload);
  std::string inner;
  add64(inner, durable_);
  inner += payload;
  inner += mac_;
  std::string whole(kMagic);
  add32(whole, static_cast<std::uint32_t>(payload.size()));
  add32(whole, sumOf(inner));
  return whole + inner;
}

// Reads segment after segment. With `goOn` it continues behind what can't be read, to find all
// there is.
Log::Scan Log::scan(const Each& each, bool goOn) {
  Scan s;
  s.mac = std::string(kMac, '\0');
  std::uint64_t expected = 0, anchor = anchored();
  std::vector<std::string> segments;
  for (const std::string& name : files_.list())
    if (name.starts_with("ledger-") && name.ends_with(".log")) segments.push_back(name);
  for (std::size_t n = 0; n < segments.size(); ++n) {
    const std::string& name = segments[n];
    if (name != nameOf(++expected)) {
      s.findings.push_back({Finding::What::missingSegment, nameOf(expected), 0, s.newest + 1});
      if (!goOn) return s;
      while (nameOf(expected) != name && expected < 100'000'000) ++expected;
      s.mac.clear();  // the chain can't be followed over what is missing
      s.newest = 0;
    }
    std::string bytes = files_.read(name);
    s.segment = name, s.size = bytes.size(), s.good = 0;
    number_ = expected;
    bool head = true;
    for (std::size_t at = 0; at < bytes.size();) {
      auto piece = pieceAt(std::string_view(bytes).substr(at));
      if (!piece) {
        // Danger: bytes that were never synced may be lost in any order when a machine dies, and
        // look like damage. A later frame tells what was synced by then: below that it is damage,
        // above it a torn tail.
        std::uint64_t synced = 0;
        std::size_t next = std::string::npos;
        for (std::size_t k = bytes.find(kMagic, at + 1); k != std::string::npos;
             k = bytes.find(kMagic, k + 1))
          if (auto later = pieceAt(std::string_view(bytes).substr(k))) {
            if (next == std::string::npos) next = k;
            synced = std::max(synced, later->durable);
          }
        bool newest = n + 1 == segments.size();
        bool torn = newest && synced <= s.newest && anchor <= s.newest;
        s.findings.push_back(
            {torn ? Finding::What::tornTail : Finding::What::damaged, name, at, s.newest + 1});
        if (torn || !goOn || next == std::string::npos) break;
        at = next;
        s.mac.clear();
        continue;
      }
      if (!s.mac.empty()) {
        mac_ = s.mac;
        if (macOf(piece->payload) != piece->mac) {
          s.findings.push_back({Finding::What::chainBroken, name, at, s.newest + 1});
          if (!goOn) return s;
        }
      }
      s.mac = piece->mac;
      at += piece->size;
      if (std::exchange(head, false)) {
        if (!piece->payload.starts_with(kHead)) {
          s.findings.push_back({Finding::What::unreadable, name, 0, s.newest + 1});
          if (!goOn) return s;
        }
      } else {
        wire::Record r;
        if (!r.ParseFromArray(piece->payload.data(), static_cast<int>(piece->payload.size()))) {
          s.findings.push_back({Finding::What::unreadable, name, at - piece->size, s.newest + 1});
          if (!goOn) return s;
          continue;
        }
        if (r.seq() != s.newest + 1 && s.newest != 0) {
          s.findings.push_back(
              {Finding::What::sequenceBroken, name, at - piece->size, s.newest + 1});
          if (!goOn) return s;
        }
        s.newest = r.seq();
        each(r);
      }
      s.good = at;
    }
    if (!goOn && !s.findings.empty()) return s;
  }
  if (s.newest < anchor)
    s.findings.push_back({Finding::What::lostEnd, s.segment, s.good, s.newest + 1});
  return s;
}

std::vector<Finding> Log::verify(const Each& each) {
  return scan(each, true).findings;
}

std::vector<Finding> Log::open(const Each& each) {
  number_ = 0;
  Scan s = scan(each, false);
  for (const Finding& f : s.findings)
    if (f.what != Finding::What::tornTail) return s.findings;
  if (!s.findings.empty()) files_.cut(s.segment, s.good);
  newest_ = written_ = s.newest;
  mac_ = lastWrittenMac_ = s.mac;
  size_ = s.good;
  // A segment that was begun and of which nothing is left is begun again.
  needsHead_ = s.good == 0;
  if (!s.segment.empty() && s.good == 0) --number_;
  // Danger: what the last process wrote may not have been synced yet; it is before anything builds
  // on it.
  if (!s.segment.empty()) files_.sync(s.segment);
  durable_ = newest_;
  open_ = true;
  return s.findings;
}

std::uint64_t Log::append(wire::Record& r) {
  r.set_seq(++newest_);
  std::string payload;
  r.SerializeToString(&payload);
  pending_ += frame(payload);
  return newest_;
}

void Log::write() {
  if (pending_.empty()) return;
  bool fresh = needsHead_ || size_ >= shape_.segmentBytes;
  if (fresh) {
    if (!toSync_.empty()) sync();
    // The head stands in the chain before what is pending, which is chained anew behind it.
    std::string name = nameOf(number_ + 1);
    std::vector<std::string> payloads;
    for (std::size_t at = 0; at < pending_.size();) {
      auto piece = pieceAt(std::string_view(pending_).substr(at));
      payloads.emplace_back(piece->payload);
      at += piece->size;
    }
    mac_ = lastWrittenMac_;
    std::string bytes = frame(std::string(kHead) + std::to_string(number_ + 1));
    for (const std::string& p : payloads) bytes += frame(p);
    // Danger: where the disk refuses this, it is tried again from the same pending records; the
    // chain must be theirs.
    std::string macThen = mac_;
    files_.append(name, bytes);
    mac_ = macThen;
    pending_ = std::move(bytes);
    ++number_;
    size_ = 0;
    needsHead_ = false;
  } else {
    files_.append(nameOf(number_), pending_);
  }
  toSync_ = nameOf(number_);
  size_ += pending_.size();
  pending_.clear();
  written_ = newest_;
  lastWrittenMac_ = mac_;
}

void Log::sync() {
  if (toSync_.empty()) return;
  files_.sync(toSync_);
  toSync_.clear();
  durable_ = written_;
  anchor();
}

std::string Log::digestOf(const std::vector<std::string>& payloads) {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
  for (const std::string& p : payloads) {
    std::string size;
    add32(size, static_cast<std::uint32_t>(p.size()));
    EVP_DigestUpdate(context, size.data(), size.size());
    EVP_DigestUpdate(context, p.data(), p.size());
  }
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_DigestFinal_ex(context, out, &size);
  EVP_MD_CTX_free(context);
  return {reinterpret_cast<char*>(out), size};
}

}  // namespace reedchute::ledger
