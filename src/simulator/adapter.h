// Runs instances of the decision engine behind the simulator's line protocol. Lines arrive in
// batches that start with TURN and end with GO. Each line is translated into an engine call; at the
// end of a batch, the engines' decisions are written as the lines of the reply.
#pragma once

#include <cstdint>
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

  // Handles one line, without its newline. Returns true if the line ended a batch; `reply` then
  // contains the output of the batch. Throws InvalidInput if the line is malformed.
  bool onLine(std::string_view text, std::string& reply);
  bool isInsideBatch() const { return inBatch_; }

 private:
  struct ListEntry {
    std::string store;
    std::string zone;
    EndpointStatus listed = EndpointStatus::up;
    bool primary = false;
    std::int64_t group = 0;
    double weight = 1;
    std::int64_t started = 0;
  };
  // An endpoint list, stored by SHEET. Later REGISTRY messages refer to it by its number.
  struct StoredList {
    std::vector<ListEntry> entries;
    bool isKnown = false;
  };
  struct Handler {
    std::string_view message;
    void (Adapter::*handle)();
  };

  static const std::vector<Handler>& handlers();

  void beginBatch();
  void endBatch(std::string& reply);
  void onMessage();
  void onListEntry();

  void onInstanceStarted();
  void onInstanceStopped();
  void onStatementArrived();
  void onAttemptEnded();
  void onResponseBegan();
  void onClientClosed();
  void onProbeEnded();
  void onWake();
  void onListStored();
  void onListDelivered();
  void onPeerMessage();

  Instance& selectInstance();
  int instanceNumber() const;
  ReplicaReport replicaReport(const Instance& target, std::size_t field) const;

  WireLine line_;
  bool inBatch_ = false;
  TimePoint now_;
  std::int64_t lastClock_ = 0;
  std::map<int, std::unique_ptr<Instance>> instances_;  // by number
  std::vector<StoredList> lists_;                       // by number
  std::size_t currentList_ = 0;                         // list that receives the next entries
  std::size_t remainingEntries_ = 0;                    // entries not yet received of that list
  std::vector<int> activeInstances_;  // instances with an event in this batch, in order of arrival
};

}  // namespace reedchute::simulator
