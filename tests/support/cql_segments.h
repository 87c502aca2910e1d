// Segments of the Cassandra protocol (version 5), built by hand, because Framing puts each frame
// into a segment of its own.
#pragma once

#include <string>
#include <string_view>

#include "codec/cql/framing.h"

namespace reedchute::test {

// One segment. `isCompressed`: of a connection with LZ4; the payload itself stays uncompressed.
inline std::string segment(std::string_view payload, bool isSelfContained,
                           bool isCompressed = false) {
  auto addLittleEndian = [](std::string& to, std::uint64_t value, int size) {
    for (int k = 0; k < size; ++k) to.push_back(static_cast<char>(value >> 8 * k & 0xff));
  };
  int flagShift = isCompressed ? 34 : 17;  // behind one length field or two
  std::string bytes;
  addLittleEndian(bytes, payload.size() | static_cast<std::uint64_t>(isSelfContained) << flagShift,
                  isCompressed ? 5 : 3);
  addLittleEndian(bytes, cql::crc24(bytes), 3);
  bytes += payload;
  addLittleEndian(bytes, cql::crc32(payload), 4);
  return bytes;
}

}  // namespace reedchute::test
