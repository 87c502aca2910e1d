// An HTTP client for GET requests to one service, one at a time, over a persistent connection. Used
// by EndpointWatcher.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

#include "codec/http/response.h"
#include "runtime/socket.h"

namespace reedchute::discovery {

class HttpConnection {
 public:
  struct Limits {
    Duration connectTimeout;
    std::size_t maxBodyBytes = 0;
  };

  HttpConnection(runtime::Scheduler& scheduler, sockaddr_in address, std::string host,
                 Limits limits);

  // Returns the body of a response with status 200, or nothing if none was received by `until`.
  // Connection errors, timeouts and invalid responses are logged. After a failure, call reset().
  runtime::Task<std::optional<std::string>> get(const std::string& path, TimePoint until);
  // Closes the connection at once; a get() in flight fails.
  void close();
  // Drops the connection and the data received on it; the next get() opens another one.
  void reset();

 private:
  bool isOpen() const { return socket_ && socket_->isOpen(); }
  void closeIfStale();
  runtime::Task<bool> connect(TimePoint until);
  runtime::Task<bool> readResponse(http::Response& response, const std::string& path,
                                   TimePoint until);

  runtime::Scheduler& scheduler_;
  const sockaddr_in address_;
  const std::string host_;
  const Limits limits_;
  std::optional<runtime::Socket> socket_;
  std::string input_;  // received, not parsed yet
};

}  // namespace reedchute::discovery
