#include "codec/http/response.h"

#include <algorithm>
#include <cctype>

#include "base/parse_number.h"

namespace reedchute::http {
namespace {

constexpr std::size_t kMostHead = 16 * 1024;
constexpr int kMostInterim = 8;

std::string lower(std::string_view t) {
  std::string s(t);
  for (char& c : s) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return s;
}

std::string_view trimmed(std::string_view t) {
  while (!t.empty() && (t.front() == ' ' || t.front() == '\t')) t.remove_prefix(1);
  while (!t.empty() && (t.back() == ' ' || t.back() == '\t')) t.remove_suffix(1);
  return t;
}

}  // namespace

void Response::fail(const char* why) {
  state_ = State::bad;
  why_ = why;
}

void Response::append(std::string_view& rest) {
  std::size_t n = static_cast<std::size_t>(std::min<std::uint64_t>(left_, rest.size()));
  if (body_.size() + n > mostBody_) return fail("the body is too long");
  body_.append(rest.substr(0, n));
  rest.remove_prefix(n);
  left_ -= n;
}

std::size_t Response::feed(std::string_view bytes) {
  std::string_view rest = bytes;
  while (!rest.empty() && state_ != State::whole && state_ != State::bad) {
    switch (state_) {
      case State::body:
        append(rest);
        if (state_ == State::body && left_ == 0) state_ = State::whole;
        break;
      case State::chunkData:
        append(rest);
        if (state_ == State::chunkData && left_ == 0) state_ = State::chunkEnd;
        break;
      case State::untilEnd:
        left_ = rest.size();
        append(rest);
        break;
      default: {  // a line
        char c = rest[0];
        rest.remove_prefix(1);
        if (++headSize_ > kMostHead) {
          fail("the head is too long");
        } else if (c != '\n') {
          line_.push_back(c);
        } else {
          if (!line_.empty() && line_.back() == '\r') line_.pop_back();
          if (headLine()) line_.clear();
        }
      }
    }
  }
  return bytes.size() - rest.size();
}

void Response::ended(bool reset) {
  if (state_ == State::untilEnd && !reset)
    state_ = State::whole;
  else if (state_ != State::whole && state_ != State::bad)
    fail("the connection ended inside a response");
}

bool Response::headLine() {
  std::optional<std::uint64_t> size;
  switch (state_) {
    case State::head:
      if (!started_) return startLine();
      if (line_.empty()) {
        headEnds();
        return state_ != State::bad;
      }
      break;
    case State::chunkSize:
      headSize_ = 0;
      size = parseNumber<std::uint64_t>(trimmed(std::string_view(line_).substr(0, line_.find(';'))),
                                        16);
      if (!size) {
        fail("a broken chunk size");
        return false;
      }
      left_ = *size;
      state_ = left_ == 0 ? State::trailer : State::chunkData;
      return true;
    case State::chunkEnd:
      headSize_ = 0;
      if (!line_.empty()) {
        fail("a chunk longer than its size");
        return false;
      }
      state_ = State::chunkSize;
      return true;
    case State::trailer:
      if (line_.empty()) state_ = State::whole;
      return true;
    default:
      return true;
  }
  std::size_t colon = line_.find(':');
  if (colon == std::string::npos || colon == 0) {
    fail("a broken header");
    return false;
  }
  std::string name = lower(std::string_view(line_).substr(0, colon));
  std::string_view value = trimmed(std::string_view(line_).substr(colon + 1));
  if (name == "content-length") {
    size = parseNumber<std::uint64_t>(value);
    if (!size || (hasLength_ && *size != left_)) {
      fail("a broken length");
      return false;
    }
    left_ = *size, hasLength_ = true;
  } else if (name == "transfer-encoding") {
    if (lower(value) != "chunked") {
      fail("an unknown transfer encoding");
      return false;
    }
    chunked_ = true;
  } else if (name == "connection") {
    if (lower(value).find("close") != std::string::npos) keepsOpen_ = false;
    if (lower(value).find("keep-alive") != std::string::npos) keepsOpen_ = true;
  }
  return true;
}

bool Response::startLine() {
  std::string_view t = line_;
  auto status = t.size() < 12 ? std::nullopt : parseNumber<int>(t.substr(9, 3));
  if (!status || t.substr(0, 7) != "HTTP/1." || t[8] != ' ' || (t.size() > 12 && t[12] != ' ')) {
    fail("no HTTP response");
    return false;
  }
  status_ = *status;
  keepsOpen_ = t[7] != '0';
  started_ = true;
  return true;
}

void Response::headEnds() {
  headSize_ = 0;
  if (status_ >= 100 && status_ < 200) {  // an interim response: the real one follows
    if (++interim_ > kMostInterim) return fail("interim responses without end");
    started_ = chunked_ = hasLength_ = false;
  } else if (status_ == 204 || status_ == 304) {
    state_ = State::whole;
  } else if (chunked_) {
    state_ = State::chunkSize;
  } else if (hasLength_) {
    state_ = left_ == 0 ? State::whole : State::body;
  } else {
    state_ = State::untilEnd;
    keepsOpen_ = false;
  }
}

}  // namespace reedchute::http
