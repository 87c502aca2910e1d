// Tests membership with the proxy's own modules on a simulated network without sockets or a real
// clock: loss, delay, duplication, partitions, pauses and restarts.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <set>

#include "gossip_network.h"
#include "trace.h"

using namespace reedchute;
using namespace reedchute::membership;
using test::Case;
using test::GossipNetwork;
using test::ms;
using test::runCase;

namespace {

std::string nameFor(int k) {
  return "f" + std::to_string(k);
}

// A fleet in three zones. If started, it runs until its members know each other.
struct Fleet : GossipNetwork {
  explicit Fleet(int n, std::uint64_t seed = 1, bool started = true) : GossipNetwork(seed) {
    for (int k = 0; k < n; ++k) add(nameFor(k), zoneFor(k));
    if (!started) return;
    for (int k = 0; k < n; ++k) start(k, {0, 1});
    runFor(ms(20'000));
    for (int k = 0; k < n; ++k) at(k).membership().takeChanges();
  }
  int size() const { return static_cast<int>(nodes.size()); }
  // Returns the number of running proxies that hold the member in the state.
  int countHolding(int member, MemberState s) {
    int n = 0;
    for (int k = 0; k < size(); ++k) {
      if (k == member || !isRunning(k)) continue;
      const Member* m = at(k).membership().find(nameFor(member));
      n += m && m->isVerified && m->latest.state == s;
    }
    return n;
  }
  // Returns the number of views (pairs of a running proxy and a member) that hold the member dead,
  // for all members except one.
  int countDeadViewsExcept(int excluded) {
    int n = 0;
    for (int k = 0; k < size(); ++k) n += k == excluded ? 0 : countHolding(k, MemberState::dead);
    return n;
  }
  // Returns the number of running proxies that count exactly `live` live members, including
  // themselves.
  int countSeeingLive(std::size_t live) {
    int n = 0;
    for (int k = 0; k < size(); ++k) n += isRunning(k) && at(k).membership().liveCount() == live;
    return n;
  }
  // Returns the number of periods until the predicate holds, or -1 after `maxPeriods`.
  int periodsUntil(const std::function<bool()>& isDone, int maxPeriods = 400) {
    for (int k = 0; k < maxPeriods; ++k) {
      if (isDone()) return k;
      runFor(parameters.period);
    }
    return -1;
  }
};

const char* within(int periods, int bound) {
  static char text[64];
  if (periods < 0)
    std::snprintf(text, sizeof text, "never");
  else
    std::snprintf(text, sizeof text,
                  periods <= bound ? "within %d periods" : "later than %d periods", bound);
  return text;
}

void checkJoin() {
  for (int n : {3, 30, 100}) {
    Fleet f(n, 5, false);
    for (int k = 0; k < n; ++k) f.start(k, {0, 1});
    int took = f.periodsUntil([&] { return f.countSeeingLive(static_cast<std::size_t>(n)) == n; });
    std::printf("%d start together, two are known to all: all know all %s\n", n, within(took, 80));
  }
  Fleet f(30, 6, false);
  for (int k = 0; k < 3; ++k) f.start(k, {0, 1, 2});
  f.runFor(ms(5000));
  for (int k = 3; k < 30; ++k) f.start(k, {0, 1, 2});
  int took = f.periodsUntil([&] { return f.countSeeingLive(30) == 30; });
  std::printf("from 3 to 30 at once: all know all %s\n", within(took, 40));
}

void checkFailure() {
  for (int n : {10, 100}) {
    Fleet f(n);
    f.kill(4);
    int first = f.periodsUntil([&] { return f.countHolding(4, MemberState::dead) > 0; });
    int all = first + f.periodsUntil(
                          [&] { return f.countHolding(4, MemberState::dead) == f.runningCount(); });
    std::printf("%d fronts, one is killed: the first gives it up %s,", n, within(first, 30));
    std::printf(" all %s; live for all: %s\n", within(all, 40),
                f.countSeeingLive(static_cast<std::size_t>(n) - 1) == n - 1 ? "one less" : "?");
  }
  Fleet f(30);
  for (int k = 0; k < 10; ++k) f.kill(3 * k);  // a zone
  int took = f.periodsUntil([&] { return f.countSeeingLive(20) == 20; });
  std::printf("a third is killed at once, a seed with it: the rest know it %s\n", within(took, 60));
  f.leave(1);
  took = f.periodsUntil([&] { return f.countHolding(1, MemberState::left) == f.runningCount(); });
  std::printf("one that says that it goes: all know %s, none calls it dead: %s\n", within(took, 6),
              f.countHolding(1, MemberState::dead) == 0 ? "yes" : "no");
}

// A proxy that was paused must not declare the fleet dead, and must be held alive again after it.
void checkPause() {
  Fleet f(30);
  f.pause(7);
  f.runFor(ms(9000));
  std::printf("paused for thirty periods: %d of 29 have given it up\n",
              f.countHolding(7, MemberState::dead));
  f.resume(7);
  f.runFor(ms(10));
  std::printf("it wakes and doubts itself: %s\n",
              f.at(7).membership().isLocallyDegraded(f.now) ? "yes" : "no");
  int took = f.periodsUntil([&] { return f.countHolding(7, MemberState::alive) == 29; });
  int wrong = f.countDeadViewsExcept(7);
  std::printf("all hold it alive again %s; others given up by it or through it: %d\n",
              within(took, 60), wrong);
  f.runFor(ms(10'000));
  std::printf("later it believes in itself again: %s\n",
              f.at(7).membership().isLocallyDegraded(f.now) ? "no" : "yes");
}

// A proxy that is slow for a long time, but not dead: it is paused after each tick.
void checkSlowProxy() {
  Fleet f(30);
  f.onTick = [&](int node) {
    if (node == 3) f.pause(3);
  };
  for (int k = 0; k < 60; ++k) {
    f.runFor(ms(900));
    if (f.nodes[3].isPaused) f.resume(3);
  }
  std::printf("one of 30 runs a tenth of its time: it gave up %d others\n",
              f.countDeadViewsExcept(3));
}

void checkLoss() {
  for (std::uint64_t seed : {1, 2, 3}) {
    Fleet f(30, seed);
    f.faults.lossRate = 0.33, f.faults.duplicateRate = 0.33, f.faults.maxExtraDelay = ms(250);
    int dead = 0;
    for (int k = 0; k < 100; ++k) {
      f.runFor(ms(600));
      for (int h = 0; h < 30; ++h) dead += f.countHolding(h, MemberState::dead);
    }
    f.faults = {};
    int back = f.periodsUntil([&] { return f.countSeeingLive(30) == 30; });
    f.faults.lossRate = 0.33, f.faults.duplicateRate = 0.33, f.faults.maxExtraDelay = ms(250);
    f.kill(4);
    int took = f.periodsUntil([&] { return f.countHolding(4, MemberState::dead) == 29; });
    std::fprintf(stderr, "given up wrongly: %.4f of all views\n", dead / (100.0 * 30 * 29));
    std::printf(
        "a third lost, a third doubled, some late, for a minute: one view in fifty, or fewer, gave "
        "up one that lives: %s;",
        dead * 50 <= 100 * 30 * 29 ? "yes" : "no");
    std::printf(" then all count all %s; one killed, the losses back: all know it %s\n",
                within(back, 60), within(took, 60));
  }
}

void checkPartition() {
  Fleet f(30);
  f.isCut = [](int a, int b) { return (a < 20) != (b < 20); };
  int took =
      f.periodsUntil([&] { return f.countSeeingLive(20) == 20 && f.countSeeingLive(10) == 10; });
  std::printf("cut in two for good: each part counts its own %s\n", within(took, 60));
  f.isCut = [](int, int) { return false; };
  took = f.periodsUntil([&] { return f.countSeeingLive(30) == 30; });
  std::printf("the cut ends: all count all %s\n", within(took, 120));
  f.isCut = [](int a, int) { return a == 5; };
  f.runFor(ms(15'000));
  std::printf("one whose words are lost, and who hears all: given up by %d, it doubts itself: %s\n",
              f.countHolding(5, MemberState::dead),
              f.at(5).membership().isLocallyDegraded(f.now) ? "yes" : "no");
  std::printf("others given up through it: %d\n", f.countDeadViewsExcept(5));
}

void checkIncarnations() {
  Fleet f(10);
  std::uint64_t previousIncarnation = f.nodes[2].incarnation;
  f.kill(2);
  f.runFor(ms(600));
  f.start(2, {0, 1});
  int took = f.periodsUntil([&] {
    int n = 0;
    for (int k = 0; k < 10; ++k) {
      const Member* m = k == 2 ? nullptr : f.at(k).membership().find("f2");
      n += m && m->latest.incarnation > previousIncarnation &&
           m->latest.state == MemberState::alive;
    }
    return n == 9;
  });
  std::printf("killed and started again under its name: all hold the new life %s\n",
              within(took, 30));
  // Its clock was set back, so its first incarnation is lower than the previous one.
  f.kill(2);
  TimePoint now = f.now;
  f.now = f.now - ms(3'600'000);
  f.start(2, {0, 1});
  f.now = now;
  f.scheduleTick(2);
  took = f.periodsUntil([&] {
    return f.countHolding(2, MemberState::alive) == 9 && f.at(2).membership().liveCount() == 10;
  });
  std::printf("again, its clock an hour back: known with a higher life %s\n", within(took, 60));
  // Another process under the same name.
  int duplicate = f.add("f2", "c");
  f.start(duplicate, {0, 1});
  took = f.periodsUntil([&] {
    return f.at(2).membership().hasNameConflict() || f.at(duplicate).membership().hasNameConflict();
  });
  std::printf("a second process of that name: one of them yields %s\n",
              took < 0 ? "never" : "in the end");
}

// Packets that must be counted and dropped without any other effect.
void checkDropped() {
  Fleet f(3);
  Gossip& gossip = f.at(0);
  auto dropsOf = [&] {
    const auto& t = gossip.counters();
    const auto& d = gossip.membership().dropped();
    char text[200];
    std::snprintf(
        text, sizeof text,
        "size %d version %d key %d form %d; fleet %d life %d again %d for another %d own name %d",
        static_cast<int>(t.rejected[1]), static_cast<int>(t.rejected[2]),
        static_cast<int>(t.rejected[3]), static_cast<int>(t.rejected[4]),
        static_cast<int>(d.otherFleet), static_cast<int>(d.oldIncarnation),
        static_cast<int>(d.replayed), static_cast<int>(d.misdirected), static_cast<int>(d.ownName));
    return std::string(text);
  };
  Keys key{"0123456789abcdef0123456789abcdef"};
  Packet packet;
  packet.fleet = "f",
  packet.from =
      {"f1", "b", GossipNetwork::addressOf(1), f.nodes[1].incarnation, 0, MemberState::alive},
  packet.number = 1'000'000;
  packet.updates.push_back(
      {"f2", "c", GossipNetwork::addressOf(2), f.nodes[2].incarnation, 9, MemberState::suspect});
  auto receiveAndPrint = [&](const char* what, const std::string& bytes) {
    gossip.receive(bytes, GossipNetwork::addressOf(1), f.now);
    gossip.takeDatagrams(f.now);
    const Member* m = gossip.membership().find("f2");
    std::printf("%s: %s; f2 is %s\n", what, dropsOf().c_str(), nameOf(m->latest.state));
  };
  std::string good = *encodeDatagram(packet, key);
  receiveAndPrint("another key", *encodeDatagram(packet, {"another key of thirty-two bytes."}));
  receiveAndPrint("cut", good.substr(0, 40));
  receiveAndPrint("nothing", "");
  receiveAndPrint("one bit turned", [&] {
    std::string s = good;
    s[60] = static_cast<char>(s[60] ^ 1);
    return s;
  }());
  receiveAndPrint("no protobuf, rightly signed", seal(1, "\xff\xff\xff\xff", key));
  receiveAndPrint("of a later version", [&] {
    std::string s = good;
    s[0] = 9;
    return s;
  }());
  Packet variant = packet;
  variant.fleet = "g";
  receiveAndPrint("another fleet", *encodeDatagram(variant, key));
  variant = packet, variant.from.incarnation -= 1;
  receiveAndPrint("of a life that is over", *encodeDatagram(variant, key));
  variant = packet, variant.to = "f2";
  receiveAndPrint("for another", *encodeDatagram(variant, key));
  variant = packet, variant.number = 0;
  receiveAndPrint("without a number", *encodeDatagram(variant, key));
  variant = packet, variant.from.name = "f0";
  receiveAndPrint("in its own name", *encodeDatagram(variant, key));
  variant = packet, variant.updates[0].incarnation -= 1;
  receiveAndPrint("of an old life of f2", *encodeDatagram(variant, key));
  variant = packet, variant.number += 1;
  receiveAndPrint("the same, genuine", *encodeDatagram(variant, key));
  receiveAndPrint("and again", *encodeDatagram(variant, key));
}

void checkKeys() {
  Fleet f(3, 1, false);
  std::string old = "0123456789abcdef0123456789abcdef", next = "fedcba9876543210fedcba9876543210";
  auto all = [&](const char* what) {
    f.runFor(ms(6000));
    std::printf("%s: %d of 3 count 3\n", what, f.countSeeingLive(3));
  };
  for (int k = 0; k < 3; ++k) f.start(k, {0, 1}, "f", {old});
  all("one key");
  for (int k = 0; k < 3; ++k) f.kill(k), f.runFor(ms(300)), f.start(k, {0, 1}, "f", {old, next});
  all("the next one is taken, too");
  for (int k = 0; k < 3; ++k) f.kill(k), f.runFor(ms(300)), f.start(k, {0, 1}, "f", {next, old});
  all("the next one signs");
  for (int k = 0; k < 3; ++k) f.kill(k), f.runFor(ms(300)), f.start(k, {0, 1}, "f", {next});
  all("the old one is gone");
  f.kill(2), f.start(2, {0, 1}, "f", {old});
  f.runFor(ms(12'000));
  std::printf("one that still has only the old one: it counts %d\n",
              static_cast<int>(f.at(2).membership().liveCount()));
}

void checkSeparateFleets() {
  Fleet f(12, 1, false);
  for (int k = 0; k < 12; ++k) f.start(k, {0, 1, 2, 3}, k % 2 ? "odd" : "even");
  f.runFor(ms(20'000));
  std::printf("two fleets of six on one network, the same key and addresses: %d of 12 count six\n",
              f.countSeeingLive(6));
}

// The data that a proxy sends and stores must not grow with the fleet.
void checkTrafficAt(std::initializer_list<int> sizes, int settleMs) {
  double base = 0;
  for (int n : sizes) {
    Fleet f(n, 3, false);
    for (int k = 0; k < n; ++k) f.start(k, {0, 1});
    f.onTick = [&](int node) { f.at(node).states().publish(0, std::string(64, 'n'), f.now); };
    f.runFor(ms(settleMs));
    for (auto& node : f.nodes) node.packets = node.bytes = 0;
    f.runFor(ms(20'000));
    std::uint64_t packets = 0, bytes = 0;
    std::size_t states = 0;
    for (auto& node : f.nodes) packets += node.packets, bytes += node.bytes;
    for (int k = 0; k < n; ++k)
      states = std::max(states, f.at(k).states().statesOf(0, f.now).size());
    double rate = static_cast<double>(bytes) / n / 20,
           packetsASecond = static_cast<double>(packets) / n / 20;
    if (base == 0) base = rate;
    std::fprintf(stderr,
                 "%d fronts: %.1f packets and %.0f bytes a second and front, at most %d notes "
                 "held, %d know all\n",
                 n, packetsASecond, rate, static_cast<int>(states),
                 f.countSeeingLive(static_cast<std::size_t>(n)));
    std::printf(
        "%d fronts: bytes at most three times those of ten: %s; notes held at most 64: %s; all "
        "know all: %s\n",
        n, rate <= base * 3 ? "yes" : "no", states <= 64 ? "yes" : "no",
        f.countSeeingLive(static_cast<std::size_t>(n)) == n ? "yes" : "no");
  }
}

void checkTraffic() {
  checkTrafficAt({10, 30, 100}, 20'000);
}
// Run manually: takes minutes.
void checkTrafficLarge() {
  checkTrafficAt({10, 1024}, 120'000);
}

// A fleet of 1,024, the largest size intended, whose members are given the member list in advance.
// A joint start would add a million entries one by one, which takes minutes here (membersFlatBig).
void checkThousand() {
  constexpr int n = 1024;
  Fleet f(n, 9, false);
  Packet all;
  all.fleet = "f", all.number = 1;
  for (int k = 0; k < n; ++k)
    f.start(k, {0, 1}), all.updates.push_back(f.at(k).membership().self());
  for (int k = 0; k < n; ++k) {
    // From two members, as a member's own update doesn't verify it.
    for (int by : {(k + 1) % n, (k + 2) % n}) {
      all.from = f.at(by).membership().self();
      f.at(k).membership().receive(all, all.from.address, f.now);
    }
    f.at(k).membership().takePackets(), f.at(k).membership().takeChanges();
  }
  std::printf("%d fronts: %d count all\n", n, f.countSeeingLive(n));
  f.leave(5);
  int took = f.periodsUntil(
      [&] { return f.countHolding(5, MemberState::left) * 10 >= 9 * f.runningCount(); }, 40);
  std::fprintf(stderr, "%d periods\n", took);
  std::printf("one says that it goes: nine in ten know it %s, none has lost another: %s\n",
              within(took, 20),
              f.countSeeingLive(n) + f.countSeeingLive(n - 1) == f.runningCount() ? "yes" : "no");
}

const Case kCases[] = {{"membersJoin", checkJoin},           {"membersDie", checkFailure},
                       {"membersWake", checkPause},          {"membersStarved", checkSlowProxy},
                       {"membersLoss", checkLoss},           {"membersParted", checkPartition},
                       {"membersLives", checkIncarnations},  {"membersDropped", checkDropped},
                       {"membersKeys", checkKeys},           {"membersFleets", checkSeparateFleets},
                       {"membersFlat", checkTraffic},        {"membersThousand", checkThousand},
                       {"membersFlatBig", checkTrafficLarge}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}
