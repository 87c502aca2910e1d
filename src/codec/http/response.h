// An incremental reader of HTTP/1.1 responses: bodies by length, chunked, or up to the end of the
// connection. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace reedchute::http {

class Response {
 public:
  enum class State { head, body, chunkSize, chunkData, chunkEnd, trailer, untilEnd, whole, bad };

  explicit Response(std::size_t mostBody) : mostBody_(mostBody) {}

  // Takes bytes and returns how many of them belong to this response.
  std::size_t feed(std::string_view bytes);
  // The connection ended: that is a body's proper end only where nothing else gave its length, and
  // no end where it was reset.
  void ended(bool reset);

  bool whole() const { return state_ == State::whole; }
  bool bad() const { return state_ == State::bad; }
  int status() const { return status_; }
  bool keepsOpen() const { return keepsOpen_; }
  const std::string& body() const { return body_; }
  std::string takeBody() { return std::move(body_); }
  const std::string& why() const { return why_; }

 private:
  bool headLine();
  bool startLine();
  void headEnds();
  void fail(const char* why);
  void append(std::string_view& rest);

  std::size_t mostBody_;
  State state_ = State::head;
  std::string line_, body_, why_;
  int status_ = 0;
  bool started_ = false, chunked_ = false, hasLength_ = false, keepsOpen_ = true;
  std::uint64_t left_ = 0;
  std::size_t headSize_ = 0;
  int interim_ = 0;
};

}  // namespace reedchute::http
