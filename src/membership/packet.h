// What fronts say to each other about who is alive, as plain values. Ages are spans: no front
// believes another's clock.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace reedchute::membership {

struct Address {
  std::uint32_t ip = 0;  // both in this machine's byte order
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

// `left`: its own word that it goes; `dead`: given up by others.
enum class State { alive, suspect, left, dead };
const char* nameOf(State s);

// A front under its name. `generation` is a higher one after each start; `incarnation` rises
// whenever it refutes a suspicion.
struct Rumor {
  std::string name, zone;
  Address at;
  std::uint64_t generation = 0;
  std::uint32_t incarnation = 0;
  State state = State::alive;
};

// What a front tells all others by way of some: the newest of each origin and topic counts.
struct Note {
  std::string origin;
  std::uint64_t generation = 0;
  std::uint32_t number = 0;  // rises with each
  int topic = 0;
  Duration age;  // since the origin wrote it, as far as those on its way could tell: never less
                 // than it is by their clocks
  std::string bytes;
};

struct Packet {
  // `relay`: ping the target for me. `page`: tell me of members from `cursor` on; `pageOf` answers
  // it.
  enum class Kind { ping, ack, relay, page, pageOf };

  std::string fleet, to;     // `to`: empty where the sender knows an address and no name
  Rumor from;                // the sender's word on itself
  std::uint64_t number = 0;  // of all packets of this generation
  Kind kind = Kind::ping;
  std::uint64_t nonce = 0;
  std::string target;  // of a relay
  Address targetAt;
  std::string cursor;  // of a page: the name after which it begins; of its answer: where the next
                       // one begins, or none
  std::vector<Rumor> rumors;
  std::vector<Note> notes;
};

struct Outgoing {
  Address to;
  Packet packet;
};

}  // namespace reedchute::membership
