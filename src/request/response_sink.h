// The interface through which the pipeline delivers the final response of a statement.
#pragma once

#include <optional>

#include "base/time.h"
#include "request/response.h"

namespace reedchute::request {

// Implemented by the client connection that submitted the statement. Exactly one of onCompleted(),
// onRejected() and onAborted() is called for each statement whose client stays connected.
// `requestId` is the value that the connection passed to StatementHandler::admit().
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // `store` sent the response; `position` is the replication position that it stated with it, which
  // may be ahead of this machine's clock.
  virtual void onCompleted(int requestId, Response response, int store,
                           std::optional<WallTime> position) = 0;
  // No attempt of the statement has run. The client may retry it after `retryAfter`.
  virtual void onRejected(int requestId, Duration retryAfter) = 0;
  // The statement may have run.
  virtual void onAborted(int requestId) = 0;
  virtual bool isClientGone() const = 0;
};

}  // namespace reedchute::request
