#include "protocols/postgres/message_buffer.h"

#include <string_view>
#include <utility>

namespace reedchute::protocols::postgres {
namespace {

// Bytes of parameters and notices in one response, or between two.
constexpr std::size_t kMaxUnrequested = 64 * 1024;
constexpr std::size_t kUsualTail = 256;  // bytes that follow a row

}  // namespace

// A row says early how long it is: its place is taken once, and not again and again as it grows.
std::size_t MessageBuffer::reserveMessage() {
  std::size_t whole = keptSize_ + pg::statedSize(std::string_view(bytes_).substr(keptSize_));
  if (whole > bytes_.capacity()) bytes_.reserve(whole + kUsualTail);
  return whole;
}

// Parameters and notices without end, as fast as they can be read, would have this thread for
// themselves.
MessageBuffer::Peek MessageBuffer::peek(pg::Message& message) {
  Peek result = parse(message);
  if (result == Peek::message && (message.type == 'S' || message.type == 'N'))
    unrequestedBytes_ += message.whole.size();
  return unrequestedBytes_ > kMaxUnrequested ? Peek::malformed : result;
}

MessageBuffer::Peek MessageBuffer::parse(pg::Message& message) {
  peekedSize_ = 0;
  std::string_view rest = std::string_view(bytes_).substr(keptSize_);
  if (!pg::storeMessageMayFollow(rest, maxRowBytes_)) return Peek::malformed;
  switch (pg::frame(rest, maxRowBytes_, message)) {
    case pg::Framed::whole:
      peekedSize_ = message.whole.size();
      return pg::wellFormed(message) ? Peek::message : Peek::malformed;
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
