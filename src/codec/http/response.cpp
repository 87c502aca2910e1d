#include "codec/http/response.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include "base/parse_number.h"

namespace reedchute::http {
namespace {

constexpr std::size_t kMaxHeadSize = 16 * 1024;  // bytes, also of the lines between chunks
constexpr int kMaxInterimResponses = 8;
constexpr std::size_t kStatusOffset = 9;  // in "HTTP/1.1 200 OK"
constexpr std::size_t kStatusLength = 3;

std::string lowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

std::string_view trimmed(std::string_view text) {
  auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
  return text;
}

}  // namespace

bool Response::fail(const char* error) {
  state_ = State::failed;
  error_ = error;
  return false;
}

std::size_t Response::feed(std::string_view bytes) {
  std::string_view rest = bytes;
  while (!rest.empty() && !isComplete() && !hasFailed()) {
    switch (state_) {
      case State::body:
        appendBody(rest);
        if (state_ == State::body && bodyLeft_ == 0) state_ = State::complete;
        break;
      case State::chunkData:
        appendBody(rest);
        if (state_ == State::chunkData && bodyLeft_ == 0) state_ = State::chunkEnd;
        break;
      case State::untilClose:
        bodyLeft_ = rest.size();
        appendBody(rest);
        break;
      default:
        appendToLine(rest);
    }
  }
  return bytes.size() - rest.size();
}

void Response::appendBody(std::string_view& rest) {
  auto count = static_cast<std::size_t>(std::min<std::uint64_t>(bodyLeft_, rest.size()));
  if (body_.size() + count > maxBody_) {
    fail("the body is too long");
    return;
  }
  body_.append(rest.substr(0, count));
  rest.remove_prefix(count);
  bodyLeft_ -= count;
}

void Response::appendToLine(std::string_view& rest) {
  char c = rest[0];
  rest.remove_prefix(1);
  if (++headSize_ > kMaxHeadSize) {
    fail("the head is too long");
    return;
  }
  if (c != '\n') {
    line_.push_back(c);
    return;
  }
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  if (readLine()) line_.clear();
}

void Response::onConnectionClosed(bool reset) {
  if (isComplete() || hasFailed()) return;
  if (state_ == State::untilClose && !reset)
    state_ = State::complete;
  else
    fail("the connection ended inside a response");
}

bool Response::readLine() {
  switch (state_) {
    case State::head:
      return readHeadLine();
    case State::chunkSize:
      return readChunkSize();
    case State::chunkEnd:
      headSize_ = 0;
      if (!line_.empty()) return fail("a chunk longer than its size");
      state_ = State::chunkSize;
      return true;
    case State::trailer:
      if (line_.empty()) state_ = State::complete;
      return true;
    default:
      return true;
  }
}

bool Response::readHeadLine() {
  if (!hasStatus_) return readStatusLine();
  if (!line_.empty()) return readHeader();
  endHead();
  return !hasFailed();
}

bool Response::readChunkSize() {
  headSize_ = 0;
  std::string_view digits = std::string_view(line_).substr(0, line_.find(';'));
  auto size = parseNumber<std::uint64_t>(trimmed(digits), 16);
  if (!size) return fail("a broken chunk size");
  bodyLeft_ = *size;
  state_ = bodyLeft_ == 0 ? State::trailer : State::chunkData;
  return true;
}

bool Response::readStatusLine() {
  std::string_view line = line_;
  std::optional<int> status;
  if (line.size() >= kStatusOffset + kStatusLength)
    status = parseNumber<int>(line.substr(kStatusOffset, kStatusLength));
  bool isResponse = status && line.substr(0, 7) == "HTTP/1." && line[8] == ' ' &&
                    (line.size() == 12 || line[12] == ' ');
  if (!isResponse) return fail("no HTTP response");
  status_ = *status;
  isKeptAlive_ = line[7] != '0';
  hasStatus_ = true;
  return true;
}

bool Response::readHeader() {
  std::size_t colon = line_.find(':');
  if (colon == std::string::npos || colon == 0) return fail("a broken header");
  std::string name = lowerCase(std::string_view(line_).substr(0, colon));
  std::string_view value = trimmed(std::string_view(line_).substr(colon + 1));
  if (name == "content-length") return readContentLength(value);
  if (name == "transfer-encoding") {
    if (lowerCase(value) != "chunked") return fail("an unknown transfer encoding");
    isChunked_ = true;
  }
  if (name == "connection") {
    std::string options = lowerCase(value);
    if (options.find("close") != std::string::npos) isKeptAlive_ = false;
    if (options.find("keep-alive") != std::string::npos) isKeptAlive_ = true;
  }
  return true;
}

bool Response::readContentLength(std::string_view value) {
  auto length = parseNumber<std::uint64_t>(value);
  bool contradicts = hasLength_ && length && *length != bodyLeft_;
  if (!length || contradicts) return fail("a broken length");
  bodyLeft_ = *length;
  hasLength_ = true;
  return true;
}

void Response::endHead() {
  headSize_ = 0;
  bool isInterim = status_ >= 100 && status_ < 200;
  bool hasNoBody = status_ == 204 || status_ == 304;
  if (isInterim) {
    if (++interimCount_ > kMaxInterimResponses) {
      fail("interim responses without end");
      return;
    }
    hasStatus_ = false;
    isChunked_ = false;
    hasLength_ = false;
  } else if (hasNoBody) {
    state_ = State::complete;
  } else if (isChunked_) {
    state_ = State::chunkSize;
  } else if (hasLength_) {
    state_ = bodyLeft_ == 0 ? State::complete : State::body;
  } else {
    state_ = State::untilClose;
    isKeptAlive_ = false;
  }
}

}  // namespace reedchute::http
