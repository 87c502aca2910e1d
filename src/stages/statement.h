// What the front holds of a statement from the moment it is taken until nothing of it is out.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "exchange/exchange.h"
#include "guard/attempt_guard.h"

namespace reedchute::stages {

struct Statement {
  exchange::Asker* asker = nullptr;  // none once it is answered or its client has gone
  int ticket = 0;
  std::string id;
  exchange::Speech speech = 0;
  std::unique_ptr<exchange::Request> request;  // as it came
  int workload = -1, group = -1;
  std::string tenant;
  std::uint64_t mark = 0;
  TimePoint giveUpAt;
  bool open = false;
  int out = 0;
  std::vector<exchange::Job*> jobs;  // by the execution's number; none where it has ended
  std::vector<guard::EarlierAttempt> attempts;  // the same, as the guard knows them
  Ending lastEnding = Ending::moot;             // of the attempt that ended last
  TimePoint came;                               // when it was taken
  TimePoint clientLeftAt = kForever;            // when it was seen that its client had gone
};

}  // namespace reedchute::stages
