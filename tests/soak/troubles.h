// The troubles of a run: drawn from its seed, two or three at a time, each with its end.
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

  // Lets them come for so long, then ends all and waits until what they left is healed.
  void run(std::int64_t seconds);
  // Were the wall clocks of fronts stepped?
  bool steppedClocks() const { return stepped_; }

 private:
  struct Trouble {
    const char* name;
    void (Troubles::*begin)();
  };

  void drawSome();
  void pass(std::int64_t untilUs);
  void after(std::int64_t us, std::function<void()> what);
  unsigned below(unsigned n) { return static_cast<unsigned>(chance_() % n); }
  std::int64_t between(std::int64_t leastMs, std::int64_t mostMs);  // in microseconds
  int anyFront() { return static_cast<int>(below(static_cast<unsigned>(fleet_.options().fronts))); }
  int anyStore();
  int anyReplica();
  StoreControl& store(int k) { return fleet_.control().stores[k]; }
  void setFor(std::atomic<int>& what, int value, std::int64_t us);
  void setFor(std::atomic<bool>& what, std::int64_t us);
  void endFront(int front);
  void signalSeries(int front);
  void holdUp(int front);
  void restartOnceEnded(int front);
  void restartOnceEnded(int front, int starts);

  // fronts
  void terminates();
  void killsFront();
  void rollsFronts();
  void reloads();
  void reloadsAll();
  void holdsUp();
  void stepsClock();
  void failsAccepts();
  void failsCalls();
  // stores
  void killsStore();
  void hangsStores();
  void silencesStore();
  void resetsConnections();
  void resetsAll();
  void closesIdle();
  void delaysConnections();
  void failsStatements();
  void freezesLog();
  void changesPrimary();
  void drains();
  void joins();
  // the list
  void silencesList();
  void refusesList();
  void slowsList();
  void resetsList();
  // clients
  void clientsLeave();
  void clientsPipeline();
  void clientsMisbehave();
  void clientsHurry();
  void clientsCrowd();
  void leavesWithReset();
  void endsHeldUp();
  void endsInCrowd();
  void endsAsItServes();

  static const Trouble kAll[];
  Fleet& fleet_;
  std::mt19937_64 chance_;
  std::multimap<std::int64_t, std::function<void()>> later_;
  std::map<int, std::int64_t> heldUpAt_;
  bool stepped_ = false;
};

}  // namespace soak
