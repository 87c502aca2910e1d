#include "codec/cql/framing.h"

#include <lz4.h>
#include <zlib.h>

#include <algorithm>
#include <vector>

namespace reedchute::cql {
namespace {

constexpr std::size_t kLengthBits = 17;       // bits of each length field of a segment header
constexpr std::size_t kCrc24Size = 3;         // bytes
constexpr std::size_t kCrc32Size = 4;         // bytes
constexpr std::size_t kHeaderFieldsSize = 3;  // bytes before the CRC-24, uncompressed format
constexpr std::size_t kCompressedHeaderFieldsSize = 5;  // bytes before the CRC-24, LZ4 format
// Bodies of bare frames up to this size, in bytes, are not compressed.
constexpr std::size_t kMaxUncompressedBody = 64;
constexpr std::size_t kMaxIdleBuffer = 16 * 1024;  // bytes, between two messages
constexpr std::uint32_t kCrc24Initial = 0x875060;
constexpr std::uint32_t kCrc24Polynomial = 0x1974f0b;
constexpr std::uint32_t kCrc24Overflow = 0x1000000;
// The maximum expansion of an LZ4 block is 255 times its size; a larger stated size is invalid.
constexpr std::size_t kMaxExpansion = 255;

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

// Decompresses an LZ4 block and appends the result to `to`. Returns false, with `to` unchanged,
// unless the result is exactly `size` bytes.
bool decompressBlock(std::string_view block, std::size_t size, std::string& to) {
  std::size_t initialSize = to.size();
  to.resize(initialSize + size);
  int written = LZ4_decompress_safe(block.data(), to.data() + initialSize,
                                    static_cast<int>(block.size()), static_cast<int>(size));
  if (written == static_cast<int>(size)) return true;
  to.resize(initialSize);
  return false;
}

std::string compressBlock(std::string_view bytes) {
  std::string block(static_cast<std::size_t>(LZ4_compressBound(static_cast<int>(bytes.size()))),
                    '\0');
  int written = LZ4_compress_default(bytes.data(), block.data(), static_cast<int>(bytes.size()),
                                     static_cast<int>(block.size()));
  block.resize(static_cast<std::size_t>(std::max(written, 0)));
  return block;
}

// Appends a segment: the header, its CRC-24, the payload and its CRC-32.
void addSegment(std::string& out, std::uint64_t header, std::size_t headerSize,
                std::string_view payload) {
  std::size_t begin = out.size();
  addLittleEndian(out, header, headerSize);
  addLittleEndian(out, crc24(std::string_view(out).substr(begin, headerSize)), kCrc24Size);
  out += payload;
  addLittleEndian(out, crc32(payload), kCrc32Size);
}

void addUncompressedSegment(std::string& out, std::string_view payload, bool isSelfContained) {
  std::uint64_t header = payload.size();
  header |= static_cast<std::uint64_t>(isSelfContained) << kLengthBits;
  addSegment(out, header, kHeaderFieldsSize, payload);
}

void addCompressedSegment(std::string& out, std::string_view payload, bool isSelfContained) {
  std::uint64_t selfContainedBit = static_cast<std::uint64_t>(isSelfContained) << (2 * kLengthBits);
  std::string compressed = compressBlock(payload);
  if (compressed.size() >= payload.size()) {
    // A payload that compression doesn't shrink is sent uncompressed. An uncompressed length of 0
    // in the header says so.
    addSegment(out, payload.size() | selfContainedBit, kCompressedHeaderFieldsSize, payload);
    return;
  }
  std::uint64_t uncompressedLength = static_cast<std::uint64_t>(payload.size()) << kLengthBits;
  addSegment(out, compressed.size() | uncompressedLength | selfContainedBit,
             kCompressedHeaderFieldsSize, compressed);
}

struct SegmentHeader {
  std::size_t payloadSize = 0;       // bytes, as transmitted
  std::size_t uncompressedSize = 0;  // bytes after decompression; 0 if not compressed
  bool isSelfContained = false;
};

SegmentHeader readSegmentHeader(std::string_view bytes, bool isCompressed) {
  std::uint64_t bits = readLittleEndian(bytes);
  SegmentHeader header;
  header.payloadSize = bits & kMaxSegmentPayload;
  bits >>= kLengthBits;
  if (isCompressed) {
    header.uncompressedSize = bits & kMaxSegmentPayload;
    bits >>= kLengthBits;
  }
  header.isSelfContained = bits & 1;
  return header;
}

}  // namespace

std::uint32_t crc24(std::string_view bytes) {
  std::uint32_t crc = kCrc24Initial;
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

void addSegments(std::string& out, std::string_view frame, std::size_t maxPayload,
                 bool isCompressing) {
  bool isSelfContained = frame.size() <= maxPayload;
  while (!frame.empty()) {
    std::string_view payload = frame.substr(0, maxPayload);
    if (isCompressing) {
      addCompressedSegment(out, payload, isSelfContained);
    } else {
      addUncompressedSegment(out, payload, isSelfContained);
    }
    frame.remove_prefix(payload.size());
  }
}

Framed Framing::nextBare(std::string_view bytes, std::size_t& used, Frame& result) {
  Framed framed = readFrame(bytes, maxBodySize_, result);
  if (framed == Framed::bad) return bad("a frame length that is negative or above the limit");
  if (framed != Framed::whole) return framed;
  used = kHeaderSize + result.body.size();
  if (!(result.flags & kCompressed)) return framed;
  if (!isCompressing_)
    return bad("a compressed frame, but no compression was negotiated in STARTUP");
  Cursor cursor(result.body);
  std::int32_t statedSize = cursor.fourBytes();
  if (!cursor.good() || statedSize < 0)
    return bad("a decompressed size that is missing or negative");
  // Checked before decompressing: a false size would reserve memory for data that the frame doesn't
  // contain.
  auto size = static_cast<std::size_t>(statedSize);
  if (size > maxBodySize_ || size > cursor.rest().size() * kMaxExpansion)
    return bad("a decompressed size above the limit or the maximum LZ4 ratio");
  buffer_.clear();
  // An empty body has a stated size of 0, and the LZ4 block may be missing.
  if (size > 0 && !decompressBlock(cursor.rest(), size, buffer_))
    return bad("an LZ4 block that doesn't decompress to its stated size");
  result.body = buffer_;
  return framed;
}

Framed Framing::nextSegment(std::string_view bytes, std::size_t& used) {
  std::size_t headerSize = isCompressing_ ? kCompressedHeaderFieldsSize : kHeaderFieldsSize;
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
  // Bytes of an unfinished frame before a self-contained segment would shift the frame boundaries
  // in it.
  if (header.isSelfContained && consumed_ < buffer_.size())
    return bad("a self-contained segment in the middle of a frame");
  if (header.payloadSize == 0) return bad("an empty segment");
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  if (header.uncompressedSize == 0) {
    buffer_ += payload;
  } else if (!decompressBlock(payload, header.uncompressedSize, buffer_)) {
    return bad("an LZ4 block that doesn't decompress to its stated size");
  }
  isSelfContained_ = header.isSelfContained;
  used = payloadEnd + kCrc32Size;
  return Framed::whole;
}

// Frees a large buffer whose contents are used up. Otherwise each idle connection would keep the
// memory of its longest message.
void Framing::releaseBuffer() {
  bool isUsedUp = !usesSegments_ || consumed_ == buffer_.size();
  if (!isUsedUp || buffer_.capacity() <= kMaxIdleBuffer) return;
  std::string().swap(buffer_);
  consumed_ = 0;
}

Framed Framing::next(std::string_view bytes, std::size_t& used, Frame& result) {
  used = 0;
  releaseBuffer();
  if (!usesSegments_) return nextBare(bytes, used, result);
  for (;;) {
    Framed framed = nextBuffered(result);
    if (framed != Framed::partial) return framed;
    std::size_t segmentSize = 0;
    framed = nextSegment(bytes.substr(used), segmentSize);
    if (framed != Framed::whole) return framed;
    used += segmentSize;
  }
}

bool Framing::hasFrame(std::string_view bytes) const {
  Framing copy = *this;
  Frame frame;
  std::size_t used = 0;
  return copy.next(bytes, used, frame) == Framed::whole;
}

Framed Framing::nextBuffered(Frame& result) {
  std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (rest.empty()) return Framed::partial;
  Framed framed = readFrame(rest, maxBodySize_, result);
  if (framed == Framed::bad) return bad("a frame length that is negative or above the limit");
  if (framed == Framed::partial) {
    if (isSelfContained_) return bad("a self-contained segment that ends inside a frame");
    return framed;
  }
  consumed_ += kHeaderSize + result.body.size();
  // The last segment of a split frame must end with the frame.
  if (!isSelfContained_ && consumed_ < buffer_.size())
    return bad("a segment with data after the end of a split frame");
  return framed;
}

void Framing::put(std::string& out, bool isResponse, int version, std::uint8_t flags,
                  std::int16_t stream, Opcode opcode, std::string_view body) const {
  if (!usesSegments_) {
    putBare(out, isResponse, version, flags, stream, opcode, body);
    return;
  }
  std::string frame = encodeFrame(isResponse, version, flags, stream, opcode, body);
  addSegments(out, frame, kMaxSegmentPayload, isCompressing_);
}

void Framing::putBare(std::string& out, bool isResponse, int version, std::uint8_t flags,
                      std::int16_t stream, Opcode opcode, std::string_view body) const {
  // STARTUP, OPTIONS and bodies too short to benefit aren't compressed.
  bool mayCompress = opcode != Opcode::startup && opcode != Opcode::options;
  std::string compressed;
  if (isCompressing_ && mayCompress && body.size() > kMaxUncompressedBody) {
    addInt(compressed, static_cast<std::int32_t>(body.size()));
    compressed += compressBlock(body);
    body = compressed;
    flags = static_cast<std::uint8_t>(flags | kCompressed);
  }
  addHeader(out, isResponse, version, flags, stream, opcode, body.size());
  out += body;
}

}  // namespace reedchute::cql
