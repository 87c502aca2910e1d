// The processes of one run: fronts with the fault library, stores, proxies, the list's service and
// clients.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control.h"
#include "peers.h"
#include "record.h"

namespace soak {

struct FleetOptions {
  std::string program, library, folder;
  std::uint64_t seed = 0;
  int fronts = 4, groups = 2, storesPerGroup = 4, spareStores = 6, clientProcesses = 6;
  // Of the fronts' settings.
  int descriptors = 256, repeatWindowMs = 1'000, mostAttempts = 4, drainGraceMs = 250;
  bool secondCopies = true, mayCancel = true, asksForList = false;
  // Of the clients.
  int threadsPerProcess = 4, thinkUs = 20'000;
};

class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts everything, and returns once each front answers; false where one doesn't in 30 s.
  bool begin();
  // Takes up which processes have ended.
  void reap();
  // Clients ask nothing new, and the fronts end as they do for a restart; false where something
  // stays.
  bool finish();

  void startStore(int store, bool withOldData);
  void killStore(int store);
  void changed(int store);  // what the list says of it
  void drain(int store);
  void makePrimary(int store);
  // The next store that was never used; -1: none is left.
  int nextSpare(int group);

  void startFront(int front);
  void terminateFront(int front);
  // `overdue`: as it has not ended by itself in its time.
  void killFront(int front, bool overdue = false);
  void stopFront(int front, bool stopped);
  // Writes its configuration, with either agent for its list, and tells it to read that.
  void reloadFront(int front, int agent);
  // Sends SIGTERM once more.
  void signalAgain(int front);
  // Has it been told to end in this life?
  bool frontIsEnding(int front) const { return fronts_[static_cast<std::size_t>(front)].isEnding; }
  bool frontRuns(int front) const { return fronts_[static_cast<std::size_t>(front)].pid > 0; }
  int frontStarts(int front) const { return fronts_[static_cast<std::size_t>(front)].starts; }
  std::int64_t frontEndedAt(int front) const {
    return fronts_[static_cast<std::size_t>(front)].endedAt;
  }

  Control& control() { return *control_; }
  FrontControl& faults(int front) { return *fronts_[static_cast<std::size_t>(front)].faults; }
  const FleetOptions& options() const { return options_; }
  int storesStarted() const { return control_->storeCount; }
  bool storeRuns(int store) const { return storePids_.contains(store); }
  const Recorder& recorder() const { return recorder_; }

 private:
  struct FrontProcess {
    pid_t pid = -1;
    std::int64_t endedAt = 0;
    int starts = 0;
    bool isEnding = false;
    FrontControl* faults = nullptr;
    std::string faultsPath, configPath;
    int agentPorts[2] = {0, 0};
    int agent = 0;
  };

  template <class F>
  pid_t forkPeer(F run);
  std::string settings() const;
  std::string path(const std::string& name) const { return options_.folder + "/" + name; }
  void configure(int front);
  bool answers(int front) const;
  FrontProcess& frontAt(int k) { return fronts_[static_cast<std::size_t>(k)]; }

  FleetOptions options_;
  Control* control_;
  Recorder recorder_;
  std::vector<FrontProcess> fronts_;
  std::map<int, pid_t> storePids_;
  std::vector<pid_t> peers_, clients_;
};

}  // namespace soak
