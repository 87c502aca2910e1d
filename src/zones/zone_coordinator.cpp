#include "zones/zone_coordinator.h"

#include <utility>

namespace reedchute::zones {
namespace {

constexpr double kRoundsPerLookback = 20;
constexpr double kReportsPerLookback = 8;
constexpr double kRateSmoothing = 0.3;  // weight of the newest measurement

}  // namespace

ZoneCoordinator::ZoneCoordinator(EvacuationPolicy policy, std::string proxyName,
                                 const std::string& ownZone, membership::Gossip& gossip)
    : policy_(policy),
      ownZone_(ownZone),
      gossip_(gossip),
      observer_(policy.lookback),
      controller_(policy, std::move(proxyName), ownZone) {}

double ZoneCoordinator::statementsPerSecond() const {
  double sum = ownReport_.statementsPerSecond;
  for (const auto& [name, peer] : peers_) sum += peer.report.report.statementsPerSecond;
  return sum;
}

void ZoneCoordinator::runRound(TimePoint now) {
  if (now < dueAt_) return;
  dueAt_ = now + policy_.lookback * (1 / kRoundsPerLookback);
  makeOwnReport(now);
  readPeerReports(now);
  controller_.decide(roundInput(), now);
  if (now - publishedAt_ >= policy_.lookback * (1 / kReportsPerLookback)) publish(now);
}

// Returns the exponentially smoothed rate of statements per second.
double ZoneCoordinator::measureRate(TimePoint now) {
  double rate = ownReport_.statementsPerSecond;
  if (rateMeasuredAt_ == kNever) rateMeasuredAt_ = now;
  Duration elapsed = now - rateMeasuredAt_;
  if (elapsed < policy_.lookback * (1 / kReportsPerLookback)) return rate;
  double newest = static_cast<double>(statements_ - statementsAtLastRate_) / elapsed.seconds();
  statementsAtLastRate_ = statements_;
  rateMeasuredAt_ = now;
  return rate + kRateSmoothing * (newest - rate);
}

void ZoneCoordinator::makeOwnReport(TimePoint now) {
  double rate = measureRate(now);
  ownReport_ = ZoneReport{.zone = ownZone_,
                          .isDegraded = gossip_.membership().isLocallyDegraded(now),
                          .statementsPerSecond = rate,
                          .headroom = headroom_,
                          .zones = observer_.counters(now)};
  controller_.addStatusTo(ownReport_, now);
}

void ZoneCoordinator::readPeerReports(TimePoint now) {
  const auto& states = gossip_.states().statesOf(kZoneReportTopic, now);
  std::erase_if(peers_, [&](const auto& item) { return !states.contains(item.first); });
  for (const auto& [origin, state] : states) {
    Peer& peer = peers_[origin];
    readPeerReport(state, peer);
    peer.report.age = now - state.publishedAt;
  }
}

void ZoneCoordinator::readPeerReport(const membership::GossipStateTable::Entry& state, Peer& peer) {
  if (peer.incarnation == state.incarnation && peer.version == state.version) return;
  peer.incarnation = state.incarnation;
  peer.version = state.version;
  if (decodeReport(state.payload, peer.report.report)) return;
  // A report that can't be decoded must not leave the previous one in force.
  peer.report.report = ZoneReport{};
  ++unreadableReports_;
}

RoundInput ZoneCoordinator::roundInput() const {
  const membership::Membership& membership = gossip_.membership();
  RoundInput input;
  input.liveProxies = membership.liveCount();
  for (const auto& [name, member] : membership.members())
    if (member.isCountedLive() && member.latest.zone == ownZone_) ++input.liveProxiesInZone;
  input.isAlone = peers_.empty();
  input.isDegraded = ownReport_.isDegraded;
  input.own = &ownReport_;
  for (const auto& [name, peer] : peers_) input.others.push_back(&peer.report);
  for (const auto& [zone, counters] : ownReport_.zones) {
    int stores = observer_.storesIn(zone);
    if (stores > 0) input.storesByZone[zone] = stores;
  }
  return input;
}

void ZoneCoordinator::publish(TimePoint now) {
  publishedAt_ = now;
  controller_.addStatusTo(ownReport_, now);
  gossip_.states().publish(kZoneReportTopic, encodeReport(ownReport_), now);
}

}  // namespace reedchute::zones
