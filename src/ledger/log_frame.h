// The format of the log's frames on disk: "RLG1", the payload's length, a CRC-32 of everything that
// follows, the sequence number of the newest record that was synced when the frame was written, the
// payload, and the payload's chained MAC. Integers are little-endian. The functions have no side
// effects.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedchute::ledger {

inline constexpr std::string_view kFrameMagic = "RLG1";
inline constexpr std::size_t kFrameMacBytes = 16;

struct Frame {
  std::uint64_t durable = 0;  // the newest record that was synced when it was written
  std::string_view payload;
  std::string_view mac;
  std::size_t size = 0;  // bytes of the whole frame
};

// Decodes the frame at the start of `bytes`; returns nullopt if there is no complete frame with a
// matching checksum. The frame's views point into `bytes`.
std::optional<Frame> decodeFrame(std::string_view bytes);
std::string encodeFrame(std::string_view payload, std::string_view mac, std::uint64_t durable);

void appendUint32(std::string& to, std::uint32_t value);
void appendUint64(std::string& to, std::uint64_t value);
// Reads an integer that is as long as `bytes`, at most 8.
std::uint64_t readUint(std::string_view bytes);
// The CRC-32 of `bytes`.
std::uint32_t checksumOf(std::string_view bytes);

}  // namespace reedchute::ledger
