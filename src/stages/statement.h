// What the front holds of a statement from the moment it is taken until nothing of it is out.
#pragma once

#include <string>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "peers/stores.h"

namespace reedchute::stages {

// The ids of statements that are owed an answer.
using OpenIds = std::unordered_set<std::string>;

// The client connection that a statement came on.
class Asker {
 public:
  virtual ~Asker() = default;
  virtual void answer(std::string bytes) = 0;  // the final one, up to and with ReadyForQuery
};

struct Statement {
  Asker* asker = nullptr;  // none once it is answered or its client has gone
  std::string id, text;    // as they came
  std::size_t waitAt = 0, waitSize = 0;
  bool open = false;
  int out = 0;
  std::vector<peers::Job*> jobs;  // by the execution's number; none where it has ended
  std::vector<int> stores;        // that they were for
};

}  // namespace reedchute::stages
