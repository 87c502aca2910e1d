// The interface of whoever submits requests to the connection pools.
#pragma once

#include "base/time.h"
#include "request/upstream_request.h"

namespace reedchute::request {

class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  // Is the response still waited for?
  virtual bool isWanted(const UpstreamRequest& request) const = 0;
  // Asked right before the first byte is written; the request is written only where this is true.
  virtual bool maySend(const UpstreamRequest& request, TimePoint now) = 0;
  // Called exactly once for each request.
  virtual void onRequestEnded(UpstreamRequest& request) = 0;
};

}  // namespace reedchute::request
