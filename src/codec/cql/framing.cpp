#include "codec/cql/framing.h"

#include <lz4.h>
#include <zlib.h>

#include <algorithm>
#include <vector>

namespace reedchute::cql {
namespace {

constexpr std::size_t kLengthBits = 17;       // bits of a length in a segment's header
constexpr std::size_t kCrc24Size = 3;         // bytes
constexpr std::size_t kCrc32Size = 4;         // bytes
constexpr std::size_t kPlainHeaderSize = 3;   // bytes before the CRC-24
constexpr std::size_t kPackedHeaderSize = 5;  // bytes before the CRC-24, with LZ4
constexpr std::size_t kMaxPlainBody = 64;     // bytes up to which a bare frame isn't compressed
constexpr std::uint32_t kCrc24Start = 0x875060;
constexpr std::uint32_t kCrc24Polynomial = 0x1974f0b;
constexpr std::uint32_t kCrc24Overflow = 0x1000000;
// An LZ4 block grows to 255 times its size at most; a length that promises more is invalid.
constexpr std::size_t kMaxGrowth = 255;

std::uint64_t readLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t index = bytes.size(); index-- > 0;) {
    value = value << 8 | static_cast<unsigned char>(bytes[index]);
  }
  return value;
}

void addLittleEndian(std::string& to, std::uint64_t value, std::size_t size) {
  for (std::size_t index = 0; index < size; ++index) {
    to.push_back(static_cast<char>(value >> (8 * index) & 0xff));
  }
}

// Appends the `size` bytes that `block` decompresses to; false if it isn't exactly that many.
bool unpack(std::string_view block, std::size_t size, std::string& to) {
  std::size_t sizeBefore = to.size();
  to.resize(sizeBefore + size);
  int written = LZ4_decompress_safe(block.data(), to.data() + sizeBefore,
                                    static_cast<int>(block.size()), static_cast<int>(size));
  if (written == static_cast<int>(size)) return true;
  to.resize(sizeBefore);
  return false;
}

std::string pack(std::string_view bytes) {
  std::string block(static_cast<std::size_t>(LZ4_compressBound(static_cast<int>(bytes.size()))),
                    '\0');
  int written = LZ4_compress_default(bytes.data(), block.data(), static_cast<int>(bytes.size()),
                                     static_cast<int>(block.size()));
  block.resize(static_cast<std::size_t>(std::max(written, 0)));
  return block;
}

// Appends a segment's header, its CRC-24, the payload and its CRC-32.
void addSealed(std::string& out, std::uint64_t header, std::size_t headerSize,
               std::string_view payload) {
  std::size_t begin = out.size();
  addLittleEndian(out, header, headerSize);
  addLittleEndian(out, crc24(std::string_view(out).substr(begin, headerSize)), kCrc24Size);
  out += payload;
  addLittleEndian(out, crc32(payload), kCrc32Size);
}

void addPlainSegment(std::string& out, std::string_view payload, bool isSelfContained) {
  std::uint64_t header = payload.size();
  header |= static_cast<std::uint64_t>(isSelfContained) << kLengthBits;
  addSealed(out, header, kPlainHeaderSize, payload);
}

void addPackedSegment(std::string& out, std::string_view payload, bool isSelfContained) {
  std::uint64_t selfContainedBit = static_cast<std::uint64_t>(isSelfContained) << (2 * kLengthBits);
  std::string packed = pack(payload);
  if (packed.size() >= payload.size()) {
    // What compression doesn't shrink is sent as it is, with an uncompressed length of 0.
    addSealed(out, payload.size() | selfContainedBit, kPackedHeaderSize, payload);
    return;
  }
  std::uint64_t plainLength = static_cast<std::uint64_t>(payload.size()) << kLengthBits;
  addSealed(out, packed.size() | plainLength | selfContainedBit, kPackedHeaderSize, packed);
}

struct SegmentHeader {
  std::size_t payloadSize = 0;  // bytes, as transmitted
  std::size_t plainSize = 0;    // bytes after decompression; 0 if it isn't compressed
  bool isSelfContained = false;
};

SegmentHeader readSegmentHeader(std::string_view bytes, bool isPacked) {
  std::uint64_t bits = readLittleEndian(bytes);
  SegmentHeader header;
  header.payloadSize = bits & kMostSegment;
  bits >>= kLengthBits;
  if (isPacked) {
    header.plainSize = bits & kMostSegment;
    bits >>= kLengthBits;
  }
  header.isSelfContained = bits & 1;
  return header;
}

}  // namespace

std::uint32_t crc24(std::string_view bytes) {
  std::uint32_t crc = kCrc24Start;
  for (char byte : bytes) {
    crc ^= static_cast<std::uint32_t>(static_cast<unsigned char>(byte)) << 16;
    for (int bit = 0; bit < 8; ++bit) {
      crc <<= 1;
      if (crc & kCrc24Overflow) crc ^= kCrc24Polynomial;
    }
  }
  return crc;
}

std::uint32_t crc32(std::string_view bytes) {
  static const Bytef kInitialBytes[] = {0xfa, 0x2d, 0x55, 0xca};
  uLong crc = ::crc32(0, kInitialBytes, sizeof kInitialBytes);
  crc = ::crc32(crc, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size()));
  return static_cast<std::uint32_t>(crc);
}

Framed Framing::nextBare(std::string_view bytes, std::size_t& used, Frame& result) {
  Framed framed = frame(bytes, mostBody_, result);
  if (framed == Framed::bad) return bad("a frame's length makes no sense");
  if (framed != Framed::whole) return framed;
  used = kHeader + result.body.size();
  if (!(result.flags & kCompressed)) return framed;
  if (!isCompressing_) return bad("a compressed frame where no compression was agreed");
  Cursor cursor(result.body);
  std::int32_t statedSize = cursor.fourBytes();
  if (!cursor.good() || statedSize < 0) return bad("a decompressed size that can't be");
  // A wrong size would reserve memory for bytes that never come.
  auto size = static_cast<std::size_t>(statedSize);
  if (size > mostBody_ || size > cursor.rest().size() * kMaxGrowth)
    return bad("a decompressed size that can't be");
  plain_.clear();
  // An empty body is sent as a size of 0 and may have no block behind it.
  if (size > 0 && !unpack(cursor.rest(), size, plain_))
    return bad("a block that can't be decompressed");
  result.body = plain_;
  return framed;
}

Framed Framing::nextSegment(std::string_view bytes, std::size_t& used) {
  std::size_t headerSize = isCompressing_ ? kPackedHeaderSize : kPlainHeaderSize;
  std::size_t payloadBegin = headerSize + kCrc24Size;
  if (bytes.size() < payloadBegin) return Framed::partial;
  std::string_view headerBytes = bytes.substr(0, headerSize);
  if (readLittleEndian(bytes.substr(headerSize, kCrc24Size)) != crc24(headerBytes))
    return bad("a segment's header doesn't match its checksum");
  SegmentHeader header = readSegmentHeader(headerBytes, isCompressing_);
  std::size_t payloadEnd = payloadBegin + header.payloadSize;
  if (bytes.size() < payloadEnd + kCrc32Size) return Framed::partial;
  std::string_view payload = bytes.substr(payloadBegin, header.payloadSize);
  if (readLittleEndian(bytes.substr(payloadEnd, kCrc32Size)) != crc32(payload))
    return bad("a segment's payload doesn't match its checksum");
  // A part of a frame in front of whole ones would change the meaning of what follows.
  if (header.isSelfContained && taken_ < plain_.size())
    return bad("a segment of its own in the middle of a frame");
  if (header.payloadSize == 0) return bad("an empty segment");
  plain_.erase(0, taken_);
  taken_ = 0;
  if (header.plainSize == 0) {
    plain_ += payload;
  } else if (!unpack(payload, header.plainSize, plain_)) {
    return bad("a block that can't be decompressed");
  }
  isSelfContained_ = header.isSelfContained;
  used = payloadEnd + kCrc32Size;
  return Framed::whole;
}

Framed Framing::next(std::string_view bytes, std::size_t& used, Frame& result) {
  used = 0;
  if (!usesSegments_) return nextBare(bytes, used, result);
  for (;;) {
    Framed framed = nextHeld(result);
    if (framed != Framed::partial) return framed;
    std::size_t segmentSize = 0;
    framed = nextSegment(bytes.substr(used), segmentSize);
    if (framed != Framed::whole) return framed;
    used += segmentSize;
  }
}

Framed Framing::nextHeld(Frame& result) {
  std::string_view rest = std::string_view(plain_).substr(taken_);
  if (rest.empty()) {
    if (plain_.capacity() > kMostSegment) {
      plain_ = {};
      taken_ = 0;
    }
    return Framed::partial;
  }
  Framed framed = frame(rest, mostBody_, result);
  if (framed == Framed::bad) return bad("a frame's length makes no sense");
  if (framed == Framed::partial) {
    if (isSelfContained_) return bad("a segment of its own with a part of a frame");
    return framed;
  }
  taken_ += kHeader + result.body.size();
  // Bytes behind a split frame in its last segment belong to no frame.
  if (!isSelfContained_ && taken_ < plain_.size())
    return bad("a segment with more than the end of its frame");
  return framed;
}

void Framing::put(std::string& out, bool answer, int version, std::uint8_t flags,
                  std::int16_t stream, Opcode opcode, std::string_view body) const {
  if (!usesSegments_) {
    putBare(out, answer, version, flags, stream, opcode, body);
    return;
  }
  std::string plain = whole(answer, version, flags, stream, opcode, body);
  std::string_view rest = plain;
  bool isSelfContained = rest.size() <= kMostSegment;
  while (!rest.empty()) {
    std::string_view payload = rest.substr(0, kMostSegment);
    if (isCompressing_) {
      addPackedSegment(out, payload, isSelfContained);
    } else {
      addPlainSegment(out, payload, isSelfContained);
    }
    rest.remove_prefix(payload.size());
  }
}

void Framing::putBare(std::string& out, bool answer, int version, std::uint8_t flags,
                      std::int16_t stream, Opcode opcode, std::string_view body) const {
  // Neither STARTUP nor OPTIONS is compressed, nor what is too short to gain by it.
  bool mayCompress = opcode != Opcode::startup && opcode != Opcode::options;
  std::string packed;
  if (isCompressing_ && mayCompress && body.size() > kMaxPlainBody) {
    addInt(packed, static_cast<std::int32_t>(body.size()));
    packed += pack(body);
    body = packed;
    flags = static_cast<std::uint8_t>(flags | kCompressed);
  }
  addHeader(out, answer, version, flags, stream, opcode, body.size());
  out += body;
}

}  // namespace reedchute::cql
