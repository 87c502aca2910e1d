// Adds decoded statements to the statement table and passes them to the decision engine.
#pragma once

#include "decision/engine.h"
#include "pipeline/round_trigger.h"
#include "pipeline/statement_table.h"
#include "request/received_statement.h"

namespace reedchute::pipeline {

class Admission {
 public:
  Admission(DecisionEngine& engine, StatementTable& statements, RoundTrigger& rounds)
      : engine_(engine), statements_(statements), rounds_(rounds) {}

  // Returns the statement's index in the table. Its final response is delivered to `sink`, which
  // assigned `requestId`.
  int admit(request::ReceivedStatement received, request::ResponseSink& sink, int requestId,
            TimePoint now);
  // The client disconnected: no further attempt is sent and no response is delivered.
  void withdraw(int index, TimePoint now);

 private:
  DecisionEngine& engine_;
  StatementTable& statements_;
  RoundTrigger& rounds_;
};

}  // namespace reedchute::pipeline
