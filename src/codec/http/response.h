// An incremental reader of HTTP/1.1 responses: bodies by length, in chunks, or up to the end of the
// connection. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace reedchute::http {

class Response {
 public:
  // `maxBody`: bytes that the body may have.
  explicit Response(std::size_t maxBody) : maxBody_(maxBody) {}

  // Takes bytes and returns how many of them belong to this response.
  std::size_t feed(std::string_view bytes);
  // To be called when the connection has ended. That is a proper end only for a body without a
  // length, and only if the connection was not reset.
  void ended(bool reset);

  bool whole() const { return state_ == State::whole; }
  bool bad() const { return state_ == State::bad; }
  const std::string& why() const { return why_; }  // where it is bad
  int status() const { return status_; }
  // Whether the connection may be used for another request.
  bool keepsOpen() const { return keepsOpen_; }
  const std::string& body() const { return body_; }
  std::string takeBody() { return std::move(body_); }

 private:
  // What the next byte belongs to.
  enum class State { head, body, chunkSize, chunkData, chunkEnd, trailer, untilEnd, whole, bad };

  // These return false once the response is bad.
  bool readLine();
  bool readHeadLine();
  bool readStatusLine();
  bool readHeader();
  bool readContentLength(std::string_view value);
  bool readChunkSize();
  bool fail(const char* why);

  void endHead();
  void appendBody(std::string_view& rest);
  void appendToLine(std::string_view& rest);

  std::size_t maxBody_;
  State state_ = State::head;
  std::string line_;
  std::string body_;
  std::string why_;
  int status_ = 0;
  bool hasStatus_ = false;
  bool isChunked_ = false;
  bool hasLength_ = false;
  bool keepsOpen_ = true;
  std::uint64_t bodyLeft_ = 0;  // bytes of the body or the chunk
  std::size_t headSize_ = 0;    // bytes of lines since the last body or chunk
  int interimCount_ = 0;
};

}  // namespace reedchute::http
