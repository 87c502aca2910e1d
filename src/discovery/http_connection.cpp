#include "discovery/http_connection.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::discovery {
namespace {

// Bytes of a response before others have their turn.
constexpr std::size_t kMaxReadInARow = 64 * 1024;
constexpr Duration kTurnForOthers{1};  // microseconds

}  // namespace

HttpConnection::HttpConnection(runtime::Scheduler& scheduler, sockaddr_in address, std::string host,
                               Limits limits)
    : scheduler_(scheduler), address_(address), host_(std::move(host)), limits_(limits) {}

void HttpConnection::close() {
  if (socket_) socket_->close();
}

void HttpConnection::reset() {
  socket_.reset();
  in_.clear();
}

// The service may have closed the idle connection, or have written to it unasked.
void HttpConnection::closeIfStale() {
  if (!isOpen()) return;
  in_.clear();
  runtime::Socket::ReadStatus got = socket_->read(in_, limits_.maxBodyBytes);
  if (got != runtime::Socket::ReadStatus::noData) socket_->close();
}

runtime::Task<bool> HttpConnection::connect(TimePoint until) {
  in_.clear();
  socket_.emplace(scheduler_, runtime::startConnect(address_));
  TimePoint connectBy = std::min(until, scheduler_.now() + limits_.connectTimeout);
  bool isUp = co_await runtime::awaitConnected(*socket_, connectBy);
  if (!isUp) log::line("discovery_unreachable", "what=\"no connection\"");
  co_return isUp;
}

runtime::Task<std::optional<std::string>> HttpConnection::get(const std::string& path,
                                                              TimePoint until) {
  closeIfStale();
  if (!isOpen()) {
    bool isUp = co_await connect(until);
    if (!isUp) co_return std::nullopt;
  }
  std::string request = "GET " + path + " HTTP/1.1\r\nHost: " + host_ +
                        "\r\nAccept: application/json\r\n\r\n";
  bool isSent = co_await runtime::writeAll(*socket_, request, until);
  if (!isSent) co_return std::nullopt;
  http::Response response(limits_.maxBodyBytes);
  bool hasEnded = co_await readResponse(response, path, until);
  if (!hasEnded) co_return std::nullopt;
  if (response.whole() && !response.keepsOpen()) socket_->close();
  if (!response.whole() || response.status() != 200) {
    log::line("discovery_invalid_response", "status=%d what=\"%s\"", response.status(),
              response.why().c_str());
    co_return std::nullopt;
  }
  co_return response.takeBody();
}

// Reads up to the end of the response, be it good or bad; false where the time came first.
runtime::Task<bool> HttpConnection::readResponse(http::Response& response, const std::string& path,
                                                 TimePoint until) {
  std::size_t readInARow = 0;
  for (;;) {
    readInARow += in_.size();
    in_.erase(0, response.feed(in_));
    if (response.whole() || response.bad()) co_return true;
    // A response without end, as fast as it can be read, would have this thread for itself and
    // never be late.
    if (readInARow > kMaxReadInARow) {
      readInARow = 0;
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + kTurnForOthers);
    }
    runtime::Socket::ReadStatus got = socket_->read(in_, kMaxReadInARow);
    if (!socket_->isOpen()) co_return false;  // close() was called meanwhile
    if (got == runtime::Socket::ReadStatus::closed) {
      response.ended(socket_->wasReset());
      co_return true;
    }
    if (got == runtime::Socket::ReadStatus::data && scheduler_.now() < until) continue;
    bool mayGoOn = false;
    if (got == runtime::Socket::ReadStatus::noData)
      mayGoOn = co_await socket_->readable.wait(until);
    if (!mayGoOn) {
      log::line("discovery_timeout", "path=%s", path.c_str());
      co_return false;
    }
  }
}

}  // namespace reedchute::discovery
