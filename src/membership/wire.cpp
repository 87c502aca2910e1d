#include "membership/wire.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

#include "membership/membership.pb.h"

namespace reedchute::membership {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kPacket = 1;
constexpr std::size_t kHead = 2;  // version and kind
constexpr int kMostItems = 64;    // rumors, or notes, in a packet that is read

std::string macOf(std::string_view covered, const std::string& key) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(covered.data()), covered.size(), mac, &size);
  return std::string(reinterpret_cast<char*>(mac), std::min<std::size_t>(size, kMacBytes));
}

void put(const Rumor& r, wire::Rumor& to) {
  to.set_name(r.name), to.set_zone(r.zone), to.set_ip(r.at.ip), to.set_port(r.at.port);
  to.set_generation(r.generation), to.set_incarnation(r.incarnation),
      to.set_state(static_cast<std::uint32_t>(r.state));
}

bool get(const wire::Rumor& from, Rumor& to) {
  if (from.name().empty() || from.name().size() > kMostNameBytes ||
      from.zone().size() > kMostNameBytes)
    return false;
  if (from.port() > 65535 || from.state() > 3) return false;
  to = {from.name(),       from.zone(),        {from.ip(), static_cast<std::uint16_t>(from.port())},
        from.generation(), from.incarnation(), static_cast<State>(from.state())};
  return true;
}

}  // namespace

const char* nameOf(Bad b) {
  switch (b) {
    case Bad::none:
      return "none";
    case Bad::size:
      return "size";
    case Bad::version:
      return "version";
    case Bad::key:
      return "key";
    default:
      return "form";
  }
}

std::string seal(std::uint8_t kind, std::string_view body, const Keys& keys) {
  std::string head{static_cast<char>(kVersion), static_cast<char>(kind)};
  std::string covered = head + std::string(body);
  return head + macOf(covered, keys.front()) + std::string(body);
}

std::optional<std::string_view> unseal(std::uint8_t kind, std::string_view bytes, const Keys& keys,
                                       Bad& why) {
  why = Bad::size;
  if (bytes.size() < kHead + kMacBytes || bytes.size() > kMostBytes) return std::nullopt;
  why = Bad::version;
  if (static_cast<std::uint8_t>(bytes[0]) != kVersion ||
      static_cast<std::uint8_t>(bytes[1]) != kind)
    return std::nullopt;
  std::string_view body = bytes.substr(kHead + kMacBytes);
  std::string covered = std::string(bytes.substr(0, kHead)) + std::string(body);
  why = Bad::key;
  for (const std::string& key : keys) {
    std::string mac = macOf(covered, key);
    if (mac.size() != kMacBytes || CRYPTO_memcmp(mac.data(), bytes.data() + kHead, kMacBytes) != 0)
      continue;
    why = Bad::none;
    return body;
  }
  return std::nullopt;
}

std::optional<std::string> toDatagram(Packet p, const Keys& keys) {
  for (;;) {
    wire::Packet w;
    w.set_fleet(p.fleet), w.set_to(p.to), w.set_number(p.number), w.set_nonce(p.nonce);
    w.set_kind(static_cast<std::uint32_t>(p.kind)), w.set_target(p.target), w.set_cursor(p.cursor);
    w.set_target_ip(p.targetAt.ip), w.set_target_port(p.targetAt.port);
    put(p.from, *w.mutable_from());
    for (const Rumor& r : p.rumors) put(r, *w.add_rumors());
    for (const Note& n : p.notes) {
      wire::Note& to = *w.add_notes();
      to.set_origin(n.origin), to.set_generation(n.generation), to.set_number(n.number);
      to.set_topic(static_cast<std::uint32_t>(n.topic)), to.set_text(n.bytes);
      // Danger: an age rounded down at each of many hands would keep a note young.
      to.set_age_ms(static_cast<std::uint32_t>(
          std::clamp<std::int64_t>((n.age.us + 999) / 1000, 0, INT32_MAX)));
    }
    std::string out = seal(kPacket, w.SerializeAsString(), keys);
    if (out.size() <= kMostBytes) return out;
    if (!p.notes.empty())
      p.notes.pop_back();
    else if (!p.rumors.empty())
      p.rumors.pop_back();
    else
      return std::nullopt;
  }
}

std::optional<Packet> fromDatagram(std::string_view bytes, const Keys& keys, Bad& why) {
  auto body = unseal(kPacket, bytes, keys, why);
  if (!body) return std::nullopt;
  why = Bad::form;
  wire::Packet w;
  if (!w.ParseFromArray(body->data(), static_cast<int>(body->size()))) return std::nullopt;
  if (w.kind() > 4 || w.target_port() > 65535 || w.rumors_size() > kMostItems ||
      w.notes_size() > kMostItems)
    return std::nullopt;
  for (const std::string* name : {&w.fleet(), &w.to(), &w.target(), &w.cursor()})
    if (name->size() > kMostNameBytes) return std::nullopt;
  Packet p;
  p.fleet = w.fleet(), p.to = w.to(), p.number = w.number(), p.nonce = w.nonce();
  p.kind = static_cast<Packet::Kind>(w.kind()), p.target = w.target(), p.cursor = w.cursor();
  p.targetAt = {w.target_ip(), static_cast<std::uint16_t>(w.target_port())};
  if (!get(w.from(), p.from)) return std::nullopt;
  for (const wire::Rumor& from : w.rumors()) {
    Rumor r;
    if (!get(from, r)) return std::nullopt;
    p.rumors.push_back(std::move(r));
  }
  for (const wire::Note& from : w.notes()) {
    if (from.origin().empty() || from.origin().size() > kMostNameBytes) return std::nullopt;
    p.notes.push_back({from.origin(), from.generation(), from.number(),
                       static_cast<int>(from.topic() & 0xffff),
                       Duration{std::int64_t{from.age_ms()} * 1000}, from.text()});
  }
  why = Bad::none;
  return p;
}

}  // namespace reedchute::membership
