// The two framings of the native protocol and LZ4 compression, both ways, for one connection. No
// I/O.
//
// Frames stand bare on a connection of version 4 and, on any, up to the answer to STARTUP;
// compression then is a flag of each frame, its body a length of four bytes and an LZ4 block. On a
// connection of version 5 what follows READY or AUTHENTICATE travels in segments of at most 128
// KiB, each with a CRC-24 of its header and a CRC-32 of its payload; a segment holds whole frames
// or a part of one, and compression is the segment's.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "codec/cql/wire.h"

namespace reedchute::cql {

inline constexpr std::size_t kMostSegment = 128 * 1024 - 1;  // of a payload, before compression

class Framing {
 public:
  // `mostBody`: bytes that a frame's body may have, as it came and decompressed.
  explicit Framing(std::size_t mostBody) : most_(mostBody) {}

  // Agreed in STARTUP; holds from the next frame on.
  void compress() { compress_ = true; }
  // From now on segments, in both directions.
  void segments() { segments_ = true; }
  bool inSegments() const { return segments_; }

  // The next frame of `bytes`, of which `used` are then done with. The frame's body is a view into
  // `bytes` or into this object, until the next call. `bad`: a length that makes no sense, a
  // checksum that doesn't match, a block that can't be decompressed or not to the stated size;
  // nothing after it can be read, and `why` says what.
  Framed next(std::string_view bytes, std::size_t& used, Frame& f);
  const char* why() const { return why_; }
  // What is kept between two calls.
  std::size_t held() const { return plain_.capacity(); }

  // Appends one frame as the connection has it. `body` as it would be without compression.
  void put(std::string& out, bool answer, int version, std::uint8_t flags, std::int16_t stream,
           Opcode o, std::string_view body) const;

 private:
  Framed nextBare(std::string_view bytes, std::size_t& used, Frame& f);
  Framed nextSegment(std::string_view bytes, std::size_t& used);
  Framed bad(const char* why) {
    why_ = why;
    return Framed::bad;
  }

  std::size_t most_;
  bool compress_ = false, segments_ = false;
  std::string plain_;          // decompressed, or what segments held
  std::size_t taken_ = 0;      // of it
  bool selfContained_ = true;  // was the last segment?
  const char* why_ = "";
};

// Of a segment's header: the protocol's CRC-24, polynomial 0x1974f0b, begun with 0x875060.
std::uint32_t crc24(std::string_view bytes);
// Of its payload: CRC-32 as in zlib, begun with the bytes fa 2d 55 ca.
std::uint32_t crc32(std::string_view bytes);

}  // namespace reedchute::cql
