#include "membership/membership.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace reedchute::membership {
namespace {

constexpr double kPauseAfter = 2;     // periods between two ticks, from which it was a pause
constexpr double kForgetAfter = 200;  // periods, of those that left or died
constexpr double kSeedInterval = 20;  // periods
constexpr int kMaxOutbids = 3;        // of another process's incarnation, before yielding the name
constexpr int kFarewells = 2;         // members told of leaving, beside Parameters::indirectProbes

std::vector<Address> withoutSelf(std::vector<Address> seeds, const Address& self) {
  std::erase(seeds, self);
  return seeds;
}

// Processes that start together must not ping in the same instant for as long as they run.
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

// Unless the packet is a recorded one, its sender must hear that its name has a later incarnation.
void Membership::answerOldIncarnation(const Packet& packet, Address source, const Member& known) {
  Packet answer = outbox_.compose(packet.from.name, Ack{});
  putFirst(answer, known.latest);
  outbox_.send(packet.from.address.port ? packet.from.address : source, std::move(answer));
}

// The packet's sender, brought up to date by what it says of itself; null where the packet is a
// repeated one, or the table is full.
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
  sender->lastHeard = now;
  sender->latest.address = own.address;
  if (!isNewIncarnation) apply(own, own.name, now);
  // A packet that was recorded long ago may name a process that is no more. One that no other
  // member has told of counts once it has answered a nonce of ours.
  if (!sender->isVerified && detector_.hasCapacity()) detector_.probe(*sender, now);
  return sender;
}

void Membership::handle(const Message& message, const Packet& packet, Member& sender,
                        bool broughtNews, TimePoint now) {
  const std::string& from = packet.from.name;
  std::visit(
      [&](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, Ping>) onPing(body, packet, sender);
        if constexpr (std::is_same_v<Body, Ack>) onAck(body, from, now);
        if constexpr (std::is_same_v<Body, PingRequest>) detector_.onPingRequest(body, from, now);
        if constexpr (std::is_same_v<Body, SyncRequest>) sync_.onRequest(body, sender);
        if constexpr (std::is_same_v<Body, SyncPage>) sync_.onPage(body, broughtNews);
      },
      message);
}

void Membership::onPing(const Ping& ping, const Packet& packet, const Member& sender) {
  Packet answer = outbox_.compose(packet.from.name, Ack{.nonce = ping.nonce});
  // A member that lives must hear that others take it for suspect or gone, to refute it.
  bool isContested = sender.latest.state != MemberState::alive;
  if (isContested && packet.from.state == MemberState::alive) putFirst(answer, sender.latest);
  outbox_.send(sender, std::move(answer));
}

// The ack comes from the probed member, or is passed on by one that pinged it for us.
void Membership::onAck(const Ack& ack, const std::string& from, TimePoint now) {
  std::string probed = detector_.onAck(ack.nonce);
  if (!probed.empty()) {
    if (Member* member = members_.find(probed)) {
      bool isDirect = probed == from;
      if (isDirect && !member->isVerified) verify(*member, from);
      if (!isDirect) member->lastHeard = now;
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
  bool isOwnWord = source == update.name;
  if (!member->isVerified && !isOwnWord) verify(*member, source);
  if (update.state == MemberState::suspect) addAccuser(update, source, *member);
  if (!supersedes(update, *member, now)) return;
  MemberUpdate accepted = update;
  // Only a member itself knows its new address.
  if (!isOwnWord && member->latest.address != Address{}) accepted.address = member->latest.address;
  setState(*member, accepted, source, Novelty::knownIncarnation, now);
}

void Membership::addMember(const MemberUpdate& update, const std::string& source, TimePoint now) {
  // That a member is gone which was never heard of is no news.
  if (update.state == MemberState::left || update.state == MemberState::dead) return;
  Member* member = members_.add(update.name);
  if (!member) {
    ++dropped_.tableFull;
    return;
  }
  setState(*member, update, source, Novelty::newIncarnation, now);
}

// SWIM's order of updates about one incarnation: a higher number of refutations comes first, and
// with the same one gone is stronger than suspect, and suspect than alive.
bool Membership::supersedes(const MemberUpdate& update, Member& member, TimePoint now) {
  const MemberUpdate& latest = member.latest;
  if (update.state == MemberState::alive) return update.refutations > latest.refutations;
  if (member.isGone() || update.refutations < latest.refutations) return false;
  if (update.state == MemberState::suspect)
    return update.refutations > latest.refutations || latest.state == MemberState::alive;
  // Where many datagrams are lost, some members give up one that others still hear. Whoever hears
  // it keeps it, and tells it.
  Duration timeout = shortestSuspicionTimeout(members_.liveCount(), parameters_.period);
  bool wasHeardLately = now - member.lastHeard < timeout;
  if (update.state == MemberState::dead && wasHeardLately) {
    contradict(update, member);
    return false;
  }
  return true;
}

void Membership::addAccuser(const MemberUpdate& update, const std::string& accuser,
                            Member& member) {
  bool isSameSuspicion = member.latest.state == MemberState::suspect &&
                         update.refutations == member.latest.refutations;
  if (!isSameSuspicion || !member.suspicion.addAccuser(accuser)) return;
  member.suspicion.shortenTo(
      suspicionTimeout(member.suspicion.accuserCount(), members_.liveCount(), parameters_.period));
  outbox_.announce(update);
}

void Membership::contradict(const MemberUpdate& update, const Member& member) {
  Packet ping = outbox_.compose(update.name, Ping{.nonce = detector_.nextNonce()});
  putFirst(ping, update);
  outbox_.send(member, std::move(ping));
}

// A process that was only paused hears that it is suspected or dead. It refutes that, and takes it
// as a sign of being slow.
void Membership::onUpdateOfSelf(const MemberUpdate& update, TimePoint now) {
  if (isLeaving_ || update.incarnation < self_.incarnation) return;
  if (update.incarnation > self_.incarnation) return outbid(update.incarnation);
  if (update.state == MemberState::alive || update.refutations < self_.refutations) return;
  self_.refutations = update.refutations + 1;
  health_.onSuspected(now);
  outbox_.announce(self_);
}

// A higher incarnation under this name is one from before the clock was set back, or belongs to
// another process. Two processes must not speak under one name for long, so this one yields in the
// end.
void Membership::outbid(std::uint64_t incarnation) {
  ++outbids_;
  if (outbids_ > kMaxOutbids) {
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
  // It never answered, and no other member told of it.
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
    members_.forgetGone(parameters_.period * kForgetAfter, now);
  }
}

// A process that was paused finds all its pings unanswered and all suspects overdue, and would
// declare the whole fleet dead. Timeouts that ran out in the meantime say nothing.
void Membership::detectPause(TimePoint now) {
  Duration sinceTick = now - std::exchange(tickedAt_, now);
  if (sinceTick <= parameters_.period * kPauseAfter) return;
  detector_.forgetAll();
  for (auto& [name, member] : members_.all()) member.suspicion.extendBy(sinceTick);
  health_.onPaused(now);
}

void Membership::suspectUnanswered(TimePoint now) {
  for (const std::string& name : detector_.expireProbes(now)) {
    health_.onProbeFailed();
    // Where none of the probes is answered, this process is the likelier cause.
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

// A seed may run again, or the fleet may have split into parts that know nothing of each other.
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
  contradict(member.latest, member);
}

void Membership::leave() {
  if (hasNameConflict_ || isLeaving_) return;
  isLeaving_ = true;
  self_.state = MemberState::left;
  for (int count = 0; count < parameters_.indirectProbes + kFarewells; ++count) {
    const Member* member = members_.randomAlive(random_);
    if (!member) return;
    outbox_.send(*member, outbox_.compose(member->latest.name, Ping{}));
  }
}

}  // namespace reedchute::membership
