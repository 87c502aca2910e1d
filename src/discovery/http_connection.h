// GET requests to one HTTP service, one at a time, over one connection that is kept open between
// them. Used by EndpointWatcher.
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

  // The body of a response with status 200, or nothing where none came by `until`; the log then
  // says why. After a failure the connection is to be reset().
  runtime::Task<std::optional<std::string>> get(const std::string& path, TimePoint until);
  // Closes at once; a get() on the way fails.
  void close();
  // Forgets the connection and what came on it; the next get() makes another.
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
  std::string in_;  // read and not yet parsed
};

}  // namespace reedchute::discovery
