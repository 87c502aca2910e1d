// Stage 5, relay: the one final answer that a client gets.
#pragma once

#include "stages/statement.h"

namespace reedchute::stages {

class Relay {
 public:
  // What a store gave for this very statement.
  void completed(Statement& st, exchange::Job& job);
  void rejected(Statement& st, Span comeBack);
  void aborted(Statement& st);
};

}  // namespace reedchute::stages
