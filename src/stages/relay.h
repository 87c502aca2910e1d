// Stage 5, relay: the one final answer that a client gets.
#pragma once

#include <string>

#include "stages/statement.h"

namespace reedchute::stages {

class Relay {
 public:
  // The bytes that a store gave for this very statement.
  void completed(Asker& asker, std::string row);
  void rejected(Asker& asker, Span comeBack);
  void aborted(Asker& asker);
};

}  // namespace reedchute::stages
