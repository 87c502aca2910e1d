// The two framings of the Cassandra native protocol, and LZ4 compression, in both directions of one
// connection. Owned by its connection and used by one thread; no I/O.
//
// A connection of version 4 uses bare frames, and so does any connection up to the reply to
// STARTUP. Compression is then a flag of each frame, whose body is a length of four bytes and an
// LZ4 block. After READY or AUTHENTICATE, a connection of version 5 uses segments of at most 128
// KiB, each with a CRC-24 of its header and a CRC-32 of its payload. A segment holds whole frames
// (it is self-contained) or a part of one, and compression applies to the segment.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "codec/cql/wire.h"

namespace reedchute::cql {

inline constexpr std::size_t kMostSegment = 128 * 1024 - 1;  // bytes of uncompressed payload

// The framing state of one connection.
class Framing {
 public:
  // `mostBody`: the largest body of a frame in bytes, both as received and decompressed.
  explicit Framing(std::size_t mostBody) : mostBody_(mostBody) {}

  // Turns on LZ4, as agreed in STARTUP, from the next frame on.
  void compress() { isCompressing_ = true; }
  // Switches to segments, in both directions.
  void segments() { usesSegments_ = true; }
  bool inSegments() const { return usesSegments_; }

  // Reads the next frame into `result` and sets `used` to the number of `bytes` consumed. The
  // frame's body is a view into `bytes` or into this object, valid until the next call. `bad`
  // stands for an impossible length, a wrong checksum, or a block that doesn't decompress to its
  // stated size; nothing after it can be read, and `why` gives the reason.
  Framed next(std::string_view bytes, std::size_t& used, Frame& result);
  // The reason of the last `bad`.
  const char* why() const { return why_; }
  // Bytes of memory that this object holds between two calls.
  std::size_t held() const { return plain_.capacity(); }

  // Appends one frame in the connection's framing. `body` is uncompressed.
  void put(std::string& out, bool answer, int version, std::uint8_t flags, std::int16_t stream,
           Opcode opcode, std::string_view body) const;

 private:
  Framed nextBare(std::string_view bytes, std::size_t& used, Frame& result);
  Framed nextHeld(Frame& result);  // from what earlier segments held
  Framed nextSegment(std::string_view bytes, std::size_t& used);
  void putBare(std::string& out, bool answer, int version, std::uint8_t flags, std::int16_t stream,
               Opcode opcode, std::string_view body) const;
  Framed bad(const char* why) {
    why_ = why;
    return Framed::bad;
  }

  std::size_t mostBody_;  // bytes
  bool isCompressing_ = false;
  bool usesSegments_ = false;
  std::string plain_;            // a decompressed body, or the payloads of segments
  std::size_t taken_ = 0;        // bytes of `plain_` that were returned as frames
  bool isSelfContained_ = true;  // whether the last segment was
  const char* why_ = "";
};

// The CRC-24 of a segment's header: polynomial 0x1974f0b, initial value 0x875060.
std::uint32_t crc24(std::string_view bytes);
// The CRC-32 of a segment's payload: zlib's, after the initial bytes fa 2d 55 ca.
std::uint32_t crc32(std::string_view bytes);

}  // namespace reedchute::cql
