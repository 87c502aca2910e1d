// The two framing formats of the Cassandra native protocol, and LZ4 compression, for both
// directions of one connection. An instance is owned by its connection and used by one thread; no
// I/O.
//
// Bare frames, which aren't wrapped in segments, are used by version 4, and by every version up to
// and including the response to STARTUP. Compression is a flag of each bare frame: a compressed
// body consists of the uncompressed length (four bytes) and an LZ4 block.
//
// Version 5 switches to segments after READY or AUTHENTICATE. A segment's payload is shorter than
// 128 KiB; its header is protected by a CRC-24 and its payload by a CRC-32. A segment contains
// either whole frames (it is self-contained) or a part of one frame. Compression applies to the
// segment.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "codec/cql/wire.h"

namespace reedchute::cql {

inline constexpr std::size_t kMaxSegmentPayload = 128 * 1024 - 1;  // bytes, uncompressed

// The framing state of one connection.
class Framing {
 public:
  // `maxBodySize`: the limit in bytes of a frame's body, both as received and after decompression.
  explicit Framing(std::size_t maxBodySize) : maxBodySize_(maxBodySize) {}

  // Enables LZ4, as negotiated in STARTUP, from the next frame on.
  void enableCompression() { isCompressing_ = true; }
  // Switches to segments, in both directions.
  void enableSegments() { usesSegments_ = true; }
  bool usesSegments() const { return usesSegments_; }

  // Reads the next frame into `result` and sets `used` to the number of `bytes` consumed. The
  // frame's body is a view into `bytes` or into this object, valid until the next call. Returns
  // `bad` for an invalid length, a checksum mismatch, a segment that violates the frame boundaries,
  // or a block that doesn't decompress to its stated size. The connection can't be read any further
  // after `bad`, and `why` returns the reason.
  Framed next(std::string_view bytes, std::size_t& used, Frame& result);
  // Whether next() would return a whole frame.
  bool hasFrame(std::string_view bytes) const;
  // The bytes of consumed segments that next() has not returned as frames yet.
  std::size_t undecodedBytes() const { return usesSegments_ ? buffer_.size() - consumed_ : 0; }
  // The reason for the last `bad`, a static string; empty before the first.
  const char* why() const { return why_; }
  // The size in bytes of the buffer that is kept between calls.
  std::size_t bufferedBytes() const { return buffer_.capacity(); }

  // Appends one frame to `out` in the connection's current format, compressed if enabled. `body` is
  // passed uncompressed.
  void put(std::string& out, bool isResponse, int version, std::uint8_t flags, std::int16_t stream,
           Opcode opcode, std::string_view body) const;

 private:
  void releaseBuffer();
  Framed nextBare(std::string_view bytes, std::size_t& used, Frame& result);
  Framed nextBuffered(Frame& result);  // from the payloads of earlier segments
  Framed nextSegment(std::string_view bytes, std::size_t& used);
  void putBare(std::string& out, bool isResponse, int version, std::uint8_t flags,
               std::int16_t stream, Opcode opcode, std::string_view body) const;
  Framed bad(const char* why) {
    why_ = why;
    return Framed::bad;
  }

  std::size_t maxBodySize_;  // bytes
  bool isCompressing_ = false;
  bool usesSegments_ = false;
  std::string buffer_;           // a decompressed body, or decompressed segment payloads
  std::size_t consumed_ = 0;     // bytes of `buffer_` already returned as frames
  bool isSelfContained_ = true;  // of the last segment
  const char* why_ = "";
};

// Appends one frame as segments with a payload of at most `maxPayload` bytes each, which is at most
// kMaxSegmentPayload.
void addSegments(std::string& out, std::string_view frame, std::size_t maxPayload,
                 bool isCompressing);

// The CRC-24 of a segment header: polynomial 0x1974f0b, initial value 0x875060.
std::uint32_t crc24(std::string_view bytes);
// The CRC-32 of a segment payload: zlib's CRC-32 over the bytes fa 2d 55 ca and the payload.
std::uint32_t crc32(std::string_view bytes);

}  // namespace reedchute::cql
