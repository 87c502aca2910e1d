// What fronts tell all others, by topic: a bounded sample of the newest notes, passed on with their
// ages. Without I/O and clock. What is held and sent stays the same however many fronts there are:
// with more of them each hears of fewer, drawn by chance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/packet.h"

namespace reedchute::membership {

class Notes {
 public:
  struct Bounds {
    std::size_t kept = 64;       // of a topic, by distinct origins
    std::size_t sent = 6;        // of others, in one packet
    std::size_t bytes = 900;     // of one note, and a packet has 1,400; a longer one is dropped
    Duration maxAge{2'000'000};  // older ones are no news any more
  };
  struct Held {
    std::uint64_t generation = 0;
    std::uint32_t number = 0;
    TimePoint written = kNever;  // by our clock, with the age that it came with
    std::string bytes;
  };

  Notes(std::string origin, std::uint64_t generation, Bounds bounds, std::uint64_t seed)
      : origin_(std::move(origin)),
        generation_(generation),
        bounds_(bounds),
        chance_(static_cast<std::uint32_t>(seed)) {}

  void renamed(std::uint64_t generation) { generation_ = generation; }
  // Our own on a topic from now on.
  void say(int topic, std::string bytes, TimePoint now);
  // Adds to a packet what it is to carry: all of our own, and some of others.
  void fill(std::vector<Note>& into, TimePoint now);
  // `passage`: the least time that a packet takes. False where it brought nothing new.
  bool hear(const Note& n, Duration passage, TimePoint now);
  // Notes of others that are no older than the bound, by origin.
  const std::map<std::string, Held>& on(int topic, TimePoint now);
  std::uint64_t dropped() const { return dropped_; }

 private:
  void fade(std::map<std::string, Held>& held, TimePoint now) const;

  std::string origin_;
  std::uint64_t generation_;
  Bounds bounds_;
  std::ranlux24_base chance_;
  std::map<int, Held> own_;
  std::map<int, std::map<std::string, Held>> held_;
  std::uint64_t dropped_ = 0;
};

}  // namespace reedchute::membership
