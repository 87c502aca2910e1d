// Members and notes behind datagrams: all of the membership but the socket. Without I/O and clock.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/members.h"
#include "membership/notes.h"
#include "membership/wire.h"

namespace reedchute::membership {

class Gossip {
 public:
  struct Counters {
    std::uint64_t packetsIn = 0, packetsOut = 0, bytesIn = 0, bytesOut = 0, unsendable = 0;
    std::array<std::uint64_t, 5> bad{};  // by Bad
  };

  Gossip(Self self, Parameters parameters, Notes::Bounds bounds, Keys keys, TimePoint now);

  void datagram(std::string_view bytes, Address from, TimePoint now);
  void tick(TimePoint now) { members_.tick(now); }
  void leave(TimePoint now) { members_.leave(now); }
  TimePoint dueAt() const { return members_.dueAt(); }
  // What is to be sent by now, with the notes that travel on it.
  std::vector<std::pair<Address, std::string>> takeDatagrams(TimePoint now);

  Members& members() { return members_; }
  const Members& members() const { return members_; }
  Notes& notes() { return notes_; }
  const Keys& keys() const { return keys_; }
  const Counters& counters() const { return counters_; }

 private:
  Members members_;
  Notes notes_;
  Keys keys_;
  Counters counters_;
};

}  // namespace reedchute::membership
