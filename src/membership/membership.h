// Group membership: the SWIM protocol with suspicion, and Lifeguard's local health. docs/zones.md
// describes the alternatives considered.
//
// Performs no I/O and reads no clock: the caller passes in packets and the time, and takes the
// packets to send. These are the same for the same seed and events. Not thread-safe. A process
// sends one ping per period whatever the size of the fleet; updates are piggybacked on pings and
// acks. It stores one entry per member, up to Parameters::maxMembers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "membership/failure_detector.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/outbox.h"
#include "membership/packet.h"
#include "membership/parameters.h"
#include "membership/state_sync.h"

namespace reedchute::membership {

// A change of state for the log.
struct MembershipChange {
  std::string name;
  std::string source;  // the member that reported it
  MemberState state = MemberState::alive;
  std::uint64_t incarnation = 0;
  bool isNewIncarnation = false;  // the first update on this incarnation
};

class Membership {
 public:
  // Packets and updates that were dropped, by cause.
  struct Dropped {
    std::uint64_t otherFleet = 0;
    std::uint64_t oldIncarnation = 0;
    std::uint64_t replayed = 0;
    std::uint64_t misdirected = 0;
    std::uint64_t ownName = 0;
    std::uint64_t tableFull = 0;
  };

  Membership(LocalMember self, Parameters parameters, TimePoint now);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Handles a packet. `source` is the address that it was received from, used if the packet names
  // no address. Returns false if the packet was dropped.
  bool receive(const Packet& packet, Address source, TimePoint now);
  void tick(TimePoint now);
  // When tick() is due next.
  TimePoint dueAt() const;
  // Notifies some members at once that this process shuts down. Afterwards tick() does nothing.
  void leave();

  std::vector<OutgoingPacket> takePackets() { return outbox_.takePackets(); }
  std::vector<MembershipChange> takeChanges() { return std::exchange(changes_, {}); }

  // Live members, this process included.
  std::size_t liveCount() const { return members_.liveCount(); }
  const std::map<std::string, Member>& members() const { return members_.all(); }
  const Member* find(const std::string& name) const { return members_.find(name); }
  const MemberUpdate& self() const { return self_; }
  const Dropped& dropped() const { return dropped_; }
  // This process was paused, is suspected by others, has failing probes, or has a name conflict, so
  // that its view of other members is unreliable.
  bool isLocallyDegraded(TimePoint now) const;
  int localHealthScore() const { return health_.score(); }  // 0: healthy
  // Another process uses the same name; this one has stopped sending.
  bool hasNameConflict() const { return hasNameConflict_; }

 private:
  enum class Novelty { newIncarnation, knownIncarnation };

  bool isForSelf(const Packet& packet);
  void answerOldIncarnation(const Packet& packet, Address source, const Member& known);
  Member* acceptSender(const Packet& packet, const MemberUpdate& own, TimePoint now);
  void handle(const Message& message, const Packet& packet, Member& sender, bool hasNewUpdates,
              TimePoint now);
  void onPing(const Ping& ping, const Packet& packet, const Member& sender);
  void onAck(const Ack& ack, const std::string& from, TimePoint now);

  void apply(const MemberUpdate& update, const std::string& source, TimePoint now);
  void addMember(const MemberUpdate& update, const std::string& source, TimePoint now);
  bool supersedes(const MemberUpdate& update, Member& member, TimePoint now);
  void addAccuser(const MemberUpdate& update, const std::string& accuser, Member& member);
  void requestRefutation(const MemberUpdate& update, const Member& member);
  void onUpdateOfSelf(const MemberUpdate& update, TimePoint now);
  void resolveIncarnationConflict(std::uint64_t incarnation);
  void setState(Member& member, const MemberUpdate& update, const std::string& source,
                Novelty novelty, TimePoint now);
  void verify(Member& member, const std::string& source);
  void suspect(const std::string& name, TimePoint now);

  void detectPause(TimePoint now);
  void suspectUnanswered(TimePoint now);
  void declareExpiredDead(TimePoint now);
  void contactSeed();
  void contactDeadMember();

  MemberUpdate self_;
  Parameters parameters_;
  Random random_;
  std::vector<Address> seeds_;
  std::string fleet_;
  MemberTable members_;
  LocalHealth health_;
  Outbox outbox_;
  FailureDetector detector_;
  TimePoint probeAt_;  // initialized with the first draw from random_
  StateSync sync_;
  TimePoint tickedAt_;
  TimePoint seedAt_;
  int incarnationConflicts_ = 0;
  bool hasNameConflict_ = false;
  bool isLeaving_ = false;
  std::vector<MembershipChange> changes_;
  Dropped dropped_;
};

}  // namespace reedchute::membership
