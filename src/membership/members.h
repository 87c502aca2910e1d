// Who is alive: SWIM with suspicion, and the local health of Lifeguard (docs/zones.md weighs the
// others). Without I/O and clock: told packets and time, it answers packets to send. All of them
// are the same for the same seed and facts.
//
// A front sends one ping a period whatever their number; news travel on pings and acks. What is
// held grows with the number of members by an entry each, up to `most`.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/packet.h"

namespace reedchute::membership {

// Times are multiples of the period.
struct Parameters {
  Duration period{300'000};
  int relays = 3;           // that are asked to ping one that didn't answer
  std::size_t most = 4096;  // members; what comes beyond is dropped and counted
  std::size_t rumors = 16;  // in one packet
  std::size_t page = 16;    // members in one page
};

struct Self {
  std::string fleet, name, zone;
  Address at;
  std::uint64_t generation = 0;
  std::vector<Address> seeds;  // asked at the start, and now and then for as long as the front runs
  std::uint64_t seed = 0;
};

struct Member {
  Rumor is;
  TimePoint since = kNever;    // in this state
  TimePoint heard = kNever;    // a packet of its own
  TimePoint until = kForever;  // a suspect is given up then
  std::uint64_t number = 0;    // the highest of its packets, and which of the 64 below came
  std::uint64_t seen = 0;
  std::vector<std::string> accusers;
  bool proven = false;  // it has answered a nonce of ours, or a member told of it
  bool counts() const { return proven && (is.state == State::alive || is.state == State::suspect); }
};

// One for the log: `by` is whose word it rests on.
struct Change {
  std::string name, by;
  State state = State::alive;
  std::uint64_t generation = 0;
  bool fresh = false;  // the first that is heard of this generation
};

class Members {
 public:
  // What was dropped, by cause.
  struct Dropped {
    std::uint64_t otherFleet = 0, oldGeneration = 0, replayed = 0, misdirected = 0, ownName = 0,
                  full = 0;
  };

  Members(Self self, Parameters parameters, TimePoint now);

  // Facts. `from`: where the packet came from, which counts where it names no address itself. False
  // where it was dropped.
  bool received(const Packet& p, Address from, TimePoint now);
  void tick(TimePoint now);
  void leave(TimePoint now);  // the front ends: told to some at once
  // When tick() is due next.
  TimePoint dueAt() const;

  std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

  // Itself included.
  std::size_t live() const { return static_cast<std::size_t>(live_) + 1; }
  const std::map<std::string, Member>& all() const { return members_; }
  const Member* find(const std::string& name) const;
  const Rumor& self() const { return self_.is; }
  const Dropped& dropped() const { return dropped_; }
  // It was paused, or its own probes fail: what it believes of others is doubtful.
  bool doubtsItself(TimePoint now) const;
  int health() const { return ill_; }  // 0: well
  // Another process has its name: it says nothing any more.
  bool usurped() const { return usurped_; }

 private:
  struct Own {
    Rumor is;
    std::vector<Address> seeds;
    std::string fleet;
  };
  struct Probe {
    std::string of;
    std::uint64_t nonce = 0;
    TimePoint askOthersAt = kNever, failsAt = kNever;
    bool asked = false;
  };
  struct Relayed {
    std::uint64_t nonce = 0, forNonce = 0;
    std::string asker;
    TimePoint until = kNever;
  };
  struct Spread {
    std::unique_ptr<const Rumor> rumor;  // they are set in order again and again
    int times = 0;
  };

  Packet packet(Packet::Kind kind, const std::string& to);
  void send(Address to, Packet p);
  void sendTo(const Member& m, Packet p) { send(m.is.at, std::move(p)); }
  bool fresh(Member& m, std::uint64_t number);
  void hear(const Rumor& r, const std::string& by, TimePoint now);
  void hearOfSelf(const Rumor& r, TimePoint now);
  void become(Member& m, const Rumor& r, const std::string& by, bool isFresh, TimePoint now);
  void spread(const Rumor& r);
  void suspect(const std::string& name, TimePoint now);
  Duration suspicion(std::size_t accusers) const;
  void prove(Member& m, const std::string& by);
  void probeNext(TimePoint now);
  void probe(const Member& m, TimePoint now);
  void probeSeed();
  void askPage(TimePoint now);
  void answerPage(const Packet& p, const Member& to);
  void forgetOld(TimePoint now);
  void count(const Member& m, int by);  // -1 before its state changes, 1 after
  Duration scaled() const;              // the period by its own health
  int copies() const;
  const Member* draw(const std::string& except);

  Own self_;
  Parameters parameters_;
  std::ranlux24_base chance_;
  std::map<std::string, Member> members_;  // by name: what is done never depends on hash order
  int live_ = 0, suspects_ = 0;
  std::vector<std::string> round_;  // whom to probe, in turn, drawn anew for each round
  std::vector<Spread> rumors_;
  std::vector<Probe> probes_;
  std::vector<Relayed> relayed_;
  std::uint64_t number_ = 0, nonce_ = 0;
  int ill_ = 0, raised_ = 0;
  bool usurped_ = false, leaving_ = false, pagesDone_ = false, news_ = false;
  std::string cursor_;
  TimePoint tickedAt_, probeAt_, pageAt_, seedAt_, doubtsUntil_ = kNever;
  std::vector<Outgoing> outgoing_;
  std::vector<Change> changes_;
  Dropped dropped_;
};

}  // namespace reedchute::membership
