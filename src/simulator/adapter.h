// Hosts instances of the decision engine on the simulator's wire. Lines come in batches, from TURN
// to GO; each line becomes a call of the engine, and at the end of a batch the decisions become the
// lines of the reply.
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

  // Takes one line. Returns true when it ended a batch; `reply` then holds what to write. Throws
  // InvalidInput for a line that can't be read.
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
  // An endpoint list as the wire sends it, ahead of the messages that refer to it by number.
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

  Instance& instance();
  int instanceNumber() const;
  ReplicaReport replicaReport(const Instance& target, std::size_t field) const;

  WireLine line_;
  bool inBatch_ = false;
  TimePoint now_;
  std::int64_t lastClock_ = 0;
  std::map<int, std::unique_ptr<Instance>> instances_;  // by number
  std::vector<StoredList> lists_;                       // by number
  std::size_t openList_ = 0;                            // whose entries come next
  std::size_t missingEntries_ = 0;                      // of the open list
  std::vector<int> touched_;  // instances with an event in this batch, in order
};

}  // namespace reedchute::simulator
