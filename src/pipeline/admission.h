// Stage 2, admit: gives a statement its index and tells the module of it.
#pragma once

#include "pipeline/statement_table.h"
#include "request/received_statement.h"

namespace reedchute::pipeline {

class Admission {
 public:
  Admission(DecisionEngine& engine, StatementTable& statements)
      : engine_(engine), statements_(statements) {}

  int admit(request::ReceivedStatement taken, request::ResponseSink& sink, int requestId,
            TimePoint now);
  // Its client has left: nothing is sent or answered for it any more.
  void withdraw(int statement, TimePoint now);

 private:
  DecisionEngine& engine_;
  StatementTable& statements_;
};

}  // namespace reedchute::pipeline
