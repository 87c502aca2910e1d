#include "codec/cql/framing.h"

#include <lz4.h>
#include <zlib.h>

#include <algorithm>
#include <vector>

namespace reedchute::cql {
namespace {

constexpr std::size_t kLengthBits = 17, kCrc24 = 3, kCrc32 = 4;
constexpr std::size_t kPlainHead = 3, kPackedHead = 5;  // before the CRC-24
// An LZ4 block grows to 255 times its size at most; a length that promises more is a lie.
constexpr std::size_t kMostGrowth = 255;

std::uint64_t little(std::string_view b) {
  std::uint64_t v = 0;
  for (std::size_t k = b.size(); k-- > 0;) v = v << 8 | static_cast<unsigned char>(b[k]);
  return v;
}

void addLittle(std::string& to, std::uint64_t v, std::size_t bytes) {
  for (std::size_t k = 0; k < bytes; ++k) to.push_back(static_cast<char>(v >> (8 * k) & 0xff));
}

// Appends `size` bytes decompressed from `block`; false where it isn't exactly that.
bool unpack(std::string_view block, std::size_t size, std::string& to) {
  std::size_t had = to.size();
  to.resize(had + size);
  int n = LZ4_decompress_safe(block.data(), to.data() + had, static_cast<int>(block.size()),
                              static_cast<int>(size));
  if (n == static_cast<int>(size)) return true;
  to.resize(had);
  return false;
}

std::string pack(std::string_view bytes) {
  std::string block(static_cast<std::size_t>(LZ4_compressBound(static_cast<int>(bytes.size()))),
                    '\0');
  int n = LZ4_compress_default(bytes.data(), block.data(), static_cast<int>(bytes.size()),
                               static_cast<int>(block.size()));
  block.resize(static_cast<std::size_t>(std::max(n, 0)));
  return block;
}

void addSegment(std::string& out, std::string_view payload, bool selfContained, bool compress) {
  std::string packed;
  std::uint64_t head = 0;
  std::size_t headSize = compress ? kPackedHead : kPlainHead;
  if (compress) {
    packed = pack(payload);
    // What grows by compression goes as it is, told by a plain size of 0.
    bool shrank = packed.size() < payload.size();
    head = shrank ? packed.size() | static_cast<std::uint64_t>(payload.size()) << kLengthBits
                  : payload.size();
    head |= static_cast<std::uint64_t>(selfContained) << (2 * kLengthBits);
    if (shrank) payload = packed;
  } else {
    head = payload.size() | static_cast<std::uint64_t>(selfContained) << kLengthBits;
  }
  std::size_t at = out.size();
  addLittle(out, head, headSize);
  addLittle(out, crc24(std::string_view(out).substr(at, headSize)), kCrc24);
  out += payload;
  addLittle(out, crc32(payload), kCrc32);
}

}  // namespace

std::uint32_t crc24(std::string_view bytes) {
  std::uint32_t crc = 0x875060;
  for (char c : bytes) {
    crc ^= static_cast<std::uint32_t>(static_cast<unsigned char>(c)) << 16;
    for (int k = 0; k < 8; ++k) {
      crc <<= 1;
      if (crc & 0x1000000) crc ^= 0x1974f0b;
    }
  }
  return crc;
}

std::uint32_t crc32(std::string_view bytes) {
  static const Bytef kFirst[] = {0xfa, 0x2d, 0x55, 0xca};
  uLong crc = ::crc32(0, kFirst, sizeof kFirst);
  crc = ::crc32(crc, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size()));
  return static_cast<std::uint32_t>(crc);
}

Framed Framing::nextBare(std::string_view bytes, std::size_t& used, Frame& f) {
  Framed got = frame(bytes, most_, f);
  if (got == Framed::bad) return bad("a frame's length makes no sense");
  if (got != Framed::whole) return got;
  used = kHeader + f.body.size();
  if (!(f.flags & kCompressed)) return got;
  if (!compress_) return bad("a compressed frame where no compression was agreed");
  Cursor c(f.body);
  std::int32_t size = c.fourBytes();
  // A wrong size would reserve memory for bytes that never come.
  bool possible = c.good() && size >= 0 && static_cast<std::size_t>(size) <= most_ &&
                  static_cast<std::size_t>(size) <= c.rest().size() * kMostGrowth;
  if (!possible) return bad("a decompressed size that can't be");
  plain_.clear();
  // An empty body is sent as a size of 0 and may have no block behind it.
  if (size > 0 && !unpack(c.rest(), static_cast<std::size_t>(size), plain_))
    return bad("a block that can't be decompressed");
  f.body = plain_;
  return got;
}

Framed Framing::nextSegment(std::string_view bytes, std::size_t& used) {
  std::size_t head = compress_ ? kPackedHead : kPlainHead;
  if (bytes.size() < head + kCrc24) return Framed::partial;
  if (little(bytes.substr(head, kCrc24)) != crc24(bytes.substr(0, head)))
    return bad("a segment's header doesn't match its checksum");
  std::uint64_t bits = little(bytes.substr(0, head));
  std::size_t length = bits & kMostSegment,
              plain = compress_ ? bits >> kLengthBits & kMostSegment : 0;
  bool self = bits >> (compress_ ? 2 * kLengthBits : kLengthBits) & 1;
  std::size_t whole = head + kCrc24 + length + kCrc32;
  if (bytes.size() < whole) return Framed::partial;
  std::string_view payload = bytes.substr(head + kCrc24, length);
  if (little(bytes.substr(whole - kCrc32, kCrc32)) != crc32(payload))
    return bad("a segment's payload doesn't match its checksum");
  // A part of a frame in front of whole ones would change the meaning of what follows.
  if (self && taken_ < plain_.size()) return bad("a segment of its own in the middle of a frame");
  if (length == 0) return bad("an empty segment");
  plain_.erase(0, taken_);
  taken_ = 0;
  if (plain > 0 ? !unpack(payload, plain, plain_) : (plain_ += payload, false))
    return bad("a block that can't be decompressed");
  selfContained_ = self;
  used = whole;
  return Framed::whole;
}

Framed Framing::next(std::string_view bytes, std::size_t& used, Frame& f) {
  used = 0;
  if (!segments_) return nextBare(bytes, used, f);
  for (;;) {
    std::string_view rest = std::string_view(plain_).substr(taken_);
    if (rest.empty() && plain_.capacity() > kMostSegment) plain_ = {}, taken_ = 0;
    Framed got = rest.empty() ? Framed::partial : frame(rest, most_, f);
    if (got == Framed::bad) return bad("a frame's length makes no sense");
    if (got == Framed::whole) {
      taken_ += kHeader + f.body.size();
      // Bytes behind a split frame in its last segment belong to no frame.
      if (!selfContained_ && taken_ < plain_.size())
        return bad("a segment with more than the end of its frame");
      return got;
    }
    if (selfContained_ && !rest.empty()) return bad("a segment of its own with a part of a frame");
    std::size_t step = 0;
    got = nextSegment(bytes.substr(used), step);
    if (got != Framed::whole) return got;
    used += step;
  }
}

void Framing::put(std::string& out, bool answer, int version, std::uint8_t flags,
                  std::int16_t stream, Opcode o, std::string_view body) const {
  if (!segments_) {
    // Neither STARTUP nor OPTIONS is compressed, nor what is too short to gain by it.
    bool compress = compress_ && body.size() > 64 && o != Opcode::startup && o != Opcode::options;
    std::string packed;
    if (compress) {
      addInt(packed, static_cast<std::int32_t>(body.size()));
      packed += pack(body);
      body = packed;
    }
    addHeader(out, answer, version, static_cast<std::uint8_t>(flags | (compress ? kCompressed : 0)),
              stream, o, body.size());
    out += body;
    return;
  }
  std::string plain = whole(answer, version, flags, stream, o, body);
  std::string_view rest = plain;
  bool self = rest.size() <= kMostSegment;
  while (!rest.empty()) {
    addSegment(out, rest.substr(0, kMostSegment), self, compress_);
    rest.remove_prefix(std::min(rest.size(), kMostSegment));
  }
}

}  // namespace reedchute::cql
