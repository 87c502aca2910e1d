// SWIM's failure detector: pings one member a period, each once in a randomly ordered round, and
// asks others to ping it where it doesn't answer. It also pings for others. It says which members
// failed to answer; what follows from that is Membership's decision.
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
  // The references must outlive it.
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

  // Pings the next member of the round, if there is any.
  void probeNext(TimePoint now);
  void probe(const Member& member, TimePoint now);
  // The probed member's name where the nonce is that of an open probe, which is closed; else empty.
  std::string onAck(std::uint64_t nonce);
  // Passes an ack on to the member that asked for it, if any did.
  void forwardAck(std::uint64_t nonce);
  void onPingRequest(const PingRequest& request, const std::string& requester, TimePoint now);

  // Asks other members to ping those that haven't answered, and closes the probes whose time is
  // over. The names of the members that didn't answer.
  std::vector<std::string> expireProbes(TimePoint now);
  void expireForwards(TimePoint now);
  // The process was paused: unanswered probes say nothing.
  void forgetAll();

  // When expireProbes() has something to do.
  TimePoint dueAt() const;

 private:
  struct Probe {
    std::string target;
    std::uint64_t nonce = 0;
    TimePoint indirectAt = kNever;
    TimePoint failsAt = kNever;
    bool isIndirect = false;  // others were asked
  };
  struct Forward {
    std::uint64_t nonce = 0;           // of the ping sent here
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
  std::vector<std::string> round_;  // the members that are still to be probed, the last first
  std::vector<Probe> probes_;
  std::vector<Forward> forwards_;
};

}  // namespace reedchute::membership
