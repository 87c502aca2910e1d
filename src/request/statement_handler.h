// Where client connections submit the statements that they decoded.
#pragma once

#include "base/time.h"
#include "request/received_statement.h"
#include "request/response_sink.h"

namespace reedchute::request {

class StatementHandler {
 public:
  virtual ~StatementHandler() = default;
  // Returns the statement's index, or -1 where it has already been rejected to `sink`.
  virtual int admit(ReceivedStatement statement, ResponseSink& sink, int requestId) = 0;
  // The client has closed its connection, or wants no response any more.
  virtual void onClientLeft(int statement) = 0;
  // Is there memory for a client to have more than one statement open?
  virtual bool hasCapacity() const = 0;
  // False for statements received too late after the signal to shut down.
  virtual bool acceptsReceivedAt(TimePoint receivedAt) const = 0;
};

}  // namespace reedchute::request
