// The processes of one soak run: fronts (reedchute processes under test, with the fault library
// preloaded), stores, the fault-injecting proxies before them, the endpoint list service and
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
  // Settings of the fronts.
  int descriptors = 256, deduplicationWindowMs = 1'000, maxAttempts = 4, drainGraceMs = 250;
  bool allowsParallelAttempts = true, mayCancel = true, subscribesToList = false;
  // Settings of the clients.
  int threadsPerProcess = 4, thinkUs = 20'000, writesOneIn = 0;
  StoreTerms storeTerms = {};
  int proxyPollMs = 10;
};

class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all processes and waits until each front answers a query; returns false if one doesn't
  // within 30 s.
  bool start();
  // Collects and records the exits of fronts.
  void reap();
  // Stops the clients, then terminates the fronts by SIGTERM as for a restart, and kills those that
  // don't exit. Returns false if a client process didn't end.
  bool finish();

  void startStore(int store, bool isWarm);
  void killStore(int store);
  // Publishes the present state of a store in the next version of the endpoint list.
  void publishChange(int store);
  void drain(int store);
  void makePrimary(int store);
  // Starts the next spare store in `group` and returns its index, or -1 if none is left.
  int nextSpare(int group);

  void startFront(int front);
  void terminateFront(int front);
  // `overdue`: the front didn't exit in time after SIGTERM.
  void killFront(int front, bool overdue = false);
  // Sends SIGSTOP if `stopped`, SIGCONT otherwise.
  void stopFront(int front, bool stopped);
  // Rewrites the front's configuration with the given agent (0 or 1) of the endpoint list service,
  // and sends SIGHUP.
  void reloadFront(int front, int agent);
  // Sends another SIGTERM, without recording it.
  void signalAgain(int front);
  // Whether SIGTERM was sent to the present process of this front.
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
  bool isAnswering(int front) const;
  FrontProcess& frontAt(int k) { return fronts_[static_cast<std::size_t>(k)]; }

  FleetOptions options_;
  Control* control_;
  Recorder recorder_;
  std::vector<FrontProcess> fronts_;
  std::map<int, pid_t> storePids_;
  std::vector<pid_t> peers_, clients_;
};

}  // namespace soak
