#include "protocols/postgres/message_buffer.h"

#include <string_view>
#include <utility>

namespace reedchute::protocols::postgres {
namespace {

// Bytes of ParameterStatus and NoticeResponse messages within one response or between two.
constexpr std::size_t kMaxUnsolicitedBytes = 64 * 1024;
constexpr std::size_t kTypicalTrailerSize = 256;  // bytes that usually follow a row

}  // namespace

// The header of a row states its length, so its memory is reserved once instead of being
// reallocated repeatedly as the row is received.
std::size_t MessageBuffer::reserveMessage() {
  std::size_t messageEnd = keptSize_ + pg::statedSize(std::string_view(bytes_).substr(keptSize_));
  if (messageEnd > bytes_.capacity()) bytes_.reserve(messageEnd + kTypicalTrailerSize);
  return messageEnd;
}

// A store that sends parameters and notices endlessly, as fast as they can be read, would
// monopolize this thread, so their total size is limited.
MessageBuffer::Peek MessageBuffer::peek(pg::Message& message) {
  Peek result = parse(message);
  if (result == Peek::message && (message.type == 'S' || message.type == 'N'))
    unsolicitedBytes_ += message.whole.size();
  return unsolicitedBytes_ > kMaxUnsolicitedBytes ? Peek::malformed : result;
}

MessageBuffer::Peek MessageBuffer::parse(pg::Message& message) {
  peekedSize_ = 0;
  std::string_view rest = std::string_view(bytes_).substr(keptSize_);
  if (!pg::isServerMessagePrefix(rest, maxRowBytes_)) return Peek::malformed;
  switch (pg::frame(rest, maxRowBytes_, message)) {
    case pg::Framed::whole:
      peekedSize_ = message.whole.size();
      return pg::isWellFormed(message) ? Peek::message : Peek::malformed;
    case pg::Framed::partial:
      return Peek::none;
    default:
      return Peek::malformed;
  }
}

void MessageBuffer::keep() {
  keptSize_ += peekedSize_;
  peekedSize_ = 0;
}

void MessageBuffer::drop() {
  bytes_.erase(keptSize_, peekedSize_);
  peekedSize_ = 0;
}

std::string MessageBuffer::takeKept() {
  std::string rest = bytes_.substr(keptSize_);
  bytes_.resize(keptSize_);
  keptSize_ = 0;
  return std::exchange(bytes_, std::move(rest));
}

void MessageBuffer::discardKept() {
  bytes_.erase(0, keptSize_);
  keptSize_ = 0;
}

}  // namespace reedchute::protocols::postgres
