// One proxy's part in the fleet's decisions about zones: publishes its own report by gossip, reads
// the reports of the other proxies and runs the EvacuationController. Performs no I/O and reads no
// clock; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "membership/gossip.h"
#include "zones/evacuation_controller.h"
#include "zones/zone_observer.h"

namespace reedchute::zones {

inline constexpr int kZoneReportTopic = 0;  // gossip topic of the reports

class ZoneCoordinator {
 public:
  // `gossip` must outlive the coordinator.
  ZoneCoordinator(EvacuationPolicy policy, std::string proxyName, const std::string& ownZone,
                  membership::Gossip& gossip);

  // Adds or updates a store of the endpoint list; an empty zone removes it.
  void setStore(int store, const std::string& zone, int group) {
    observer_.setStore(store, zone, group);
  }
  void observe(int store, ZoneObserver::Observation observation, TimePoint now) {
    observer_.observe(store, observation, now);
  }
  void countStatement() { ++statements_; }
  // Sets the unused fraction of this proxy's capacity, 0 to 1.
  void setHeadroom(double headroom) { headroom_ = headroom; }

  // Updates the own report, reads those of the peers, decides, and publishes if due. Does nothing
  // before dueAt().
  void runRound(TimePoint now);
  TimePoint dueAt() const { return dueAt_; }

  EvacuationController& controller() { return controller_; }
  const EvacuationController& controller() const { return controller_; }
  const ZoneReport& ownReport() const { return ownReport_; }
  // Number of other proxies with a current report.
  std::size_t peerCount() const { return peers_.size(); }
  // Sum over this proxy and those peers.
  double statementsPerSecond() const;
  std::uint64_t unreadableReports() const { return unreadableReports_; }

 private:
  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint32_t version = 0;
    AgedReport report;
  };

  double measureRate(TimePoint now);
  void makeOwnReport(TimePoint now);
  void readPeerReports(TimePoint now);
  void readPeerReport(const membership::GossipStateTable::Entry& state, Peer& peer);
  RoundInput roundInput() const;
  void publish(TimePoint now);

  EvacuationPolicy policy_;
  std::string ownZone_;
  membership::Gossip& gossip_;
  ZoneObserver observer_;
  EvacuationController controller_;
  ZoneReport ownReport_;
  std::map<std::string, Peer> peers_;  // by name
  std::uint64_t statements_ = 0;
  std::uint64_t statementsAtLastRate_ = 0;
  std::uint64_t unreadableReports_ = 0;
  double headroom_ = 1;
  TimePoint dueAt_ = kNever;
  TimePoint publishedAt_ = kNever;
  TimePoint rateMeasuredAt_ = kNever;
};

}  // namespace reedchute::zones
