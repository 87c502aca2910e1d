// SWIM's failure detector. Pings one member per period, each member once in a randomly ordered
// round, and requests indirect pings from other members if it doesn't answer. Also serves the ping
// requests of others. Reports which members failed to answer; Membership decides what follows from
// that.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/outbox.h"
#include "membership/parameters.h"

namespace reedchute::membership {

class FailureDetector {
 public:
  // The references must outlive the detector.
  FailureDetector(const Parameters& parameters, const MemberTable& members,
                  const LocalHealth& health, Outbox& outbox, Random& random,
                  std::uint64_t firstNonce)
      : parameters_(parameters),
        members_(members),
        health_(health),
        outbox_(outbox),
        random_(random),
        lastNonce_(firstNonce) {}

  std::uint64_t nextNonce() { return ++lastNonce_; }
  bool hasCapacity() const;

  // Pings the next member of the round, if any.
  void probeNext(TimePoint now);
  void probe(const Member& member, TimePoint now);
  // Closes the open probe with this nonce and returns the probed member's name; returns an empty
  // string if there is no such probe.
  std::string onAck(std::uint64_t nonce);
  // Forwards an ack to the member that requested the ping, if any.
  void forwardAck(std::uint64_t nonce);
  void onPingRequest(const PingRequest& request, const std::string& requester, TimePoint now);

  // Requests indirect pings of members that haven't answered, and closes the probes that have timed
  // out. Returns the names of the members of the closed probes.
  std::vector<std::string> expireProbes(TimePoint now);
  void expireForwards(TimePoint now);
  // Discards open probes and forwards. Used after a pause of this process, when an unanswered probe
  // is no evidence of a failure.
  void discardPending();

  // When expireProbes() is due next.
  TimePoint dueAt() const;

 private:
  struct Probe {
    std::string target;
    std::uint64_t nonce = 0;
    TimePoint indirectAt = kNever;
    TimePoint failsAt = kNever;
    bool isIndirect = false;  // indirect pings were requested
  };
  struct Forward {
    std::uint64_t nonce = 0;           // of the ping that this process sent
    std::uint64_t requesterNonce = 0;  // of the PingRequest
    std::string requester;
    TimePoint expiresAt = kNever;
  };

  void startRound();
  void probeIndirectly(Probe& probe);

  const Parameters& parameters_;
  const MemberTable& members_;
  const LocalHealth& health_;
  Outbox& outbox_;
  Random& random_;
  std::uint64_t lastNonce_;
  std::vector<std::string> round_;  // members still to be probed; the last one is next
  std::vector<Probe> probes_;
  std::vector<Forward> forwards_;
};

}  // namespace reedchute::membership
