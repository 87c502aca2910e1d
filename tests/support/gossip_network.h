// A network in one process, on a clock of its own: fronts that gossip by datagrams which are late,
// lost, doubled, overtaken or cut off, all by seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/gossip.h"

namespace reedchute::test {

class Net {
 public:
  struct Faults {
    Duration least{300}, most{3'000};  // a datagram's way
    double lost = 0, doubled = 0;      // of datagrams
    Duration late;                     // up to that much more for one in ten
  };
  struct Host {
    std::unique_ptr<membership::Gossip> gossip;
    std::string name, zone;
    bool up = false, paused = false;
    std::uint64_t incarnation = 0;
    std::uint64_t packets = 0, bytes = 0;  // sent
  };

  explicit Net(std::uint64_t seed) : chance(static_cast<std::uint32_t>(seed)), seed_(seed) {}

  // A host's number; its address is made of it.
  int add(const std::string& name, const std::string& zone) {
    hosts.push_back({nullptr, name, zone});
    return static_cast<int>(hosts.size()) - 1;
  }
  static membership::Address addressOf(int host) {
    return {0x0a000000u + static_cast<std::uint32_t>(host), 7946};
  }
  void start(int host, std::vector<int> seeds, const std::string& fleet = "f",
             membership::Keys keys = {"0123456789abcdef0123456789abcdef"}) {
    Host& h = hosts[static_cast<std::size_t>(host)];
    h.up = true, h.paused = false;
    h.incarnation = static_cast<std::uint64_t>(now.us / 1000);
    membership::LocalMember self{fleet,
                                 h.name,
                                 h.zone,
                                 addressOf(host),
                                 h.incarnation,
                                 {},
                                 seed_ * 7919 + static_cast<std::uint64_t>(host) + h.incarnation};
    for (int s : seeds) self.seeds.push_back(addressOf(s));
    h.gossip = std::make_unique<membership::Gossip>(self, parameters, bounds, std::move(keys), now);
    wake(host);
  }
  void kill(int host) { hosts[static_cast<std::size_t>(host)].up = false; }
  void leave(int host) {
    Host& h = hosts[static_cast<std::size_t>(host)];
    h.gossip->leave(), flush(host), h.up = false;
  }
  void pause(int host) { hosts[static_cast<std::size_t>(host)].paused = true; }
  // What came meanwhile is there at once, as in the kernel's buffer.
  void resume(int host) {
    Host& h = hosts[static_cast<std::size_t>(host)];
    h.paused = false;
    auto kept = std::exchange(held_[host], {});
    for (const Datagram& d : kept) h.gossip->receive(d.bytes, addressOf(d.from), now);
    wake(host);
  }
  membership::Gossip& at(int host) { return *hosts[static_cast<std::size_t>(host)].gossip; }
  bool runs(int host) const {
    return hosts[static_cast<std::size_t>(host)].up &&
           !hosts[static_cast<std::size_t>(host)].paused;
  }

  int running() const {
    int n = 0;
    for (const Host& h : hosts) n += h.up && !h.paused;
    return n;
  }
  static std::string zoneFor(int k) { return std::string(1, static_cast<char>('a' + k % 3)); }

  void flush(int host) {
    Host& h = hosts[static_cast<std::size_t>(host)];
    for (auto& [to, bytes] : h.gossip->takeDatagrams(now)) {
      ++h.packets, h.bytes += bytes.size();
      int target = static_cast<int>(to.ip - 0x0a000000u);
      if (target < 0 || target >= static_cast<int>(hosts.size()) || cut(host, target)) continue;
      if (part() < faults.lost) continue;
      int copies = 1 + (part() < faults.doubled);
      for (int k = 0; k < copies; ++k) {
        Duration way = faults.least + (faults.most - faults.least) * part();
        if (part() < 0.1) way = way + faults.late * part();
        events_.push({now + way, next_++, target, {host, bytes}});
      }
    }
  }
  // Everything until then.
  void pass(Duration span) {
    TimePoint end = now + span;
    while (!events_.empty() && events_.top().at <= end) {
      Event e = events_.top();
      events_.pop();
      now = std::max(now, e.at);
      Host& h = hosts[static_cast<std::size_t>(e.host)];
      if (!h.up) continue;
      if (h.paused) {
        if (!e.datagram.bytes.empty()) held_[e.host].push_back(e.datagram);
        continue;
      }
      if (e.datagram.bytes.empty()) {
        if (h.gossip->dueAt() <= now) h.gossip->tick(now), ticked(e.host);
      } else {
        h.gossip->receive(e.datagram.bytes, addressOf(e.datagram.from), now);
      }
      flush(e.host), wake(e.host);
    }
    now = end;
  }
  void wake(int host) {
    TimePoint due = std::max(now, hosts[static_cast<std::size_t>(host)].gossip->dueAt());
    TimePoint& set = wakes_[host];
    if (set > now && set <= due) return;
    set = due;
    events_.push({due, next_++, host, {}});
  }
  double part() { return (static_cast<double>(chance()) + 0.5) / 16777216.0; }

  TimePoint now{1'700'000'000'000'000};
  std::vector<Host> hosts;
  Faults faults;
  membership::Parameters parameters;
  membership::GossipStateTable::Limits bounds;
  std::ranlux24_base chance;
  std::function<bool(int from, int to)> cut = [](int, int) { return false; };
  std::function<void(int host)> ticked = [](int) {};

 private:
  struct Datagram {
    int from = -1;
    std::string bytes;
  };
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    int host = -1;
    Datagram datagram;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
  };

  std::uint64_t seed_, next_ = 0;
  std::priority_queue<Event> events_;
  std::map<int, TimePoint> wakes_;
  std::map<int, std::vector<Datagram>> held_;
};

}  // namespace reedchute::test
