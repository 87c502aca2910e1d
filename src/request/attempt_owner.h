// Interface implemented by the component that submits requests to the connection pools.
#pragma once

#include "base/time.h"
#include "request/upstream_request.h"

namespace reedchute::request {

class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  // Whether a response to the request is still needed.
  virtual bool isWanted(const UpstreamRequest& request) const = 0;
  // Whether the store may go on executing the request after the request has ended. False while
  // another attempt of its statement may follow that must not be out at the same time.
  virtual bool mayOutliveRequest(const UpstreamRequest& request) const = 0;
  // Called immediately before the first byte is written; the request is written only if this
  // returns true.
  virtual bool maySend(const UpstreamRequest& request, TimePoint now) = 0;
  // Called exactly once for each request, after its outcome has been set.
  virtual void onRequestEnded(UpstreamRequest& request) = 0;
};

}  // namespace reedchute::request
