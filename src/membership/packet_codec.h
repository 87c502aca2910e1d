// Packets as datagrams: protobuf behind a keyed MAC. What is truncated, too long or signed by an
// unknown key is rejected, with the reason.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/packet.h"

namespace reedchute::membership {

// No larger datagram is sent, or accepted. It fits the MTU of usual networks.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
inline constexpr std::size_t kMacBytes = 16;  // of HMAC-SHA256, truncated
inline constexpr std::size_t kMaxNameBytes = 64;

// The first key signs, and all are accepted: two are listed while one is being replaced.
using Keys = std::vector<std::string>;

// Why a datagram was rejected.
enum class PacketError { none, size, version, key, form };
const char* nameOf(PacketError error);

struct DecodedPacket {
  std::optional<Packet> packet;
  PacketError error = PacketError::none;
};

struct OpenedEnvelope {
  std::optional<std::string_view> body;  // within the bytes that were opened
  PacketError error = PacketError::none;
};

// States and then updates that don't fit are left out, the last first. Nothing where the packet is
// too long even without them.
std::optional<std::string> encodeDatagram(Packet packet, const Keys& keys);
DecodedPacket decodeDatagram(std::string_view bytes, const Keys& keys);

// The same envelope around bytes of another kind, for commands. The MAC covers `kind`.
std::string seal(std::uint8_t kind, std::string_view body, const Keys& keys);
OpenedEnvelope unseal(std::uint8_t kind, std::string_view bytes, const Keys& keys);

}  // namespace reedchute::membership
