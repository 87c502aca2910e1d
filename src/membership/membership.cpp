#include "membership/membership.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace reedchute::membership {
namespace {

constexpr double kPauseThreshold = 2;        // periods; a longer time between two ticks is a pause
constexpr double kGoneRetention = 200;       // periods until left and dead members are removed
constexpr double kSeedInterval = 20;         // periods
constexpr int kMaxIncarnationConflicts = 3;  // tolerated before yielding the name
constexpr int kExtraLeaveNotices = 2;        // sent on leaving, beyond Parameters::indirectProbes

std::vector<Address> withoutSelf(std::vector<Address> seeds, const Address& self) {
  std::erase(seeds, self);
  return seeds;
}

// A random offset within the first period, so that processes that start together don't ping in the
// same instant for as long as they run.
TimePoint firstProbeAt(TimePoint now, Duration period, Random& random) {
  return now + period * (static_cast<double>(random() % 1000) / 1000);
}

}  // namespace

Membership::Membership(LocalMember self, Parameters parameters, TimePoint now)
    : self_{.name = std::move(self.name),
            .zone = std::move(self.zone),
            .address = self.address,
            .incarnation = self.incarnation},
      parameters_(parameters),
      random_(static_cast<std::uint32_t>(self.randomSeed ^ (self.randomSeed >> 32))),
      seeds_(withoutSelf(std::move(self.seeds), self.address)),
      fleet_(std::move(self.fleet)),
      members_(parameters.maxMembers),
      health_(parameters.period),
      outbox_(fleet_, self_, members_, parameters.updatesPerPacket),
      detector_(parameters_, members_, health_, outbox_, random_, self.randomSeed | 1),
      probeAt_(firstProbeAt(now, parameters.period, random_)),
      sync_(parameters_, seeds_, members_, outbox_, random_, now),
      tickedAt_(now),
      seedAt_(now) {}

bool Membership::isLocallyDegraded(TimePoint now) const {
  return hasNameConflict_ || health_.isDegraded(now);
}

TimePoint Membership::dueAt() const {
  if (hasNameConflict_ || isLeaving_) return kForever;
  TimePoint due = std::min({probeAt_, seedAt_, detector_.dueAt()});
  if (!sync_.isComplete() || members_.hasLiveOthers()) due = std::min(due, sync_.requestAt());
  return due;
}

// ---- packets ----

bool Membership::receive(const Packet& packet, Address source, TimePoint now) {
  if (hasNameConflict_ || !isForSelf(packet)) return false;
  if (packet.from.name == self_.name) {
    ++dropped_.ownName;
    if (packet.from.incarnation != self_.incarnation) onUpdateOfSelf(packet.from, now);
    return false;
  }
  const Member* known = members_.find(packet.from.name);
  if (known && packet.from.incarnation < known->latest.incarnation) {
    answerOldIncarnation(packet, source, *known);
    ++dropped_.oldIncarnation;
    return false;
  }
  MemberUpdate own = packet.from;
  if (own.address.port == 0) own.address = source;
  Member* sender = acceptSender(packet, own, now);
  if (!sender) return false;

  std::size_t changesBefore = changes_.size();
  for (const MemberUpdate& update : packet.updates) apply(update, packet.from.name, now);
  handle(packet.message, packet, *sender, changes_.size() > changesBefore, now);
  return true;
}

bool Membership::isForSelf(const Packet& packet) {
  if (packet.fleet != fleet_) {
    ++dropped_.otherFleet;
    return false;
  }
  if (!packet.to.empty() && packet.to != self_.name) {
    ++dropped_.misdirected;
    return false;
  }
  return true;
}

// Unless the packet is a replayed one, its sender must be notified that its name has a later
// incarnation.
void Membership::answerOldIncarnation(const Packet& packet, Address source, const Member& known) {
  Packet answer = outbox_.compose(packet.from.name, Ack{});
  prependUpdate(answer, known.latest);
  outbox_.send(packet.from.address.port ? packet.from.address : source, std::move(answer));
}

// Returns the packet's sender, updated with `own`, its update on itself. Returns null if the packet
// is a replay or the table is full.
Member* Membership::acceptSender(const Packet& packet, const MemberUpdate& own, TimePoint now) {
  Member* sender = members_.find(own.name);
  bool isNewIncarnation = !sender || own.incarnation > sender->latest.incarnation;
  if (!sender) sender = members_.add(own.name);
  if (!sender) {
    ++dropped_.tableFull;
    return nullptr;
  }
  if (isNewIncarnation) {
    sender->replayWindow.reset();
    setState(*sender, own, own.name, Novelty::newIncarnation, now);
  }
  if (!sender->replayWindow.accept(packet.number)) {
    ++dropped_.replayed;
    return nullptr;
  }
  sender->lastReceived = now;
  sender->latest.address = own.address;
  if (!isNewIncarnation) apply(own, own.name, now);
  // The packet may be a recorded one of a process that no longer exists. So a sender that no other
  // member has reported is counted only after it has answered a nonce of this process.
  if (!sender->isVerified && detector_.hasCapacity()) detector_.probe(*sender, now);
  return sender;
}

void Membership::handle(const Message& message, const Packet& packet, Member& sender,
                        bool hasNewUpdates, TimePoint now) {
  const std::string& from = packet.from.name;
  std::visit(
      [&](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, Ping>) onPing(body, packet, sender);
        if constexpr (std::is_same_v<Body, Ack>) onAck(body, from, now);
        if constexpr (std::is_same_v<Body, PingRequest>) detector_.onPingRequest(body, from, now);
        if constexpr (std::is_same_v<Body, SyncRequest>) sync_.onRequest(body, sender);
        if constexpr (std::is_same_v<Body, SyncPage>) sync_.onPage(body, hasNewUpdates);
      },
      message);
}

void Membership::onPing(const Ping& ping, const Packet& packet, const Member& sender) {
  Packet answer = outbox_.compose(packet.from.name, Ack{.nonce = ping.nonce});
  // A live member must be notified that others hold it as suspect, left or dead, so that it can
  // refute.
  bool isContested = sender.latest.state != MemberState::alive;
  if (isContested && packet.from.state == MemberState::alive) prependUpdate(answer, sender.latest);
  outbox_.send(sender, std::move(answer));
}

// The ack is from the probed member, or was forwarded by a member that pinged it for this process.
void Membership::onAck(const Ack& ack, const std::string& from, TimePoint now) {
  std::string probed = detector_.onAck(ack.nonce);
  if (!probed.empty()) {
    if (Member* member = members_.find(probed)) {
      bool isDirect = probed == from;
      if (isDirect && !member->isVerified) verify(*member, from);
      if (!isDirect) member->lastReceived = now;
    }
    health_.onProbeAnswered();
  }
  detector_.forwardAck(ack.nonce);
}

// ---- updates ----

void Membership::apply(const MemberUpdate& update, const std::string& source, TimePoint now) {
  if (update.name == self_.name) return onUpdateOfSelf(update, now);
  Member* member = members_.find(update.name);
  if (!member) return addMember(update, source, now);
  if (update.incarnation < member->latest.incarnation) return;
  if (update.incarnation > member->latest.incarnation) {
    member->replayWindow.reset();
    setState(*member, update, source, Novelty::newIncarnation, now);
    return;
  }
  bool isSelfReported = source == update.name;
  if (!member->isVerified && !isSelfReported) verify(*member, source);
  if (update.state == MemberState::suspect) addAccuser(update, source, *member);
  if (!supersedes(update, *member, now)) return;
  MemberUpdate accepted = update;
  // Only the member itself knows its current address.
  if (!isSelfReported && member->latest.address != Address{})
    accepted.address = member->latest.address;
  setState(*member, accepted, source, Novelty::knownIncarnation, now);
}

void Membership::addMember(const MemberUpdate& update, const std::string& source, TimePoint now) {
  // That an unknown member is gone changes nothing.
  if (update.state == MemberState::left || update.state == MemberState::dead) return;
  Member* member = members_.add(update.name);
  if (!member) {
    ++dropped_.tableFull;
    return;
  }
  setState(*member, update, source, Novelty::newIncarnation, now);
}

// SWIM's precedence of updates about one incarnation: the higher number of refutations wins; for
// equal numbers, left and dead override suspect, and suspect overrides alive. A member that is gone
// stays so until it refutes.
bool Membership::supersedes(const MemberUpdate& update, Member& member, TimePoint now) {
  const MemberUpdate& latest = member.latest;
  if (update.state == MemberState::alive) return update.refutations > latest.refutations;
  if (member.isGone() || update.refutations < latest.refutations) return false;
  if (update.state == MemberState::suspect)
    return update.refutations > latest.refutations || latest.state == MemberState::alive;
  // Under heavy datagram loss, some members declare one dead from which others still receive
  // packets. A process that still receives packets from it keeps it, and notifies it so that it can
  // refute.
  Duration timeout = shortestSuspicionTimeout(members_.liveCount(), parameters_.period);
  bool wasReceivedRecently = now - member.lastReceived < timeout;
  if (update.state == MemberState::dead && wasReceivedRecently) {
    requestRefutation(update, member);
    return false;
  }
  return true;
}

// Records a further member that reports the same suspicion, which shortens the suspect's timeout.
void Membership::addAccuser(const MemberUpdate& update, const std::string& accuser,
                            Member& member) {
  bool isSameSuspicion = member.latest.state == MemberState::suspect &&
                         update.refutations == member.latest.refutations;
  if (!isSameSuspicion || !member.suspicion.addAccuser(accuser)) return;
  member.suspicion.shortenTo(
      suspicionTimeout(member.suspicion.accuserCount(), members_.liveCount(), parameters_.period));
  outbox_.announce(update);
}

// Sends the update to the member that it is about, so that it can refute it.
void Membership::requestRefutation(const MemberUpdate& update, const Member& member) {
  Packet ping = outbox_.compose(update.name, Ping{.nonce = detector_.nextNonce()});
  prependUpdate(ping, update);
  outbox_.send(member, std::move(ping));
}

// Refutes that this process is suspected or gone, which happens for example after a pause, and
// records it in the local health as a sign of being slow.
void Membership::onUpdateOfSelf(const MemberUpdate& update, TimePoint now) {
  if (isLeaving_ || update.incarnation < self_.incarnation) return;
  if (update.incarnation > self_.incarnation) return resolveIncarnationConflict(update.incarnation);
  if (update.state == MemberState::alive || update.refutations < self_.refutations) return;
  self_.refutations = update.refutations + 1;
  health_.onSuspected(now);
  outbox_.announce(self_);
}

// A higher incarnation under this name is either from before the clock was set back, or belongs to
// another process. In the first case a still higher incarnation resolves it. Two processes must not
// use one name for long, so after kMaxIncarnationConflicts this one stops sending.
void Membership::resolveIncarnationConflict(std::uint64_t incarnation) {
  ++incarnationConflicts_;
  if (incarnationConflicts_ > kMaxIncarnationConflicts) {
    hasNameConflict_ = true;
    return;
  }
  self_.incarnation = incarnation + 1;
  self_.refutations = 0;
  outbox_.restartNumbering();
  outbox_.announce(self_);
}

void Membership::setState(Member& member, const MemberUpdate& update, const std::string& source,
                          Novelty novelty, TimePoint now) {
  bool isNew = novelty == Novelty::newIncarnation;
  bool isChange = isNew || member.latest.state != update.state;
  members_.setLatest(member, update, now);
  member.suspicion.clear();
  if (update.state == MemberState::suspect)
    member.suspicion.start(source, now,
                           suspicionTimeout(1, members_.liveCount(), parameters_.period));
  if (!member.isVerified && isNew && source != update.name) return verify(member, source);
  if (!member.isVerified) return;
  if (isChange) changes_.push_back({update.name, source, update.state, update.incarnation, isNew});
  outbox_.announce(update);
}

void Membership::verify(Member& member, const std::string& source) {
  members_.setVerified(member);
  const MemberUpdate& latest = member.latest;
  changes_.push_back({latest.name, source, latest.state, latest.incarnation, true});
  outbox_.announce(latest);
}

void Membership::suspect(const std::string& name, TimePoint now) {
  const Member* member = members_.find(name);
  if (!member) return;
  // It never answered, and no other member has reported it.
  if (!member->isVerified) return members_.erase(name);
  MemberUpdate update = member->latest;
  update.state = MemberState::suspect;
  apply(update, self_.name, now);
}

// ---- time ----

void Membership::tick(TimePoint now) {
  if (hasNameConflict_ || isLeaving_) return;
  detectPause(now);
  suspectUnanswered(now);
  detector_.expireForwards(now);
  declareExpiredDead(now);
  if (now >= probeAt_) {
    probeAt_ = now + health_.scaledPeriod();
    detector_.probeNext(now);
  }
  if (now >= sync_.requestAt()) sync_.requestPage(now);
  if (now >= seedAt_) {
    seedAt_ = now + parameters_.period * kSeedInterval;
    contactSeed();
    members_.removeGone(parameters_.period * kGoneRetention, now);
  }
}

// After a pause all pings are unanswered and all suspicions have expired, so the process would
// declare the whole fleet dead. Timeouts that expired during the pause are no evidence, so they are
// discarded or extended.
void Membership::detectPause(TimePoint now) {
  Duration sinceTick = now - std::exchange(tickedAt_, now);
  if (sinceTick <= parameters_.period * kPauseThreshold) return;
  detector_.discardPending();
  for (auto& [name, member] : members_.all()) member.suspicion.extendBy(sinceTick);
  health_.onPaused(now);
}

void Membership::suspectUnanswered(TimePoint now) {
  for (const std::string& name : detector_.expireProbes(now)) {
    health_.onProbeFailed();
    // If none of the probes is answered, this process is the more likely cause.
    if (!isLocallyDegraded(now)) suspect(name, now);
  }
}

void Membership::declareExpiredDead(TimePoint now) {
  if (isLocallyDegraded(now) || !members_.hasSuspects()) return;
  std::vector<MemberUpdate> expired;
  for (const auto& [name, member] : members_.all())
    if (member.latest.state == MemberState::suspect && member.suspicion.hasExpired(now))
      expired.push_back(member.latest);
  for (MemberUpdate& update : expired) {
    update.state = MemberState::dead;
    apply(update, self_.name, now);
  }
}

// Pings a random seed and a random dead member: a seed may have restarted, or the fleet may have
// split into parts that don't know each other.
void Membership::contactSeed() {
  if (seeds_.empty()) return;
  Address seed = seeds_[random_() % seeds_.size()];
  outbox_.send(seed, outbox_.compose("", Ping{.nonce = detector_.nextNonce()}));
  contactDeadMember();
}

void Membership::contactDeadMember() {
  std::vector<const Member*> dead;
  for (const auto& [name, member] : members_.all())
    if (member.latest.state == MemberState::dead) dead.push_back(&member);
  if (dead.empty()) return;
  const Member& member = *dead[random_() % dead.size()];
  requestRefutation(member.latest, member);
}

void Membership::leave() {
  if (hasNameConflict_ || isLeaving_) return;
  isLeaving_ = true;
  self_.state = MemberState::left;
  for (int count = 0; count < parameters_.indirectProbes + kExtraLeaveNotices; ++count) {
    const Member* member = members_.randomAlive(random_);
    if (!member) return;
    outbox_.send(*member, outbox_.compose(member->latest.name, Ping{}));
  }
}

}  // namespace reedchute::membership
