// Packets as datagrams: protobuf behind a keyed MAC. What is not whole, too long, or of another key
// is no packet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/packet.h"

namespace reedchute::membership {

// A datagram above this is not read, and none is made. It fits any usual network unbroken.
inline constexpr std::size_t kMostBytes = 1400;
inline constexpr std::size_t kMacBytes = 16;  // of HMAC-SHA256, which is cut
inline constexpr std::size_t kMostNameBytes = 64;

// Keys in force: the first makes, all are taken. Two while one is changed.
using Keys = std::vector<std::string>;

enum class Bad { none, size, version, key, form };
const char* nameOf(Bad b);

// Nothing where even without its rumors and notes it is too long; those that don't fit are left
// out, the last first.
std::optional<std::string> toDatagram(Packet p, const Keys& keys);
std::optional<Packet> fromDatagram(std::string_view bytes, const Keys& keys, Bad& why);

// The same around any text of another kind: what commands travel in. `kind` is covered by the MAC.
std::string seal(std::uint8_t kind, std::string_view body, const Keys& keys);
std::optional<std::string_view> unseal(std::uint8_t kind, std::string_view bytes, const Keys& keys,
                                       Bad& why);

}  // namespace reedchute::membership
