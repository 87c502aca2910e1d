#include "membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace reedchute::membership {
namespace {

constexpr double kIndirectAfter = 0.34;  // periods without an ack to send indirect probes
constexpr double kFailsAfter = 0.9;      // periods without any ack, direct or indirect, to fail
constexpr std::size_t kMaxProbes = 256;
constexpr std::size_t kMaxForwards = 256;

}  // namespace

bool FailureDetector::hasCapacity() const {
  return probes_.size() < kMaxProbes;
}

void FailureDetector::startRound() {
  for (const auto& [name, member] : members_.all())
    if (member.isActive()) round_.push_back(name);
  std::shuffle(round_.begin(), round_.end(), random_);
}

void FailureDetector::probeNext(TimePoint now) {
  if (!hasCapacity()) return;
  if (round_.empty()) startRound();
  while (!round_.empty()) {
    std::string name = std::move(round_.back());
    round_.pop_back();
    const Member* member = members_.find(name);
    if (member && member->isActive()) return probe(*member, now);
  }
}

void FailureDetector::probe(const Member& member, TimePoint now) {
  const std::string& name = member.latest.name;
  std::uint64_t nonce = nextNonce();
  Packet ping = outbox_.compose(name, Ping{.nonce = nonce});
  // A suspect must be notified of the suspicion so that it can refute it.
  if (member.latest.state == MemberState::suspect) prependUpdate(ping, member.latest);
  Duration period = health_.scaledPeriod();
  probes_.push_back({.target = name,
                     .nonce = nonce,
                     .indirectAt = now + period * kIndirectAfter,
                     .failsAt = now + period * kFailsAfter});
  outbox_.send(member, std::move(ping));
}

std::string FailureDetector::onAck(std::uint64_t nonce) {
  auto probe = std::find_if(probes_.begin(), probes_.end(),
                            [&](const Probe& open) { return open.nonce == nonce; });
  if (probe == probes_.end()) return "";
  std::string target = std::move(probe->target);
  probes_.erase(probe);
  return target;
}

void FailureDetector::forwardAck(std::uint64_t nonce) {
  auto forward = std::find_if(forwards_.begin(), forwards_.end(),
                              [&](const Forward& open) { return open.nonce == nonce; });
  if (forward == forwards_.end()) return;
  if (const Member* requester = members_.find(forward->requester))
    outbox_.send(*requester,
                 outbox_.compose(forward->requester, Ack{.nonce = forward->requesterNonce}));
  forwards_.erase(forward);
}

void FailureDetector::onPingRequest(const PingRequest& request, const std::string& requester,
                                    TimePoint now) {
  if (forwards_.size() >= kMaxForwards) return;
  std::uint64_t nonce = nextNonce();
  forwards_.push_back({.nonce = nonce,
                       .requesterNonce = request.nonce,
                       .requester = requester,
                       .expiresAt = now + parameters_.period});
  Packet ping = outbox_.compose(request.target, Ping{.nonce = nonce});
  const Member* target = members_.find(request.target);
  outbox_.send(target ? target->latest.address : request.targetAddress, std::move(ping));
}

void FailureDetector::probeIndirectly(Probe& probe) {
  probe.isIndirect = true;
  const Member* target = members_.find(probe.target);
  if (!target) return;
  for (int count = 0; count < parameters_.indirectProbes; ++count) {
    const Member* helper = members_.randomAlive(random_, probe.target);
    if (!helper) return;
    PingRequest request{
        .nonce = probe.nonce, .target = probe.target, .targetAddress = target->latest.address};
    outbox_.send(*helper, outbox_.compose(helper->latest.name, std::move(request)));
  }
}

std::vector<std::string> FailureDetector::expireProbes(TimePoint now) {
  std::vector<std::string> failed;
  for (Probe& probe : probes_) {
    if (!probe.isIndirect && now >= probe.indirectAt) probeIndirectly(probe);
    if (now >= probe.failsAt) failed.push_back(probe.target);
  }
  std::erase_if(probes_, [&](const Probe& probe) { return now >= probe.failsAt; });
  return failed;
}

void FailureDetector::expireForwards(TimePoint now) {
  std::erase_if(forwards_, [&](const Forward& forward) { return now >= forward.expiresAt; });
}

void FailureDetector::discardPending() {
  probes_.clear();
  forwards_.clear();
}

TimePoint FailureDetector::dueAt() const {
  TimePoint due = kForever;
  for (const Probe& probe : probes_)
    due = std::min(due, probe.isIndirect ? probe.failsAt : probe.indirectAt);
  return due;
}

}  // namespace reedchute::membership
