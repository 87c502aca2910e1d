// Who is alive, by the very modules that the front runs, on a network of the test's own: loss,
// delay, doubling, cuts, pauses, restarts. No socket, no clock.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <set>

#include "gossip_network.h"
#include "trace.h"

using namespace reedchute;
using namespace reedchute::membership;
using test::Case;
using test::ms;
using test::Net;
using test::runCase;

namespace {

std::string nameFor(int k) {
  return "f" + std::to_string(k);
}

// A fleet in three zones that knows itself.
struct Fleet : Net {
  explicit Fleet(int n, std::uint64_t seed = 1, bool started = true) : Net(seed) {
    for (int k = 0; k < n; ++k) add(nameFor(k), zoneFor(k));
    if (!started) return;
    for (int k = 0; k < n; ++k) start(k, {0, 1});
    pass(ms(20'000));
    for (int k = 0; k < n; ++k) at(k).membership().takeChanges();
  }
  int size() const { return static_cast<int>(hosts.size()); }
  // How many of those that run hold `of` in that state.
  int hold(int of, MemberState s) {
    int n = 0;
    for (int k = 0; k < size(); ++k) {
      if (k == of || !runs(k)) continue;
      const Member* m = at(k).membership().find(nameFor(of));
      n += m && m->isVerified && m->latest.state == s;
    }
    return n;
  }
  // How many views, of all fronts but this one, hold it dead.
  int heldDeadBut(int one) {
    int n = 0;
    for (int k = 0; k < size(); ++k) n += k == one ? 0 : hold(k, MemberState::dead);
    return n;
  }
  // How many of those that run count just so many live ones, themselves included.
  int count(std::size_t live) {
    int n = 0;
    for (int k = 0; k < size(); ++k) n += runs(k) && at(k).membership().liveCount() == live;
    return n;
  }
  // Periods until it is so, or -1.
  int until(const std::function<bool()>& so, int most = 400) {
    for (int k = 0; k < most; ++k) {
      if (so()) return k;
      pass(parameters.period);
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

void joins() {
  for (int n : {3, 30, 100}) {
    Fleet f(n, 5, false);
    for (int k = 0; k < n; ++k) f.start(k, {0, 1});
    int took = f.until([&] { return f.count(static_cast<std::size_t>(n)) == n; });
    std::printf("%d start together, two are known to all: all know all %s\n", n, within(took, 80));
  }
  Fleet f(30, 6, false);
  for (int k = 0; k < 3; ++k) f.start(k, {0, 1, 2});
  f.pass(ms(5000));
  for (int k = 3; k < 30; ++k) f.start(k, {0, 1, 2});
  int took = f.until([&] { return f.count(30) == 30; });
  std::printf("from 3 to 30 at once: all know all %s\n", within(took, 40));
}

void dies() {
  for (int n : {10, 100}) {
    Fleet f(n);
    f.kill(4);
    int first = f.until([&] { return f.hold(4, MemberState::dead) > 0; });
    int all = first + f.until([&] { return f.hold(4, MemberState::dead) == f.running(); });
    std::printf("%d fronts, one is killed: the first gives it up %s,", n, within(first, 30));
    std::printf(" all %s; live for all: %s\n", within(all, 40),
                f.count(static_cast<std::size_t>(n) - 1) == n - 1 ? "one less" : "?");
  }
  Fleet f(30);
  for (int k = 0; k < 10; ++k) f.kill(3 * k);  // a zone
  int took = f.until([&] { return f.count(20) == 20; });
  std::printf("a third is killed at once, a seed with it: the rest know it %s\n", within(took, 60));
  f.leave(1);
  took = f.until([&] { return f.hold(1, MemberState::left) == f.running(); });
  std::printf("one that says that it goes: all know %s, none calls it dead: %s\n", within(took, 6),
              f.hold(1, MemberState::dead) == 0 ? "yes" : "no");
}

// A front that was paused must neither give up the fleet nor stay given up.
void wakes() {
  Fleet f(30);
  f.pause(7);
  f.pass(ms(9000));
  std::printf("paused for thirty periods: %d of 29 have given it up\n",
              f.hold(7, MemberState::dead));
  f.resume(7);
  f.pass(ms(10));
  std::printf("it wakes and doubts itself: %s\n",
              f.at(7).membership().isLocallyDegraded(f.now) ? "yes" : "no");
  int took = f.until([&] { return f.hold(7, MemberState::alive) == 29; });
  int wrong = f.heldDeadBut(7);
  std::printf("all hold it alive again %s; others given up by it or through it: %d\n",
              within(took, 60), wrong);
  f.pass(ms(10'000));
  std::printf("later it believes in itself again: %s\n",
              f.at(7).membership().isLocallyDegraded(f.now) ? "no" : "yes");
}

// Slow for long, not dead: each of its rounds comes late.
void starved() {
  Fleet f(30);
  f.ticked = [&](int host) {
    if (host == 3) f.pause(3);
  };
  for (int k = 0; k < 60; ++k) {
    f.pass(ms(900));
    if (f.hosts[3].paused) f.resume(3);
  }
  std::printf("one of 30 runs a tenth of its time: it gave up %d others\n", f.heldDeadBut(3));
}

void loss() {
  for (std::uint64_t seed : {1, 2, 3}) {
    Fleet f(30, seed);
    f.faults.lost = 0.33, f.faults.doubled = 0.33, f.faults.late = ms(250);
    int dead = 0;
    for (int k = 0; k < 100; ++k) {
      f.pass(ms(600));
      for (int h = 0; h < 30; ++h) dead += f.hold(h, MemberState::dead);
    }
    f.faults = {};
    int back = f.until([&] { return f.count(30) == 30; });
    f.faults.lost = 0.33, f.faults.doubled = 0.33, f.faults.late = ms(250);
    f.kill(4);
    int took = f.until([&] { return f.hold(4, MemberState::dead) == 29; });
    std::fprintf(stderr, "given up wrongly: %.4f of all views\n", dead / (100.0 * 30 * 29));
    std::printf(
        "a third lost, a third doubled, some late, for a minute: one view in fifty, or fewer, gave "
        "up one that lives: %s;",
        dead * 50 <= 100 * 30 * 29 ? "yes" : "no");
    std::printf(" then all count all %s; one killed, the losses back: all know it %s\n",
                within(back, 60), within(took, 60));
  }
}

void parted() {
  Fleet f(30);
  f.cut = [](int a, int b) { return (a < 20) != (b < 20); };
  int took = f.until([&] { return f.count(20) == 20 && f.count(10) == 10; });
  std::printf("cut in two for good: each part counts its own %s\n", within(took, 60));
  f.cut = [](int, int) { return false; };
  took = f.until([&] { return f.count(30) == 30; });
  std::printf("the cut ends: all count all %s\n", within(took, 120));
  f.cut = [](int a, int) { return a == 5; };
  f.pass(ms(15'000));
  std::printf("one whose words are lost, and who hears all: given up by %d, it doubts itself: %s\n",
              f.hold(5, MemberState::dead),
              f.at(5).membership().isLocallyDegraded(f.now) ? "yes" : "no");
  std::printf("others given up through it: %d\n", f.heldDeadBut(5));
}

void lives() {
  Fleet f(10);
  std::uint64_t was = f.hosts[2].incarnation;
  f.kill(2);
  f.pass(ms(600));
  f.start(2, {0, 1});
  int took = f.until([&] {
    int n = 0;
    for (int k = 0; k < 10; ++k) {
      const Member* m = k == 2 ? nullptr : f.at(k).membership().find("f2");
      n += m && m->latest.incarnation > was && m->latest.state == MemberState::alive;
    }
    return n == 9;
  });
  std::printf("killed and started again under its name: all hold the new life %s\n",
              within(took, 30));
  // Its clock has gone back: the life that it chooses first is an old one.
  f.kill(2);
  TimePoint now = f.now;
  f.now = f.now - ms(3'600'000);
  f.start(2, {0, 1});
  f.now = now;
  f.wake(2);
  took = f.until(
      [&] { return f.hold(2, MemberState::alive) == 9 && f.at(2).membership().liveCount() == 10; });
  std::printf("again, its clock an hour back: known with a higher life %s\n", within(took, 60));
  // Another process under the same name.
  int twin = f.add("f2", "c");
  f.start(twin, {0, 1});
  took = f.until([&] {
    return f.at(2).membership().hasNameConflict() || f.at(twin).membership().hasNameConflict();
  });
  std::printf("a second process of that name: one of them yields %s\n",
              took < 0 ? "never" : "in the end");
}

// What must change nothing: each is counted, and that is all.
void dropped() {
  Fleet f(3);
  Gossip& c = f.at(0);
  auto dropsOf = [&] {
    const auto& t = c.counters();
    const auto& d = c.membership().dropped();
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
  Packet p;
  p.fleet = "f",
  p.from = {"f1", "b", Net::addressOf(1), f.hosts[1].incarnation, 0, MemberState::alive},
  p.number = 1'000'000;
  p.updates.push_back(
      {"f2", "c", Net::addressOf(2), f.hosts[2].incarnation, 9, MemberState::suspect});
  auto give = [&](const char* what, const std::string& bytes) {
    c.receive(bytes, Net::addressOf(1), f.now);
    c.takeDatagrams(f.now);
    const Member* m = c.membership().find("f2");
    std::printf("%s: %s; f2 is %s\n", what, dropsOf().c_str(), nameOf(m->latest.state));
  };
  std::string good = *encodeDatagram(p, key);
  give("another key", *encodeDatagram(p, {"another key of thirty-two bytes."}));
  give("cut", good.substr(0, 40));
  give("nothing", "");
  give("one bit turned", [&] {
    std::string s = good;
    s[60] = static_cast<char>(s[60] ^ 1);
    return s;
  }());
  give("no protobuf, rightly signed", seal(1, "\xff\xff\xff\xff", key));
  give("of a later version", [&] {
    std::string s = good;
    s[0] = 9;
    return s;
  }());
  Packet q = p;
  q.fleet = "g";
  give("another fleet", *encodeDatagram(q, key));
  q = p, q.from.incarnation -= 1;
  give("of a life that is over", *encodeDatagram(q, key));
  q = p, q.to = "f2";
  give("for another", *encodeDatagram(q, key));
  q = p, q.number = 0;
  give("without a number", *encodeDatagram(q, key));
  q = p, q.from.name = "f0";
  give("in its own name", *encodeDatagram(q, key));
  q = p, q.updates[0].incarnation -= 1;
  give("of an old life of f2", *encodeDatagram(q, key));
  q = p, q.number += 1;
  give("the same, genuine", *encodeDatagram(q, key));
  give("and again", *encodeDatagram(q, key));
}

void keys() {
  Fleet f(3, 1, false);
  std::string old = "0123456789abcdef0123456789abcdef", next = "fedcba9876543210fedcba9876543210";
  auto all = [&](const char* what) {
    f.pass(ms(6000));
    std::printf("%s: %d of 3 count 3\n", what, f.count(3));
  };
  for (int k = 0; k < 3; ++k) f.start(k, {0, 1}, "f", {old});
  all("one key");
  for (int k = 0; k < 3; ++k) f.kill(k), f.pass(ms(300)), f.start(k, {0, 1}, "f", {old, next});
  all("the next one is taken, too");
  for (int k = 0; k < 3; ++k) f.kill(k), f.pass(ms(300)), f.start(k, {0, 1}, "f", {next, old});
  all("the next one signs");
  for (int k = 0; k < 3; ++k) f.kill(k), f.pass(ms(300)), f.start(k, {0, 1}, "f", {next});
  all("the old one is gone");
  f.kill(2), f.start(2, {0, 1}, "f", {old});
  f.pass(ms(12'000));
  std::printf("one that still has only the old one: it counts %d\n",
              static_cast<int>(f.at(2).membership().liveCount()));
}

void fleetsApart() {
  Fleet f(12, 1, false);
  for (int k = 0; k < 12; ++k) f.start(k, {0, 1, 2, 3}, k % 2 ? "odd" : "even");
  f.pass(ms(20'000));
  std::printf("two fleets of six on one network, the same key and addresses: %d of 12 count six\n",
              f.count(6));
}

// What a front sends and holds must not grow with the fleet.
void flatAt(std::initializer_list<int> sizes, int settles) {
  double base = 0;
  for (int n : sizes) {
    Fleet f(n, 3, false);
    for (int k = 0; k < n; ++k) f.start(k, {0, 1});
    f.ticked = [&](int host) { f.at(host).states().publish(0, std::string(64, 'n'), f.now); };
    f.pass(ms(settles));
    for (auto& h : f.hosts) h.packets = h.bytes = 0;
    f.pass(ms(20'000));
    std::uint64_t packets = 0, bytes = 0;
    std::size_t notes = 0;
    for (auto& h : f.hosts) packets += h.packets, bytes += h.bytes;
    for (int k = 0; k < n; ++k) notes = std::max(notes, f.at(k).states().statesOf(0, f.now).size());
    double rate = static_cast<double>(bytes) / n / 20,
           packetsASecond = static_cast<double>(packets) / n / 20;
    if (base == 0) base = rate;
    std::fprintf(stderr,
                 "%d fronts: %.1f packets and %.0f bytes a second and front, at most %d notes "
                 "held, %d know all\n",
                 n, packetsASecond, rate, static_cast<int>(notes),
                 f.count(static_cast<std::size_t>(n)));
    std::printf(
        "%d fronts: bytes at most three times those of ten: %s; notes held at most 64: %s; all "
        "know all: %s\n",
        n, rate <= base * 3 ? "yes" : "no", notes <= 64 ? "yes" : "no",
        f.count(static_cast<std::size_t>(n)) == n ? "yes" : "no");
  }
}

void flat() {
  flatAt({10, 30, 100}, 20'000);
}
// By hand: minutes.
void flatBig() {
  flatAt({10, 1024}, 120'000);
}

// As many as there may be, who know each other from before: a start together is a million entries,
// one by one, and takes minutes here (membersFlatBig).
void thousand() {
  constexpr int n = 1024;
  Fleet f(n, 9, false);
  Packet all;
  all.fleet = "f", all.number = 1;
  for (int k = 0; k < n; ++k)
    f.start(k, {0, 1}), all.updates.push_back(f.at(k).membership().self());
  for (int k = 0; k < n; ++k) {
    for (int by : {(k + 1) % n, (k + 2) % n}) {  // by two, as a member is not taken at its own word
      all.from = f.at(by).membership().self();
      f.at(k).membership().receive(all, all.from.address, f.now);
    }
    f.at(k).membership().takePackets(), f.at(k).membership().takeChanges();
  }
  std::printf("%d fronts: %d count all\n", n, f.count(n));
  f.leave(5);
  int took = f.until([&] { return f.hold(5, MemberState::left) * 10 >= 9 * f.running(); }, 40);
  std::fprintf(stderr, "%d periods\n", took);
  std::printf("one says that it goes: nine in ten know it %s, none has lost another: %s\n",
              within(took, 20), f.count(n) + f.count(n - 1) == f.running() ? "yes" : "no");
}

const Case kCases[] = {
    {"membersJoin", joins},         {"membersDie", dies},        {"membersWake", wakes},
    {"membersStarved", starved},    {"membersLoss", loss},       {"membersParted", parted},
    {"membersLives", lives},        {"membersDropped", dropped}, {"membersKeys", keys},
    {"membersFleets", fleetsApart}, {"membersFlat", flat},       {"membersThousand", thousand},
    {"membersFlatBig", flatBig}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}
