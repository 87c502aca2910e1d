// Tests the decisions about zones with the proxy's own modules: the EvacuationController on given
// counters, operators' commands, and the encoding of reports. Fleets are tested in
// zones_fleet_test.cpp.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "gossip_network.h"
#include "trace.h"
#include "zones/zone_coordinator.h"

using namespace reedchute;
using namespace reedchute::zones;
using test::Case;
using test::GossipNetwork;
using test::ms;
using test::runCase;

namespace {

// ---- decisions on given counters ----

ZoneCounters healthyZone(int n = 12) {
  return {.answers = n, .healthy = 4, .groups = 4};
}
ZoneCounters goneZone(int n = 12) {
  return {.failed = n, .consecutiveFailures = n, .unhealthy = 4, .unhealthyGroups = 4, .groups = 4};
}
ZoneCounters lateZone(int n = 12) {
  return {.answers = n, .late = n / 2, .healthy = 4, .groups = 4};
}
ZoneCounters oneGroupFailed() {
  return {
      .answers = 2, .failed = 10, .healthy = 1, .unhealthy = 3, .unhealthyGroups = 1, .groups = 4};
}

// The controller of one proxy in zone a, with given reports of itself and its peers.
struct ControllerFixture {
  explicit ControllerFixture(EvacuationPolicy policy = {}, const std::string& zone = "a")
      : controller(policy, "me", zone) {
    own.zone = zone;
  }
  ZoneReport own;
  std::vector<AgedReport> peerReports;
  EvacuationController controller;
  TimePoint now{1'000'000'000};
  std::size_t liveProxies = 30;
  std::map<std::string, int> storesByZone{{"a", 4}, {"b", 4}, {"c", 4}};
  bool isDegraded = false;

  void addPeerReports(int count, const std::string& zone,
                      std::map<std::string, ZoneCounters> counters, Duration age = ms(200),
                      bool degraded = false) {
    for (int k = 0; k < count; ++k)
      peerReports.push_back({{.zone = zone,
                              .isDegraded = degraded,
                              .statementsPerSecond = 10,
                              .headroom = 0.5,
                              .zones = counters},
                             age});
  }
  void runFor(Duration span) {
    for (TimePoint end = now + span; now < end;) {
      RoundInput input;
      input.liveProxies = liveProxies,
      input.liveProxiesInZone = std::max<std::size_t>(1, liveProxies / 3),
      input.isAlone = peerReports.empty(), input.isDegraded = isDegraded;
      input.own = &own, input.storesByZone = storesByZone;
      for (const AgedReport& t : peerReports) input.others.push_back(&t);
      controller.decide(input, now);
      now = now + ms(100);
    }
  }
  void printZones(const char* what) {
    std::printf("%s:", what);
    for (const auto& [zone, z] : controller.zones()) {
      std::printf(" %s %s", zone.c_str(), nameOf(z.status));
      if (z.status != ZoneStatus::active)
        std::printf(" (%s, share %.2f)", nameOf(z.cause), z.share);
    }
    std::printf("\n");
  }
};

void checkVerdicts() {
  auto checkVerdict = [](const char* what, const std::function<void(ControllerFixture&)>& setUp,
                         EvacuationPolicy policy = {}) {
    ControllerFixture s(policy);
    s.runFor(ms(100));
    setUp(s);
    s.runFor(ms(1000));
    s.printZones(what);
  };
  std::map<std::string, ZoneCounters> bGone{
      {"a", healthyZone()}, {"b", goneZone()}, {"c", healthyZone()}},
      fine{{"a", healthyZone()}, {"b", healthyZone()}, {"c", healthyZone()}};
  checkVerdict("all is well", [&](ControllerFixture& s) {
    s.own.zones = fine, s.addPeerReports(9, "a", fine), s.addPeerReports(9, "c", fine);
  });
  checkVerdict("b is gone for all", [&](ControllerFixture& s) {
    s.own.zones = bGone, s.addPeerReports(9, "a", bGone), s.addPeerReports(9, "c", bGone);
  });
  checkVerdict("b can't be reached from here", [&](ControllerFixture& s) {
    s.own.zones = bGone, s.addPeerReports(9, "a", bGone), s.addPeerReports(9, "c", fine);
  });
  checkVerdict("c's fronts can't reach b, ours can", [&](ControllerFixture& s) {
    s.own.zones = fine, s.addPeerReports(9, "a", fine), s.addPeerReports(9, "c", bGone);
  });
  checkVerdict("one of ten finds it gone",
               [&](ControllerFixture& s) { s.own.zones = bGone, s.addPeerReports(9, "a", fine); });
  checkVerdict("two find it gone, nobody else can tell: no quorum",
               [&](ControllerFixture& s) { s.own.zones = bGone, s.addPeerReports(1, "a", bGone); });
  checkVerdict("nine do, but what they say is old", [&](ControllerFixture& s) {
    s.own.zones = bGone, s.addPeerReports(9, "a", bGone, ms(5000));
  });
  checkVerdict("nine do, each doubts itself", [&](ControllerFixture& s) {
    s.own.zones = bGone, s.addPeerReports(9, "a", bGone, ms(200), true);
  });
  checkVerdict("nine do, and this front doubts itself", [&](ControllerFixture& s) {
    s.isDegraded = true, s.own.zones = bGone, s.addPeerReports(9, "a", bGone);
  });
  checkVerdict("alone", [&](ControllerFixture& s) { s.own.zones = bGone; });
  std::map<std::string, ZoneCounters> group{
      {"a", healthyZone()}, {"b", oneGroupFailed()}, {"c", healthyZone()}};
  checkVerdict("one group's stores are ill",
               [&](ControllerFixture& s) { s.own.zones = group, s.addPeerReports(9, "a", group); });
  std::map<std::string, ZoneCounters> all{{"a", goneZone()}, {"b", goneZone()}, {"c", goneZone()}},
      slow{{"a", lateZone()}, {"b", lateZone()}, {"c", lateZone()}};
  checkVerdict("this front finds all ill, others none",
               [&](ControllerFixture& s) { s.own.zones = all, s.addPeerReports(9, "a", fine); });
  checkVerdict("all find all ill", [&](ControllerFixture& s) {
    s.own.zones = all, s.addPeerReports(9, "a", all), s.addPeerReports(9, "c", all);
  });
  checkVerdict("everything is overloaded", [&](ControllerFixture& s) {
    s.own.zones = slow, s.addPeerReports(9, "a", slow), s.addPeerReports(9, "c", slow);
  });
  std::map<std::string, ZoneCounters> grey{
      {"a", healthyZone()}, {"b", lateZone()}, {"c", healthyZone()}};
  checkVerdict("b is grey, half of the others' room is left", [&](ControllerFixture& s) {
    s.own.zones = grey, s.own.headroom = 0.5, s.addPeerReports(9, "a", grey);
  });
  checkVerdict("b is grey, a tenth of it", [&](ControllerFixture& s) {
    s.own.zones = grey, s.own.headroom = 0.1, s.addPeerReports(9, "a", grey);
    for (AgedReport& t : s.peerReports) t.report.headroom = 0.1;
  });
  checkVerdict("b is grey, no room at all", [&](ControllerFixture& s) {
    s.own.zones = grey, s.own.headroom = 0, s.addPeerReports(9, "a", grey);
    for (AgedReport& t : s.peerReports) t.report.headroom = 0;
  });
  std::map<std::string, ZoneCounters> two{
      {"a", healthyZone()}, {"b", goneZone()}, {"c", goneZone(9)}};
  checkVerdict("b and c are gone, one may be left",
               [&](ControllerFixture& s) { s.own.zones = two, s.addPeerReports(9, "a", two); });
  EvacuationPolicy both;
  both.maxEvacuated = 2;
  checkVerdict(
      "b and c are gone, two may be left",
      [&](ControllerFixture& s) { s.own.zones = two, s.addPeerReports(9, "a", two); }, both);
  checkVerdict(
      "all three but for a, which is the last",
      [&](ControllerFixture& s) {
        std::map<std::string, ZoneCounters> here{{"a", goneZone()}, {"b", healthyZone()}};
        s.storesByZone = {{"a", 4}}, s.own.zones = here, s.addPeerReports(9, "a", here);
      },
      both);
  std::map<std::string, ZoneCounters> left = fine;
  left["b"] = {
      .status = ZoneStatus::evacuated, .timeInStatus = ms(9000), .share = 0, .failedRecoveries = 3};
  checkVerdict("a front that has just come sees nothing yet, the others have left b",
               [&](ControllerFixture& s) { s.addPeerReports(9, "a", left); });
}

void checkRecoveries() {
  ControllerFixture s;
  std::map<std::string, ZoneCounters> bGone{
      {"a", healthyZone()}, {"b", goneZone()}, {"c", healthyZone()}},
      fine{{"a", healthyZone()}, {"b", healthyZone()}, {"c", healthyZone()}};
  auto setReports = [&](const std::map<std::string, ZoneCounters>& counters) {
    s.peerReports.clear(), s.own.zones = counters, s.addPeerReports(9, "a", counters);
  };
  s.runFor(ms(100));
  auto b = [&] { return s.controller.find("b"); };
  auto runUntil = [&](ZoneStatus status) {
    TimePoint from = s.now;
    while (b()->status != status && s.now - from < ms(200'000)) s.runFor(ms(100));
    return static_cast<int>((s.now - from).us / 1000);
  };
  setReports(bGone);
  std::printf("left after %d ms\n", runUntil(ZoneStatus::evacuated));
  s.runFor(ms(3000));
  setReports(fine);
  std::printf("it answers: taken back after %d ms,", runUntil(ZoneStatus::recovering));
  std::printf(" with a share of %.3f\n", b()->share);
  for (int k = 0; k < 4; ++k)
    s.runFor(ms(2000)), std::printf("  two seconds on: %.2f\n", b()->share);
  s.runFor(ms(200));
  std::printf("then it is %s\n", nameOf(b()->status));
  for (int k = 0; k < 4; ++k) {
    setReports(bGone);
    runUntil(ZoneStatus::evacuated);
    int failedRecoveries = b()->failedRecoveries;
    setReports(fine);
    std::printf("it falls %s: taken back after %d ms\n",
                failedRecoveries ? "on its way back" : "again", runUntil(ZoneStatus::recovering));
    s.runFor(ms(1000));
  }
  runUntil(ZoneStatus::active);
  s.runFor(ms(61'000));
  std::printf("it has stood for a minute: returns gone wrong %d\n", b()->failedRecoveries);
}

void checkCommands() {
  ControllerFixture s;
  std::map<std::string, ZoneCounters> fine{
      {"a", healthyZone()}, {"b", healthyZone()}, {"c", healthyZone()}},
      bGone = fine;
  bGone["b"] = goneZone();
  s.own.zones = fine, s.addPeerReports(9, "a", fine);
  s.runFor(ms(200));
  auto issueCommand = [&](const char* zone, Command o, std::uint64_t generation, const char* by) {
    std::string why;
    bool isAccepted = s.controller.command(zone, {o, generation, by, {}}, why);
    s.runFor(ms(200));
    std::printf("%s says %s of %s, generation %d: %s\n", by, nameOf(o), zone,
                static_cast<int>(generation), isAccepted ? "taken" : why.c_str());
    s.printZones("  so");
  };
  issueCommand("b", Command::evacuate, 1, "anna");
  issueCommand("b", Command::restore, 1, "bert");
  issueCommand("c", Command::evacuate, 1, "anna");
  issueCommand("d", Command::evacuate, 1, "anna");
  issueCommand("b", Command::restore, 2, "bert");
  issueCommand("b", Command::evacuate, 1, "anna");
  s.runFor(ms(10'000));
  s.printZones("later");
  issueCommand("b", Command::freeze, 3, "anna");
  s.peerReports.clear(), s.own.zones = bGone, s.addPeerReports(9, "a", bGone);
  s.runFor(ms(2000));
  s.printZones("b is gone, and held as it is");
  issueCommand("b", Command::none, 4, "anna");
  s.runFor(ms(1000));
  s.printZones("the hold has ended");
}

void checkReportCodec() {
  ZoneReport s{.zone = "a",
               .isDegraded = true,
               .statementsPerSecond = 12.3,
               .headroom = 0.5,
               .zones = {{"b", lateZone()}, {"c", goneZone()}}};
  s.zones["b"].status = ZoneStatus::recovering, s.zones["b"].share = 0.25,
  s.zones["b"].failedRecoveries = 2, s.zones["b"].timeInStatus = ms(1234);
  ZoneReport decoded;
  std::printf("three zones fit a note: %s\n",
              encodeReport(s).size() <= membership::GossipStateTable::Limits{}.maxPayloadBytes
                  ? "yes"
                  : "no");
  // Hundreds of stores in zones with names as long as a cloud provider's, all of them failing.
  ZoneReport largest{.zone = "eu-central-1a",
                     .isDegraded = true,
                     .statementsPerSecond = 320,
                     .headroom = 0.5,
                     .zones = {}};
  for (char k = 'a'; k <= 'p'; ++k)
    largest.zones[std::string("eu-central-1") + k] = {
        400, 400, 400, 400, 400, 400, 400, 400, ZoneStatus::evacuated, ms(100'000), 0.5, 9};
  membership::GossipStateTable states("f1", 1, {}, 1);
  std::printf(
      "sixteen with long names and many stores, too: %s\n",
      states.merge({"f2", 1, 1, 0, Duration{}, encodeReport(largest)}, Duration{}, TimePoint{})
          ? "yes"
          : "no");
  std::printf("read back: %s\n",
              decodeReport(encodeReport(s), decoded) && encodeReport(decoded) == encodeReport(s)
                  ? "the same"
                  : "?");
  std::string bytes = encodeReport(s);
  int invalidCounts = 0;
  for (std::size_t k = 0; k < bytes.size(); ++k) decodeReport(bytes.substr(0, k), decoded);
  std::ranlux24_base random(7);
  for (int k = 0; k < 50'000; ++k) {
    std::string corrupted = bytes;
    for (int n = 0; n < 3; ++n)
      corrupted[random() % corrupted.size()] = static_cast<char>(random() & 0xff);
    if (!decodeReport(corrupted, decoded)) continue;
    for (const auto& [zone, z] : decoded.zones)
      invalidCounts += z.answers < 0 || z.late > z.answers || z.share < 0 || z.share > 1 ||
                       z.timeInStatus < Duration{} || z.unhealthyGroups > z.groups;
  }
  std::printf("cut and hurt ones: none with senseless counts: %s\n",
              invalidCounts == 0 ? "yes" : "no");
}

const Case kCases[] = {{"zonesVerdicts", checkVerdicts},
                       {"zonesReturns", checkRecoveries},
                       {"zonesCommands", checkCommands},
                       {"zonesSights", checkReportCodec}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}
