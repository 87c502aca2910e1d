#include "discovery/http_connection.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::discovery {
namespace {

// The number of bytes of a response that are read before other coroutines run.
constexpr std::size_t kMaxReadBeforeYield = 64 * 1024;
constexpr Duration kYieldDelay{1};  // microseconds

}  // namespace

HttpConnection::HttpConnection(runtime::Scheduler& scheduler, sockaddr_in address, std::string host,
                               Limits limits)
    : scheduler_(scheduler), address_(address), host_(std::move(host)), limits_(limits) {}

void HttpConnection::close() {
  if (socket_) socket_->close();
}

void HttpConnection::reset() {
  socket_.reset();
  input_.clear();
}

// The service may have closed the idle connection, or have sent data without a request: after the
// last response, or together with it. What follows such data can't be told from the next response.
void HttpConnection::closeIfStale() {
  if (!isOpen()) return;
  bool hasUnsolicitedData = !input_.empty();
  runtime::Socket::ReadStatus readStatus = socket_->read(input_, limits_.maxBodyBytes);
  if (hasUnsolicitedData || readStatus != runtime::Socket::ReadStatus::noData) socket_->close();
}

runtime::Task<bool> HttpConnection::connect(TimePoint until) {
  input_.clear();
  socket_.emplace(scheduler_, runtime::startConnect(address_));
  TimePoint connectBy = std::min(until, scheduler_.now() + limits_.connectTimeout);
  bool isConnected = co_await runtime::awaitConnected(*socket_, connectBy);
  if (!isConnected) log::line("discovery_unreachable", "what=\"no connection\"");
  co_return isConnected;
}

runtime::Task<std::optional<std::string>> HttpConnection::get(const std::string& path,
                                                              TimePoint until) {
  closeIfStale();
  if (!isOpen()) {
    bool isConnected = co_await connect(until);
    if (!isConnected) co_return std::nullopt;
  }
  std::string request = "GET " + path + " HTTP/1.1\r\nHost: " + host_ +
                        "\r\nAccept: application/json\r\n\r\n";
  bool isSent = co_await runtime::writeAll(*socket_, request, until);
  if (!isSent) co_return std::nullopt;
  http::Response response(limits_.maxBodyBytes);
  bool hasEnded = co_await readResponse(response, path, until);
  if (!hasEnded) co_return std::nullopt;
  if (response.isComplete() && !response.isKeptAlive()) socket_->close();
  if (!response.isComplete() || response.status() != 200) {
    log::line("discovery_invalid_response", "status=%d what=\"%s\"", response.status(),
              response.error().c_str());
    co_return std::nullopt;
  }
  co_return response.takeBody();
}

// Reads until the response is complete or invalid. Returns false if `until` came first or the
// connection was closed by close().
runtime::Task<bool> HttpConnection::readResponse(http::Response& response, const std::string& path,
                                                 TimePoint until) {
  std::size_t readSinceYield = 0;
  for (;;) {
    readSinceYield += input_.size();
    input_.erase(0, response.feed(input_));
    if (response.isComplete() || response.hasFailed()) co_return true;
    // An endless response that arrives as fast as it is read would otherwise occupy the thread and
    // never time out.
    if (readSinceYield > kMaxReadBeforeYield) {
      readSinceYield = 0;
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + kYieldDelay);
    }
    runtime::Socket::ReadStatus readStatus = socket_->read(input_, kMaxReadBeforeYield);
    if (!socket_->isOpen()) co_return false;  // close() was called meanwhile
    if (readStatus == runtime::Socket::ReadStatus::closed) {
      response.onConnectionClosed(socket_->wasReset());
      co_return true;
    }
    if (readStatus == runtime::Socket::ReadStatus::data && scheduler_.now() < until) continue;
    bool isReadable = false;
    if (readStatus == runtime::Socket::ReadStatus::noData)
      isReadable = co_await socket_->readable.wait(until);
    if (!isReadable) {
      log::line("discovery_timeout", "path=%s", path.c_str());
      co_return false;
    }
  }
}

}  // namespace reedchute::discovery
