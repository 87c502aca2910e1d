// Which zones fronts use, by the very modules that the front runs: first the decision alone, told
// counts, then fleets of it on a network of the test's own, before stores that fall when they are
// overrun.
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
using test::ms;
using test::Net;
using test::runCase;

namespace {

// ---- the decision alone ----

ZoneCounters well(int n = 12) {
  return {.answers = n, .healthy = 4, .groups = 4};
}
ZoneCounters gone(int n = 12) {
  return {.failed = n, .consecutiveFailures = n, .unhealthy = 4, .unhealthyGroups = 4, .groups = 4};
}
ZoneCounters late(int n = 12) {
  return {.answers = n, .late = n / 2, .healthy = 4, .groups = 4};
}
ZoneCounters oneGroup() {
  return {
      .answers = 2, .failed = 10, .healthy = 1, .unhealthy = 3, .unhealthyGroups = 1, .groups = 4};
}

// One front in zone a, told what it and others have seen.
struct Seat {
  explicit Seat(EvacuationPolicy rules = {}, const std::string& zone = "a")
      : zones(rules, "me", zone) {
    own.zone = zone;
  }
  ZoneReport own;
  std::vector<AgedReport> told;
  EvacuationController zones;
  TimePoint now{1'000'000'000};
  std::size_t live = 30;
  std::map<std::string, int> stores{{"a", 4}, {"b", 4}, {"c", 4}};
  bool doubtful = false;

  void others(int n, const std::string& at, std::map<std::string, ZoneCounters> seen,
              Duration age = ms(200), bool doubts = false) {
    for (int k = 0; k < n; ++k)
      told.push_back({{.zone = at,
                       .isDegraded = doubts,
                       .statementsPerSecond = 10,
                       .headroom = 0.5,
                       .zones = seen},
                      age});
  }
  void pass(Duration span) {
    for (TimePoint end = now + span; now < end;) {
      RoundInput v;
      v.liveProxies = live, v.liveProxiesInZone = std::max<std::size_t>(1, live / 3),
      v.isAlone = told.empty(), v.isDegraded = doubtful;
      v.own = &own, v.storesByZone = stores;
      for (const AgedReport& t : told) v.others.push_back(&t);
      zones.decide(v, now);
      now = now + ms(100);
    }
  }
  void say(const char* what) {
    std::printf("%s:", what);
    for (const auto& [zone, z] : zones.zones()) {
      std::printf(" %s %s", zone.c_str(), nameOf(z.status));
      if (z.status != ZoneStatus::active)
        std::printf(" (%s, share %.2f)", nameOf(z.cause), z.share);
    }
    std::printf("\n");
  }
};

void verdicts() {
  auto one = [](const char* what, const std::function<void(Seat&)>& set,
                EvacuationPolicy rules = {}) {
    Seat s(rules);
    s.pass(ms(100));
    set(s);
    s.pass(ms(1000));
    s.say(what);
  };
  std::map<std::string, ZoneCounters> bGone{{"a", well()}, {"b", gone()}, {"c", well()}},
      fine{{"a", well()}, {"b", well()}, {"c", well()}};
  one("all is well",
      [&](Seat& s) { s.own.zones = fine, s.others(9, "a", fine), s.others(9, "c", fine); });
  one("b is gone for all",
      [&](Seat& s) { s.own.zones = bGone, s.others(9, "a", bGone), s.others(9, "c", bGone); });
  one("b can't be reached from here",
      [&](Seat& s) { s.own.zones = bGone, s.others(9, "a", bGone), s.others(9, "c", fine); });
  one("c's fronts can't reach b, ours can",
      [&](Seat& s) { s.own.zones = fine, s.others(9, "a", fine), s.others(9, "c", bGone); });
  one("one of ten finds it gone", [&](Seat& s) { s.own.zones = bGone, s.others(9, "a", fine); });
  one("two find it gone, nobody else can tell: no quorum",
      [&](Seat& s) { s.own.zones = bGone, s.others(1, "a", bGone); });
  one("nine do, but what they say is old",
      [&](Seat& s) { s.own.zones = bGone, s.others(9, "a", bGone, ms(5000)); });
  one("nine do, each doubts itself",
      [&](Seat& s) { s.own.zones = bGone, s.others(9, "a", bGone, ms(200), true); });
  one("nine do, and this front doubts itself",
      [&](Seat& s) { s.doubtful = true, s.own.zones = bGone, s.others(9, "a", bGone); });
  one("alone", [&](Seat& s) { s.own.zones = bGone; });
  std::map<std::string, ZoneCounters> group{{"a", well()}, {"b", oneGroup()}, {"c", well()}};
  one("one group's stores are ill", [&](Seat& s) { s.own.zones = group, s.others(9, "a", group); });
  std::map<std::string, ZoneCounters> all{{"a", gone()}, {"b", gone()}, {"c", gone()}},
      slow{{"a", late()}, {"b", late()}, {"c", late()}};
  one("this front finds all ill, others none",
      [&](Seat& s) { s.own.zones = all, s.others(9, "a", fine); });
  one("all find all ill",
      [&](Seat& s) { s.own.zones = all, s.others(9, "a", all), s.others(9, "c", all); });
  one("everything is overloaded",
      [&](Seat& s) { s.own.zones = slow, s.others(9, "a", slow), s.others(9, "c", slow); });
  std::map<std::string, ZoneCounters> grey{{"a", well()}, {"b", late()}, {"c", well()}};
  one("b is grey, half of the others' room is left",
      [&](Seat& s) { s.own.zones = grey, s.own.headroom = 0.5, s.others(9, "a", grey); });
  one("b is grey, a tenth of it", [&](Seat& s) {
    s.own.zones = grey, s.own.headroom = 0.1, s.others(9, "a", grey);
    for (AgedReport& t : s.told) t.report.headroom = 0.1;
  });
  one("b is grey, no room at all", [&](Seat& s) {
    s.own.zones = grey, s.own.headroom = 0, s.others(9, "a", grey);
    for (AgedReport& t : s.told) t.report.headroom = 0;
  });
  std::map<std::string, ZoneCounters> two{{"a", well()}, {"b", gone()}, {"c", gone(9)}};
  one("b and c are gone, one may be left",
      [&](Seat& s) { s.own.zones = two, s.others(9, "a", two); });
  EvacuationPolicy both;
  both.maxEvacuated = 2;
  one(
      "b and c are gone, two may be left",
      [&](Seat& s) { s.own.zones = two, s.others(9, "a", two); }, both);
  one(
      "all three but for a, which is the last",
      [&](Seat& s) {
        std::map<std::string, ZoneCounters> here{{"a", gone()}, {"b", well()}};
        s.stores = {{"a", 4}}, s.own.zones = here, s.others(9, "a", here);
      },
      both);
  std::map<std::string, ZoneCounters> left = fine;
  left["b"] = {
      .status = ZoneStatus::evacuated, .timeInStatus = ms(9000), .share = 0, .failedRecoveries = 3};
  one("a front that has just come sees nothing yet, the others have left b",
      [&](Seat& s) { s.others(9, "a", left); });
}

void returns() {
  Seat s;
  std::map<std::string, ZoneCounters> bGone{{"a", well()}, {"b", gone()}, {"c", well()}},
      fine{{"a", well()}, {"b", well()}, {"c", well()}};
  auto told = [&](const std::map<std::string, ZoneCounters>& seen) {
    s.told.clear(), s.own.zones = seen, s.others(9, "a", seen);
  };
  s.pass(ms(100));
  auto b = [&] { return s.zones.find("b"); };
  auto until = [&](ZoneStatus stage) {
    TimePoint from = s.now;
    while (b()->status != stage && s.now - from < ms(200'000)) s.pass(ms(100));
    return static_cast<int>((s.now - from).us / 1000);
  };
  told(bGone);
  std::printf("left after %d ms\n", until(ZoneStatus::evacuated));
  s.pass(ms(3000));
  told(fine);
  std::printf("it answers: taken back after %d ms,", until(ZoneStatus::recovering));
  std::printf(" with a share of %.3f\n", b()->share);
  for (int k = 0; k < 4; ++k) s.pass(ms(2000)), std::printf("  two seconds on: %.2f\n", b()->share);
  s.pass(ms(200));
  std::printf("then it is %s\n", nameOf(b()->status));
  for (int k = 0; k < 4; ++k) {
    told(bGone);
    until(ZoneStatus::evacuated);
    int tries = b()->failedRecoveries;
    told(fine);
    std::printf("it falls %s: taken back after %d ms\n", tries ? "on its way back" : "again",
                until(ZoneStatus::recovering));
    s.pass(ms(1000));
  }
  until(ZoneStatus::active);
  s.pass(ms(61'000));
  std::printf("it has stood for a minute: returns gone wrong %d\n", b()->failedRecoveries);
}

void commands() {
  Seat s;
  std::map<std::string, ZoneCounters> fine{{"a", well()}, {"b", well()}, {"c", well()}},
      bGone = fine;
  bGone["b"] = gone();
  s.own.zones = fine, s.others(9, "a", fine);
  s.pass(ms(200));
  auto give = [&](const char* zone, Command o, std::uint64_t generation, const char* by) {
    std::string why;
    bool taken = s.zones.command(zone, {o, generation, by, {}}, why);
    s.pass(ms(200));
    std::printf("%s says %s of %s, generation %d: %s\n", by, nameOf(o), zone,
                static_cast<int>(generation), taken ? "taken" : why.c_str());
    s.say("  so");
  };
  give("b", Command::evacuate, 1, "anna");
  give("b", Command::restore, 1, "bert");
  give("c", Command::evacuate, 1, "anna");
  give("d", Command::evacuate, 1, "anna");
  give("b", Command::restore, 2, "bert");
  give("b", Command::evacuate, 1, "anna");
  s.pass(ms(10'000));
  s.say("later");
  give("b", Command::freeze, 3, "anna");
  s.told.clear(), s.own.zones = bGone, s.others(9, "a", bGone);
  s.pass(ms(2000));
  s.say("b is gone, and held as it is");
  give("b", Command::none, 4, "anna");
  s.pass(ms(1000));
  s.say("the hold has ended");
}

void sights() {
  ZoneReport s{.zone = "a",
               .isDegraded = true,
               .statementsPerSecond = 12.3,
               .headroom = 0.5,
               .zones = {{"b", late()}, {"c", gone()}}};
  s.zones["b"].status = ZoneStatus::recovering, s.zones["b"].share = 0.25,
  s.zones["b"].failedRecoveries = 2, s.zones["b"].timeInStatus = ms(1234);
  ZoneReport got;
  std::printf("three zones fit a note: %s\n",
              encodeReport(s).size() <= membership::GossipStateTable::Limits{}.maxPayloadBytes
                  ? "yes"
                  : "no");
  // Hundreds of stores, zones named as providers name them, all of them ill.
  ZoneReport most{.zone = "eu-central-1a",
                  .isDegraded = true,
                  .statementsPerSecond = 320,
                  .headroom = 0.5,
                  .zones = {}};
  for (char k = 'a'; k <= 'p'; ++k)
    most.zones[std::string("eu-central-1") + k] = {
        400, 400, 400, 400, 400, 400, 400, 400, ZoneStatus::evacuated, ms(100'000), 0.5, 9};
  membership::GossipStateTable notes("f1", 1, {}, 1);
  std::printf("sixteen with long names and many stores, too: %s\n",
              notes.merge({"f2", 1, 1, 0, Duration{}, encodeReport(most)}, Duration{}, TimePoint{})
                  ? "yes"
                  : "no");
  std::printf("read back: %s\n",
              decodeReport(encodeReport(s), got) && encodeReport(got) == encodeReport(s)
                  ? "the same"
                  : "?");
  std::string bytes = encodeReport(s);
  int wild = 0;
  for (std::size_t k = 0; k < bytes.size(); ++k) decodeReport(bytes.substr(0, k), got);
  std::ranlux24_base chance(7);
  for (int k = 0; k < 50'000; ++k) {
    std::string hurt = bytes;
    for (int n = 0; n < 3; ++n) hurt[chance() % hurt.size()] = static_cast<char>(chance() & 0xff);
    if (!decodeReport(hurt, got)) continue;
    for (const auto& [zone, z] : got.zones)
      wild += z.answers < 0 || z.late > z.answers || z.share < 0 || z.share > 1 ||
              z.timeInStatus < Duration{} || z.unhealthyGroups > z.groups;
  }
  std::printf("cut and hurt ones: none with senseless counts: %s\n", wild == 0 ? "yes" : "no");
}

const Case kCases[] = {{"zonesVerdicts", verdicts},
                       {"zonesReturns", returns},
                       {"zonesCommands", commands},
                       {"zonesSights", sights}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}
