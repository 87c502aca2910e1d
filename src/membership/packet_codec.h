// Encodes packets as datagrams: protobuf authenticated with a keyed MAC. Datagrams that are
// truncated, too long, malformed or signed with an unknown key are rejected with the reason.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/packet.h"

namespace reedchute::membership {

// The limit of sent and accepted datagrams. Fits the MTU of common networks.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
inline constexpr std::size_t kMacBytes = 16;  // of HMAC-SHA256, truncated
inline constexpr std::size_t kMaxNameBytes = 64;

// The first key signs, and all keys are accepted. Two are listed during a key rotation.
using Keys = std::vector<std::string>;

// Why a datagram was rejected. `form`: authentic, but malformed.
enum class PacketError { none, size, version, key, form };
const char* nameOf(PacketError error);

struct DecodedPacket {
  std::optional<Packet> packet;
  PacketError error = PacketError::none;
};

struct OpenedEnvelope {
  std::optional<std::string_view> body;  // refers to the bytes passed to unseal()
  PacketError error = PacketError::none;
};

// Omits states and then updates that don't fit, from the last one on. Returns nothing if the packet
// is too long even without them.
std::optional<std::string> encodeDatagram(Packet packet, const Keys& keys);
DecodedPacket decodeDatagram(std::string_view bytes, const Keys& keys);

// The same envelope for bodies of another kind, such as commands. The MAC covers `kind`.
std::string seal(std::uint8_t kind, std::string_view body, const Keys& keys);
OpenedEnvelope unseal(std::uint8_t kind, std::string_view bytes, const Keys& keys);

}  // namespace reedchute::membership
