// A simulated network with its own clock, in one process: proxies gossip by datagrams that are
// delayed, lost, duplicated, reordered or blocked by a partition, as determined by the seed.
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

class GossipNetwork {
 public:
  struct Faults {
    Duration minDelay{300}, maxDelay{3'000};  // transit time of a datagram
    double lossRate = 0, duplicateRate = 0;   // fractions of datagrams
    Duration maxExtraDelay;  // additional delay, up to this for one in ten datagrams
  };
  struct Node {
    std::unique_ptr<membership::Gossip> gossip;
    std::string name, zone;
    bool isUp = false, isPaused = false;
    std::uint64_t incarnation = 0;
    std::uint64_t packets = 0, bytes = 0;  // sent
  };

  explicit GossipNetwork(std::uint64_t seed)
      : random(static_cast<std::uint32_t>(seed)), seed_(seed) {}

  // Adds a node and returns its index, from which its address is derived.
  int add(const std::string& name, const std::string& zone) {
    nodes.push_back({nullptr, name, zone});
    return static_cast<int>(nodes.size()) - 1;
  }
  static membership::Address addressOf(int node) {
    return {0x0a000000u + static_cast<std::uint32_t>(node), 7946};
  }
  void start(int node, std::vector<int> seeds, const std::string& fleet = "f",
             membership::Keys keys = {"0123456789abcdef0123456789abcdef"}) {
    Node& entry = nodes[static_cast<std::size_t>(node)];
    entry.isUp = true, entry.isPaused = false;
    entry.incarnation = static_cast<std::uint64_t>(now.us / 1000);
    membership::LocalMember self{
        fleet,
        entry.name,
        entry.zone,
        addressOf(node),
        entry.incarnation,
        {},
        seed_ * 7919 + static_cast<std::uint64_t>(node) + entry.incarnation};
    for (int s : seeds) self.seeds.push_back(addressOf(s));
    entry.gossip = std::make_unique<membership::Gossip>(self, parameters, stateLimits,
                                                        std::move(keys), now);
    scheduleTick(node);
  }
  void kill(int node) { nodes[static_cast<std::size_t>(node)].isUp = false; }
  void leave(int node) {
    Node& entry = nodes[static_cast<std::size_t>(node)];
    entry.gossip->leave(), flush(node), entry.isUp = false;
  }
  void pause(int node) { nodes[static_cast<std::size_t>(node)].isPaused = true; }
  // Delivers at once what arrived during the pause, like a kernel's receive buffer.
  void resume(int node) {
    Node& entry = nodes[static_cast<std::size_t>(node)];
    entry.isPaused = false;
    auto buffered = std::exchange(pausedDatagrams_[node], {});
    for (const Datagram& d : buffered) entry.gossip->receive(d.bytes, addressOf(d.from), now);
    scheduleTick(node);
  }
  membership::Gossip& at(int node) { return *nodes[static_cast<std::size_t>(node)].gossip; }
  bool isRunning(int node) const {
    return nodes[static_cast<std::size_t>(node)].isUp &&
           !nodes[static_cast<std::size_t>(node)].isPaused;
  }

  int runningCount() const {
    int n = 0;
    for (const Node& entry : nodes) n += entry.isUp && !entry.isPaused;
    return n;
  }
  static std::string zoneFor(int k) { return std::string(1, static_cast<char>('a' + k % 3)); }

  void flush(int node) {
    Node& entry = nodes[static_cast<std::size_t>(node)];
    for (auto& [to, bytes] : entry.gossip->takeDatagrams(now)) {
      ++entry.packets, entry.bytes += bytes.size();
      int target = static_cast<int>(to.ip - 0x0a000000u);
      if (target < 0 || target >= static_cast<int>(nodes.size()) || isCut(node, target)) continue;
      if (randomFraction() < faults.lossRate) continue;
      int copies = 1 + (randomFraction() < faults.duplicateRate);
      for (int k = 0; k < copies; ++k) {
        Duration delay = faults.minDelay + (faults.maxDelay - faults.minDelay) * randomFraction();
        if (randomFraction() < 0.1) delay = delay + faults.maxExtraDelay * randomFraction();
        events_.push({now + delay, nextEventNumber_++, target, {node, bytes}});
      }
    }
  }
  // Processes all events of the next `span`.
  void runFor(Duration span) {
    TimePoint end = now + span;
    while (!events_.empty() && events_.top().at <= end) {
      Event e = events_.top();
      events_.pop();
      now = std::max(now, e.at);
      Node& entry = nodes[static_cast<std::size_t>(e.node)];
      if (!entry.isUp) continue;
      if (entry.isPaused) {
        if (!e.datagram.bytes.empty()) pausedDatagrams_[e.node].push_back(e.datagram);
        continue;
      }
      if (e.datagram.bytes.empty()) {
        if (entry.gossip->dueAt() <= now) entry.gossip->tick(now), onTick(e.node);
      } else {
        entry.gossip->receive(e.datagram.bytes, addressOf(e.datagram.from), now);
      }
      flush(e.node), scheduleTick(e.node);
    }
    now = end;
  }
  void scheduleTick(int node) {
    TimePoint due = std::max(now, nodes[static_cast<std::size_t>(node)].gossip->dueAt());
    TimePoint& scheduled = scheduledTicks_[node];
    if (scheduled > now && scheduled <= due) return;
    scheduled = due;
    events_.push({due, nextEventNumber_++, node, {}});
  }
  double randomFraction() { return (static_cast<double>(random()) + 0.5) / 16777216.0; }

  TimePoint now{1'700'000'000'000'000};
  std::vector<Node> nodes;
  Faults faults;
  membership::Parameters parameters;
  membership::GossipStateTable::Limits stateLimits;
  std::ranlux24_base random;
  std::function<bool(int from, int to)> isCut = [](int, int) { return false; };
  std::function<void(int node)> onTick = [](int) {};

 private:
  struct Datagram {
    int from = -1;
    std::string bytes;
  };
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    int node = -1;
    Datagram datagram;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
  };

  std::uint64_t seed_, nextEventNumber_ = 0;
  std::priority_queue<Event> events_;
  std::map<int, TimePoint> scheduledTicks_;
  std::map<int, std::vector<Datagram>> pausedDatagrams_;
};

}  // namespace reedchute::test
