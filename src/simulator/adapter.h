// Hosts instances of the decision module on the simulator's wire: lines become calls, answers
// become lines.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "decision/engine.h"
#include "simulator/frame.h"

namespace reedchute::simulator {

class Instance;

class Adapter {
 public:
  Adapter();
  ~Adapter();

  // Takes one line; returns true when it ended a batch, and then `reply` holds what to write.
  bool line(std::string_view text, std::string& reply);
  bool insideBatch() const { return inBatch_; }

 private:
  struct ListEntry {
    std::string store, zone;
    EndpointStatus listed = EndpointStatus::up;
    bool primary = false;
    std::int64_t group = 0;
    double weight = 1;
    std::int64_t started = 0;
  };

  void event();
  void listLine();
  Instance& instance();
  void finish(std::string& reply);
  void registry();
  void jobIn();
  void outcome();

  Line line_;
  bool inBatch_ = false;
  TimePoint now_;
  std::int64_t lastClock_ = 0;
  std::map<int, std::unique_ptr<Instance>> instances_;
  std::vector<std::vector<ListEntry>> sheets_;
  std::vector<char> sheetKnown_;
  int sheetOpen_ = -1;
  std::size_t sheetMissing_ = 0;
  std::vector<int> touched_;  // instances with an event in this batch, in order
};

}  // namespace reedchute::simulator
