// Where the pipeline delivers the final response of a statement.
#pragma once

#include <optional>

#include "base/time.h"
#include "request/response.h"

namespace reedchute::request {

// The client connection that admitted a statement. Exactly one of onCompleted(), onRejected() and
// onAborted() is called for each statement whose client stays; `requestId` is the one that the
// connection passed to StatementHandler::admit().
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // `store` gave the response; `position` is the replication position that it reported with it.
  virtual void onCompleted(int requestId, Response response, int store,
                           std::optional<WallTime> position) = 0;
  // Nothing of the statement has run.
  virtual void onRejected(int requestId, Duration retryAfter) = 0;
  // The statement may have run.
  virtual void onAborted(int requestId) = 0;
  virtual bool isClientGone() const = 0;
};

}  // namespace reedchute::request
