#include "ledger/log_frame.h"

#include <zlib.h>

namespace reedchute::ledger {
namespace {

constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kDurableOffset = 12;
constexpr std::size_t kPayloadOffset = 20;
constexpr std::size_t kMaxPayloadBytes = 1 << 20;

void appendLittleEndian(std::string& to, std::uint64_t value, int bytes) {
  for (int k = 0; k < bytes; ++k) to.push_back(static_cast<char>(value >> 8 * k & 0xff));
}

}  // namespace

void appendUint32(std::string& to, std::uint32_t value) {
  appendLittleEndian(to, value, 4);
}

void appendUint64(std::string& to, std::uint64_t value) {
  appendLittleEndian(to, value, 8);
}

std::uint64_t readUint(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t k = bytes.size(); k-- > 0;)
    value = value << 8 | static_cast<unsigned char>(bytes[k]);
  return value;
}

std::uint32_t checksumOf(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::optional<Frame> decodeFrame(std::string_view bytes) {
  if (bytes.size() < kPayloadOffset + kFrameMacBytes || !bytes.starts_with(kFrameMagic))
    return std::nullopt;
  std::size_t length = readUint(bytes.substr(kLengthOffset, 4));
  std::size_t size = kPayloadOffset + length + kFrameMacBytes;
  if (length > kMaxPayloadBytes || bytes.size() < size) return std::nullopt;
  std::uint64_t checksum = readUint(bytes.substr(kChecksumOffset, 4));
  if (checksum != checksumOf(bytes.substr(kDurableOffset, size - kDurableOffset)))
    return std::nullopt;
  return Frame{.durable = readUint(bytes.substr(kDurableOffset, 8)),
               .payload = bytes.substr(kPayloadOffset, length),
               .mac = bytes.substr(kPayloadOffset + length, kFrameMacBytes),
               .size = size};
}

std::string encodeFrame(std::string_view payload, std::string_view mac, std::uint64_t durable) {
  std::string checked;
  appendUint64(checked, durable);
  checked += payload;
  checked += mac;
  std::string frame(kFrameMagic);
  appendUint32(frame, static_cast<std::uint32_t>(payload.size()));
  appendUint32(frame, checksumOf(checked));
  return frame + checked;
}

}  // namespace reedchute::ledger
