// Enters decoded statements into the statement table and announces them to the engine.
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

  // Returns the statement's index. Its final response goes to `sink`.
  int admit(request::ReceivedStatement received, request::ResponseSink& sink, int requestId,
            TimePoint now);
  // The client has left: from here on nothing is sent or responded for the statement.
  void withdraw(int index, TimePoint now);

 private:
  DecisionEngine& engine_;
  StatementTable& statements_;
  RoundTrigger& rounds_;
};

}  // namespace reedchute::pipeline
