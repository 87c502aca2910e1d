// The disruptions ("troubles") of a run: drawn from its seed, two or three at a time, each of
// them ending after some time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "fleet.h"

namespace soak {

class Troubles {
 public:
  Troubles(Fleet& fleet, std::uint64_t seed);

  // Injects disruptions for so long, then waits until the scheduled ends of all of them have run.
  void run(std::int64_t seconds);
  // Whether the wall clock of any front was stepped.
  bool hasSteppedClocks() const { return hasSteppedClocks_; }

 private:
  struct Trouble {
    const char* name;
    void (Troubles::*begin)();
  };

  void injectSome();
  void runUntil(std::int64_t untilUs);
  void schedule(std::int64_t us, std::function<void()> what);
  unsigned below(unsigned n) { return static_cast<unsigned>(random_() % n); }
  std::int64_t between(std::int64_t leastMs, std::int64_t mostMs);  // in microseconds
  int anyFront() { return static_cast<int>(below(static_cast<unsigned>(fleet_.options().fronts))); }
  int anyStore();
  int anyReplica();
  StoreControl& store(int k) { return fleet_.control().stores[k]; }
  void setTemporarily(std::atomic<int>& what, int value, std::int64_t us);
  void setTemporarily(std::atomic<bool>& what, std::int64_t us);
  void shutDown(int front);
  void sendFurtherSignals(int front);
  void suspend(int front);
  void restartAfterExit(int front);
  void restartAfterExit(int front, int starts);

  // Disruptions of fronts.
  void terminateFront();
  void killFront();
  void terminateFrontsInTurn();
  void reloadFront();
  void reloadAllFronts();
  void suspendRepeatedly();
  void stepClock();
  void failAccepts();
  void failSystemCalls();
  // Disruptions of stores.
  void restartStore();
  void hangStores();
  void blackholeStore();
  void resetConnections();
  void resetAllConnections();
  void closeIdleConnections();
  void delayConnections();
  void failStatements();
  void freezeLog();
  void changePrimary();
  void drainReplica();
  void addStore();
  // Disruptions of the endpoint list service.
  void stallList();
  void refuseList();
  void slowDownList();
  void resetListConnections();
  // Client behaviour, and combinations of several disruptions.
  void disconnectClients();
  void pipelineStatements();
  void sendMalformedMessages();
  void removeThinkTime();
  void openIdleConnections();
  void disconnectFromSuspendedFront();
  void terminateSuspendedFront();
  void terminateUnderLoad();
  void terminateAfterStart();

  static const Trouble kAll[];
  Fleet& fleet_;
  std::mt19937_64 random_;
  std::multimap<std::int64_t, std::function<void()>> scheduled_;
  std::map<int, std::int64_t> suspendedAt_;
  bool hasSteppedClocks_ = false;
};

}  // namespace soak
