// An incremental parser of HTTP/1.1 responses (RFC 9112). Bodies may be delimited by
// Content-Length, chunked, or end with the connection. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace reedchute::http {

class Response {
 public:
  // `maxBody`: the maximum size of the body in bytes.
  explicit Response(std::size_t maxBody) : maxBody_(maxBody) {}

  // Parses `bytes` and returns how many of them belong to this response.
  std::size_t feed(std::string_view bytes);
  // Must be called when the connection is closed. This completes only a body that is delimited by
  // the end of the connection, and only if the connection was not reset.
  void onConnectionClosed(bool reset);

  bool isComplete() const { return state_ == State::complete; }
  bool hasFailed() const { return state_ == State::failed; }
  const std::string& error() const { return error_; }  // if it has failed
  int status() const { return status_; }
  // Whether the connection can be used for another request.
  bool isKeptAlive() const { return isKeptAlive_; }
  const std::string& body() const { return body_; }
  std::string takeBody() { return std::move(body_); }

 private:
  // The part of the response that the next byte belongs to.
  enum class State {
    head,
    body,
    chunkSize,
    chunkData,
    chunkEnd,
    trailer,
    untilClose,
    complete,
    failed
  };

  // These return false once the response is invalid.
  bool readLine();
  bool readHeadLine();
  bool readStatusLine();
  bool readHeader();
  bool readContentLength(std::string_view value);
  bool readChunkSize();
  bool fail(const char* error);

  void endHead();
  void appendBody(std::string_view& rest);
  void appendToLine(std::string_view& rest);

  std::size_t maxBody_;
  State state_ = State::head;
  std::string line_;
  std::string body_;
  std::string error_;
  int status_ = 0;
  bool hasStatus_ = false;
  bool isChunked_ = false;
  bool hasLength_ = false;
  bool isKeptAlive_ = true;
  std::uint64_t bodyLeft_ = 0;  // of the body or the current chunk
  std::size_t headSize_ = 0;    // bytes of header or chunk lines since the last chunk
  int interimCount_ = 0;
};

}  // namespace reedchute::http
