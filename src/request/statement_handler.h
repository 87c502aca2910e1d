// The interface to which client connections submit decoded statements.
#pragma once

#include "base/time.h"
#include "request/received_statement.h"
#include "request/response_sink.h"

namespace reedchute::request {

class StatementHandler {
 public:
  virtual ~StatementHandler() = default;
  // Returns the statement's index, or -1 if it was rejected at once, through `sink`.
  virtual int admit(ReceivedStatement statement, ResponseSink& sink, int requestId) = 0;
  // The client disconnected, or doesn't need the response any more.
  virtual void onClientLeft(int statement) = 0;
  // Whether there is enough memory for a client to have more than one statement open.
  virtual bool hasCapacity() const = 0;
  // False if a statement received at this time arrived too late after the shutdown signal.
  virtual bool acceptsReceivedAt(TimePoint receivedAt) const = 0;
};

}  // namespace reedchute::request
