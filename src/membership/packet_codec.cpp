#include "membership/packet_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <type_traits>

#include "membership/membership.pb.h"

namespace reedchute::membership {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kPacketKind = 1;
constexpr std::size_t kHeaderBytes = 2;  // version and kind
constexpr int kMaxItems = 64;            // updates, or states, in an accepted packet
constexpr std::uint32_t kMaxPort = 65535;
constexpr std::uint32_t kTopicMask = 0xffff;

// Packet.kind on the wire.
enum WireKind : std::uint32_t {
  wirePing = 0,
  wireAck = 1,
  wirePingRequest = 2,
  wireSyncRequest = 3,
  wireSyncPage = 4,
};

std::string macOf(std::string_view covered, const std::string& key) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(covered.data()), covered.size(), mac, &size);
  return {reinterpret_cast<char*>(mac), std::min<std::size_t>(size, kMacBytes)};
}

// ---- encoding ----

void encode(const MemberUpdate& update, wire::MemberUpdate& to) {
  to.set_name(update.name);
  to.set_zone(update.zone);
  to.set_ip(update.address.ip);
  to.set_port(update.address.port);
  to.set_incarnation(update.incarnation);
  to.set_refutations(update.refutations);
  to.set_state(static_cast<std::uint32_t>(update.state));
}

// Rounds up: rounding down at each hop would understate the age.
std::uint32_t ageInMilliseconds(Duration age) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>((age.us + 999) / 1000, 0, INT32_MAX));
}

void encode(const GossipState& state, wire::GossipState& to) {
  to.set_origin(state.origin);
  to.set_incarnation(state.incarnation);
  to.set_version(state.version);
  to.set_topic(static_cast<std::uint32_t>(state.topic));
  to.set_age_ms(ageInMilliseconds(state.age));
  to.set_payload(state.payload);
}

void encode(const Ping& ping, wire::Packet& to) {
  to.set_kind(wirePing);
  to.set_nonce(ping.nonce);
}

void encode(const Ack& ack, wire::Packet& to) {
  to.set_kind(wireAck);
  to.set_nonce(ack.nonce);
}

void encode(const PingRequest& request, wire::Packet& to) {
  to.set_kind(wirePingRequest);
  to.set_nonce(request.nonce);
  to.set_target(request.target);
  to.set_target_ip(request.targetAddress.ip);
  to.set_target_port(request.targetAddress.port);
}

void encode(const SyncRequest& request, wire::Packet& to) {
  to.set_kind(wireSyncRequest);
  to.set_cursor(request.cursor);
}

void encode(const SyncPage& page, wire::Packet& to) {
  to.set_kind(wireSyncPage);
  to.set_cursor(page.cursor);
}

std::string encode(const Packet& packet) {
  wire::Packet to;
  to.set_fleet(packet.fleet);
  to.set_to(packet.to);
  encode(packet.from, *to.mutable_from());
  to.set_number(packet.number);
  std::visit([&](const auto& body) { encode(body, to); }, packet.message);
  for (const MemberUpdate& update : packet.updates) encode(update, *to.add_updates());
  for (const GossipState& state : packet.states) encode(state, *to.add_states());
  return to.SerializeAsString();
}

// ---- decoding ----

bool isValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

std::optional<MemberUpdate> decode(const wire::MemberUpdate& from) {
  constexpr auto kLastState = static_cast<std::uint32_t>(MemberState::dead);
  if (!isValidName(from.name()) || from.zone().size() > kMaxNameBytes) return std::nullopt;
  if (from.port() > kMaxPort || from.state() > kLastState) return std::nullopt;
  return MemberUpdate{.name = from.name(),
                      .zone = from.zone(),
                      .address = {from.ip(), static_cast<std::uint16_t>(from.port())},
                      .incarnation = from.incarnation(),
                      .refutations = from.refutations(),
                      .state = static_cast<MemberState>(from.state())};
}

std::optional<GossipState> decode(const wire::GossipState& from) {
  if (!isValidName(from.origin())) return std::nullopt;
  return GossipState{.origin = from.origin(),
                     .incarnation = from.incarnation(),
                     .version = from.version(),
                     .topic = static_cast<int>(from.topic() & kTopicMask),
                     .age = Duration{std::int64_t{from.age_ms()} * 1000},
                     .payload = from.payload()};
}

Message decodeMessage(const wire::Packet& from) {
  switch (from.kind()) {
    case wirePing:
      return Ping{from.nonce()};
    case wireAck:
      return Ack{from.nonce()};
    case wirePingRequest:
      return PingRequest{from.nonce(),
                         from.target(),
                         {from.target_ip(), static_cast<std::uint16_t>(from.target_port())}};
    case wireSyncRequest:
      return SyncRequest{from.cursor()};
    default:
      return SyncPage{from.cursor()};
  }
}

bool isWithinLimits(const wire::Packet& from) {
  if (from.kind() > wireSyncPage || from.target_port() > kMaxPort) return false;
  if (from.updates_size() > kMaxItems || from.states_size() > kMaxItems) return false;
  for (const std::string* name : {&from.fleet(), &from.to(), &from.target(), &from.cursor()})
    if (name->size() > kMaxNameBytes) return false;
  return true;
}

// Decodes each item of `from` and appends it to `into`. Returns false if one is invalid.
template <typename WireItems, typename Item>
bool decodeAll(const WireItems& from, std::vector<Item>& into) {
  for (const auto& wireItem : from) {
    std::optional<Item> item = decode(wireItem);
    if (!item) return false;
    into.push_back(std::move(*item));
  }
  return true;
}

std::optional<Packet> decodeBody(std::string_view body) {
  wire::Packet from;
  if (!from.ParseFromArray(body.data(), static_cast<int>(body.size()))) return std::nullopt;
  if (!isWithinLimits(from)) return std::nullopt;
  std::optional<MemberUpdate> sender = decode(from.from());
  if (!sender) return std::nullopt;
  Packet packet;
  packet.fleet = from.fleet();
  packet.to = from.to();
  packet.from = std::move(*sender);
  packet.number = from.number();
  packet.message = decodeMessage(from);
  if (!decodeAll(from.updates(), packet.updates)) return std::nullopt;
  if (!decodeAll(from.states(), packet.states)) return std::nullopt;
  return packet;
}

}  // namespace

const char* nameOf(PacketError error) {
  switch (error) {
    case PacketError::none:
      return "none";
    case PacketError::size:
      return "size";
    case PacketError::version:
      return "version";
    case PacketError::key:
      return "key";
    default:
      return "form";
  }
}

std::string seal(std::uint8_t kind, std::string_view body, const Keys& keys) {
  std::string header{static_cast<char>(kVersion), static_cast<char>(kind)};
  std::string covered = header + std::string(body);
  return header + macOf(covered, keys.front()) + std::string(body);
}

OpenedEnvelope unseal(std::uint8_t kind, std::string_view bytes, const Keys& keys) {
  if (bytes.size() < kHeaderBytes + kMacBytes || bytes.size() > kMaxDatagramBytes)
    return {std::nullopt, PacketError::size};
  if (static_cast<std::uint8_t>(bytes[0]) != kVersion ||
      static_cast<std::uint8_t>(bytes[1]) != kind)
    return {std::nullopt, PacketError::version};
  std::string_view body = bytes.substr(kHeaderBytes + kMacBytes);
  std::string covered = std::string(bytes.substr(0, kHeaderBytes)) + std::string(body);
  for (const std::string& key : keys) {
    std::string mac = macOf(covered, key);
    bool matches = mac.size() == kMacBytes &&
                   CRYPTO_memcmp(mac.data(), bytes.data() + kHeaderBytes, kMacBytes) == 0;
    if (matches) return {body, PacketError::none};
  }
  return {std::nullopt, PacketError::key};
}

std::optional<std::string> encodeDatagram(Packet packet, const Keys& keys) {
  for (;;) {
    std::string datagram = seal(kPacketKind, encode(packet), keys);
    if (datagram.size() <= kMaxDatagramBytes) return datagram;
    if (!packet.states.empty())
      packet.states.pop_back();
    else if (!packet.updates.empty())
      packet.updates.pop_back();
    else
      return std::nullopt;
  }
}

DecodedPacket decodeDatagram(std::string_view bytes, const Keys& keys) {
  OpenedEnvelope envelope = unseal(kPacketKind, bytes, keys);
  if (!envelope.body) return {std::nullopt, envelope.error};
  std::optional<Packet> packet = decodeBody(*envelope.body);
  if (!packet) return {std::nullopt, PacketError::form};
  return {std::move(packet), PacketError::none};
}

}  // namespace reedchute::membership
