#include "membership/members.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedchute::membership {
namespace {

// In periods.
constexpr double kAskOthers = 0.34;  // without an ack, before others are asked
constexpr double kFails = 0.9;       // without one from them either
constexpr double kSuspicion =
    6;  // of a suspect that enough others accuse, times the logarithm of the members
constexpr double kAlone = 3;     // times longer for one that a single member accuses
constexpr double kAccusers = 3;  // that are enough
constexpr double kLate = 2;      // a tick that comes so late: the front was paused
constexpr double kDoubts = 4;    // that it doubts itself for after a pause
constexpr double kForget = 200;  // after which those that are gone are forgotten
constexpr double kPageSoon = 0.5,
                 kPageLater = 10;  // between two pages while they bring news, and later
constexpr double kSeedEvery = 20;  // between two words to a seed
// Others.
constexpr int kIllMost = 8, kIll = 3;  // own health: the worst, and from where on it doubts itself
constexpr int kRaises = 3;  // of its generation above another's, before it yields its name
constexpr std::size_t kRumorsKept = 256, kProbesKept = 256, kRelayedKept = 256, kAccusersKept = 8;
constexpr int kCopies = 4;  // of a rumor, times the logarithm of the members
constexpr std::size_t kPageBytes = 900, kRumorBytes = 32;
constexpr int kWindow = 64;  // of packet numbers

}  // namespace

const char* nameOf(State s) {
  switch (s) {
    case State::alive:
      return "alive";
    case State::suspect:
      return "suspect";
    case State::left:
      return "left";
    default:
      return "dead";
  }
}

Members::Members(Self self, Parameters parameters, TimePoint now)
    : parameters_(parameters), chance_(static_cast<std::uint32_t>(self.seed ^ (self.seed >> 32))) {
  self_.is = {self.name, self.zone, self.at, self.generation, 0, State::alive};
  self_.seeds = std::move(self.seeds);
  std::erase(self_.seeds, self.at);
  self_.fleet = std::move(self.fleet);
  nonce_ = self.seed | 1;
  tickedAt_ = now;
  // Danger: fronts that start together would all ping in the same instant, for as long as they run.
  probeAt_ = now + parameters_.period * (static_cast<double>(chance_() % 1000) / 1000);
  pageAt_ = seedAt_ = now;
}

const Member* Members::find(const std::string& name) const {
  auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

bool Members::doubtsItself(TimePoint now) const {
  return usurped_ || ill_ >= kIll || now < doubtsUntil_;
}

Duration Members::scaled() const {
  return parameters_.period * (1 + ill_ * 0.25);
}

int Members::copies() const {
  return kCopies * static_cast<int>(std::ceil(std::log10(static_cast<double>(live()) + 1)));
}

TimePoint Members::dueAt() const {
  if (usurped_ || leaving_) return kForever;
  TimePoint due = std::min(probeAt_, seedAt_);
  if (!pagesDone_ || live_ > 0) due = std::min(due, pageAt_);
  for (const Probe& p : probes_) due = std::min(due, p.asked ? p.failsAt : p.askOthersAt);
  return due;
}

// ---- packets ----

Packet Members::packet(Packet::Kind kind, const std::string& to) {
  Packet p;
  p.fleet = self_.fleet, p.to = to, p.from = self_.is, p.kind = kind;
  // Those told of the least go first; each is told so many times, by the number of members.
  // Those told the last time stand in order, and so do the others: runs are merged, which costs
  // less than sorting.
  auto fewer = [](const Spread& a, const Spread& b) { return a.times < b.times; };
  for (auto run = std::is_sorted_until(rumors_.begin(), rumors_.end(), fewer);
       run != rumors_.end();) {
    auto next = std::is_sorted_until(run, rumors_.end(), fewer);
    std::inplace_merge(rumors_.begin(), run, next, fewer);
    run = next;
  }
  for (Spread& s : rumors_) {
    if (p.rumors.size() >= parameters_.rumors) break;
    p.rumors.push_back(*s.rumor), ++s.times;
  }
  std::erase_if(rumors_, [most = copies()](const Spread& s) { return s.times >= most; });
  return p;
}

void Members::send(Address to, Packet p) {
  p.number = ++number_;
  outgoing_.push_back({to, std::move(p)});
}

// Each packet counts once. Danger: one that was recorded and is sent again would renew what is long
// over.
bool Members::fresh(Member& m, std::uint64_t number) {
  if (number == 0) return false;
  if (number > m.number) {
    std::uint64_t by = number - m.number;
    m.seen = by >= kWindow ? 0 : m.seen << by;
    if (m.number > 0 && by <= kWindow) m.seen |= std::uint64_t{1} << (by - 1);
    m.number = number;
    return true;
  }
  std::uint64_t behind = m.number - number;
  if (behind == 0 || behind > kWindow) return false;
  std::uint64_t bit = std::uint64_t{1} << (behind - 1);
  if (m.seen & bit) return false;
  m.seen |= bit;
  return true;
}

bool Members::received(const Packet& p, Address from, TimePoint now) {
  if (usurped_) return false;
  if (p.fleet != self_.fleet) return ++dropped_.otherFleet, false;
  if (!p.to.empty() && p.to != self_.is.name) return ++dropped_.misdirected, false;
  if (p.from.name == self_.is.name) {
    ++dropped_.ownName;
    if (p.from.generation != self_.is.generation) hearOfSelf(p.from, now);
    return false;
  }
  auto it = members_.find(p.from.name);
  if (it != members_.end() && p.from.generation < it->second.is.generation) {
    // If it is no recorded one, its sender must hear that its name has a later generation.
    Packet told = packet(Packet::Kind::ack, p.from.name);
    told.rumors.insert(told.rumors.begin(), it->second.is);
    send(p.from.at.port ? p.from.at : from, std::move(told));
    return ++dropped_.oldGeneration, false;
  }
  bool isNew = it == members_.end() || p.from.generation > it->second.is.generation;
  if (it == members_.end()) {
    if (members_.size() >= parameters_.most) return ++dropped_.full, false;
    it = members_.try_emplace(p.from.name).first;
  }
  Member& m = it->second;
  Rumor own = p.from;
  if (own.at.port == 0) own.at = from;
  if (isNew) m.number = 0, m.seen = 0, become(m, own, own.name, true, now);
  if (!fresh(m, p.number)) return ++dropped_.replayed, false;
  m.heard = now;
  m.is.at = own.at;
  // Its own word on itself, as any rumor of it.
  if (!isNew) hear(own, own.name, now);
  // Danger: a packet that was recorded long ago may name a front that is no more. One that no
  // member has told of counts once it has answered a number of ours.
  if (!m.proven && probes_.size() < kProbesKept) probe(m, now);
  std::size_t before = changes_.size();
  for (const Rumor& r : p.rumors) hear(r, p.from.name, now);
  switch (p.kind) {
    case Packet::Kind::ping: {
      Packet answer = packet(Packet::Kind::ack, p.from.name);
      answer.nonce = p.nonce;
      // What is said of it, it must hear, to contradict.
      if (m.is.state != State::alive && own.state == State::alive)
        answer.rumors.insert(answer.rumors.begin(), m.is);
      sendTo(m, std::move(answer));
      break;
    }
    case Packet::Kind::ack: {
      auto probe = std::find_if(probes_.begin(), probes_.end(),
                                [&](const Probe& q) { return q.nonce == p.nonce; });
      if (probe != probes_.end()) {
        // An ack of the one that was asked, or passed on by one who asked it for us.
        auto of = members_.find(probe->of);
        if (of != members_.end()) {
          if (!of->second.proven && probe->of == p.from.name) prove(of->second, p.from.name);
          if (probe->of != p.from.name) of->second.heard = now;
        }
        probes_.erase(probe);
        ill_ = std::max(0, ill_ - 1);
      }
      auto relay = std::find_if(relayed_.begin(), relayed_.end(),
                                [&](const Relayed& q) { return q.nonce == p.nonce; });
      if (relay != relayed_.end()) {
        if (const Member* asker = find(relay->asker)) {
          Packet passed = packet(Packet::Kind::ack, relay->asker);
          passed.nonce = relay->forNonce;
          sendTo(*asker, std::move(passed));
        }
        relayed_.erase(relay);
      }
      break;
    }
    case Packet::Kind::relay: {
      if (relayed_.size() >= kRelayedKept) break;
      relayed_.push_back({++nonce_, p.nonce, p.from.name, now + parameters_.period});
      Packet ping = packet(Packet::Kind::ping, p.target);
      ping.nonce = nonce_;
      const Member* known = find(p.target);
      send(known ? known->is.at : p.targetAt, std::move(ping));
      break;
    }
    case Packet::Kind::page:
      answerPage(p, m);
      break;
    case Packet::Kind::pageOf:
      cursor_ = p.cursor;
      news_ = news_ || changes_.size() > before;
      if (cursor_.empty()) pagesDone_ = !std::exchange(news_, false);
      break;
  }
  return true;
}

void Members::answerPage(const Packet& p, const Member& to) {
  Packet page = packet(Packet::Kind::pageOf, p.from.name);
  page.rumors.clear();
  std::string last;
  // Danger: what would not fit would be cut off the end, and the cursor would have passed it.
  std::size_t bytes = 0;
  auto it = p.cursor.empty() ? members_.begin() : members_.upper_bound(p.cursor);
  for (; it != members_.end() && page.rumors.size() < parameters_.page && bytes < kPageBytes;
       ++it) {
    last = it->first;
    if (!it->second.proven || it->first == p.from.name) continue;
    page.rumors.push_back(it->second.is);
    bytes += it->first.size() + it->second.is.zone.size() + kRumorBytes;
  }
  if (it != members_.end()) page.cursor = last;
  sendTo(to, std::move(page));
}

// ---- what is believed ----

// Danger: counted anew at each change, a fleet of a thousand that starts would cost each front a
// million looks.
void Members::count(const Member& m, int by) {
  live_ += by * m.counts(), suspects_ += by * (m.is.state == State::suspect);
}

void Members::spread(const Rumor& r) {
  std::erase_if(rumors_, [&](const Spread& s) { return s.rumor->name == r.name; });
  if (rumors_.size() >= kRumorsKept) rumors_.pop_back();
  rumors_.insert(rumors_.begin(), Spread{std::make_unique<const Rumor>(r), 0});
}

void Members::become(Member& m, const Rumor& r, const std::string& by, bool isFresh,
                     TimePoint now) {
  bool told = isFresh || m.is.state != r.state;
  bool accused = r.state == State::suspect;
  count(m, -1);
  m.is = r, m.since = now;
  count(m, 1);
  m.until = kForever;
  m.accusers.clear();
  if (accused) m.accusers.push_back(by), m.until = now + suspicion(1);
  if (isFresh && !m.proven && by != r.name) return prove(m, by);
  if (told && m.proven) changes_.push_back({r.name, by, r.state, r.generation, isFresh});
  if (m.proven) spread(r);
}

void Members::prove(Member& m, const std::string& by) {
  count(m, -1);
  m.proven = true;
  count(m, 1);
  changes_.push_back({m.is.name, by, m.is.state, m.is.generation, true});
  spread(m.is);
}

void Members::hear(const Rumor& r, const std::string& by, TimePoint now) {
  if (r.name == self_.is.name) return hearOfSelf(r, now);
  bool gone = r.state == State::left || r.state == State::dead;
  auto it = members_.find(r.name);
  if (it == members_.end()) {
    // Of one that was never heard of, only that it lives is news.
    if (gone) return;
    if (members_.size() >= parameters_.most) {
      ++dropped_.full;
      return;
    }
    it = members_.try_emplace(r.name).first;
    become(it->second, r, by, true, now);
    return;
  }
  Member& m = it->second;
  if (r.generation < m.is.generation) return;
  if (r.generation > m.is.generation) {
    m.number = 0, m.seen = 0;
    become(m, r, by, true, now);
    return;
  }
  if (!m.proven && by != r.name) prove(m, by);
  bool over = m.is.state == State::left || m.is.state == State::dead;
  bool counts = false;
  switch (r.state) {
    case State::alive:
      counts = r.incarnation > m.is.incarnation;
      break;
    case State::suspect:
      counts = !over && (r.incarnation > m.is.incarnation ||
                         (r.incarnation == m.is.incarnation && m.is.state == State::alive));
      if (!counts && r.incarnation == m.is.incarnation && m.is.state == State::suspect &&
          m.accusers.size() < kAccusersKept &&
          std::find(m.accusers.begin(), m.accusers.end(), by) == m.accusers.end()) {
        m.accusers.push_back(by);
        m.until = std::min(m.until, m.since + suspicion(m.accusers.size()));
        spread(r);
      }
      break;
    default:
      counts = !over && r.incarnation >= m.is.incarnation;
      // Danger: where many datagrams are lost some give up one that others hear. Who hears it says
      // so, and tells it.
      if (counts && r.state == State::dead &&
          now - m.heard < suspicion(static_cast<std::size_t>(kAccusers))) {
        Packet told = packet(Packet::Kind::ping, r.name);
        told.rumors.insert(told.rumors.begin(), r);
        told.nonce = ++nonce_;
        sendTo(m, std::move(told));
        counts = false;
      }
      break;
  }
  if (!counts) return;
  Rumor is = r;
  if (by != r.name) is.at = m.is.at == Address{} ? r.at : m.is.at;
  become(m, is, by, false, now);
}

// Danger: a front that was only paused hears of itself that it is gone. It contradicts, and takes
// it as a sign that it is slow. One whose name another process has taken must not speak beside it.
void Members::hearOfSelf(const Rumor& r, TimePoint now) {
  if (leaving_ || r.generation < self_.is.generation) return;
  if (r.generation > self_.is.generation) {
    if (++raised_ > kRaises) {
      usurped_ = true;
      return;
    }
    self_.is.generation = r.generation + 1, self_.is.incarnation = 0, number_ = 0;
    spread(self_.is);
    return;
  }
  if (r.state == State::alive || r.incarnation < self_.is.incarnation) return;
  self_.is.incarnation = r.incarnation + 1;
  ill_ = std::min(kIllMost, ill_ + 1);
  doubtsUntil_ = std::max(doubtsUntil_, now + parameters_.period);
  spread(self_.is);
}

Duration Members::suspicion(std::size_t accusers) const {
  double least = kSuspicion * std::max(1.0, std::log10(static_cast<double>(live()) + 1));
  double part = std::min(1.0, std::log(static_cast<double>(accusers)) / std::log(kAccusers));
  return parameters_.period * (least * (kAlone - (kAlone - 1) * part));
}

void Members::suspect(const std::string& name, TimePoint now) {
  auto it = members_.find(name);
  if (it == members_.end()) return;
  Member& m = it->second;
  if (!m.proven) {
    // It never answered, and no member has told of it: as if it had not been.
    count(m, -1);
    members_.erase(it);
    return;
  }
  Rumor r = m.is;
  r.state = State::suspect;
  hear(r, self_.is.name, now);
}

// ---- what is done in time ----

const Member* Members::draw(const std::string& except) {
  std::vector<const Member*> among;
  for (const auto& [name, m] : members_)
    if (m.counts() && m.is.state == State::alive && name != except) among.push_back(&m);
  return among.empty() ? nullptr : among[chance_() % among.size()];
}

void Members::probeNext(TimePoint now) {
  if (probes_.size() >= kProbesKept) return;
  while (true) {
    if (round_.empty()) {
      for (const auto& [name, m] : members_)
        if (m.is.state == State::alive || m.is.state == State::suspect) round_.push_back(name);
      if (round_.empty()) return;
      std::shuffle(round_.begin(), round_.end(), chance_);
    }
    std::string name = std::move(round_.back());
    round_.pop_back();
    const Member* m = find(name);
    if (!m || (m->is.state != State::alive && m->is.state != State::suspect)) {
      if (round_.empty()) return;
      continue;
    }
    return probe(*m, now);
  }
}

void Members::probe(const Member& m, TimePoint now) {
  Packet ping = packet(Packet::Kind::ping, m.is.name);
  // What is said of it, it must hear, to contradict.
  if (m.is.state == State::suspect) ping.rumors.insert(ping.rumors.begin(), m.is);
  ping.nonce = ++nonce_;
  probes_.push_back(
      {m.is.name, nonce_, now + scaled() * kAskOthers, now + scaled() * kFails, false});
  sendTo(m, std::move(ping));
}

// A seed may have come back, or the fleet may have fallen into parts that know nothing of each
// other.
void Members::probeSeed() {
  if (self_.seeds.empty()) return;
  Address at = self_.seeds[chance_() % self_.seeds.size()];
  Packet ping = packet(Packet::Kind::ping, "");
  ping.nonce = ++nonce_;
  send(at, std::move(ping));
  // And one that was given up, if there is any.
  std::vector<const Member*> gone;
  for (const auto& [name, m] : members_)
    if (m.is.state == State::dead) gone.push_back(&m);
  if (gone.empty()) return;
  const Member* m = gone[chance_() % gone.size()];
  Packet again = packet(Packet::Kind::ping, m->is.name);
  again.rumors.insert(again.rumors.begin(), m->is);
  again.nonce = ++nonce_;
  sendTo(*m, std::move(again));
}

void Members::askPage(TimePoint now) {
  const Member* m = draw("");
  if (!m && self_.seeds.empty()) {
    pageAt_ = now + parameters_.period * kPageLater;
    return;
  }
  Packet p = packet(Packet::Kind::page, m ? m->is.name : "");
  p.cursor = cursor_;
  send(m ? m->is.at : self_.seeds[chance_() % self_.seeds.size()], std::move(p));
  pageAt_ = now + parameters_.period * ((pagesDone_ ? kPageLater : kPageSoon) +
                                        static_cast<double>(chance_() % 100) / 200);
}

void Members::forgetOld(TimePoint now) {
  std::erase_if(members_, [&](const auto& entry) {
    const Member& m = entry.second;
    bool gone = m.is.state == State::left || m.is.state == State::dead;
    return gone && now - m.since > parameters_.period * kForget;
  });
}

void Members::tick(TimePoint now) {
  if (usurped_ || leaving_) return;
  // Danger: a front that was paused finds all its pings unanswered and all suspects overdue, and
  // would give up the whole fleet. What ran out while it stood still counts for nothing.
  Duration passed = now - std::exchange(tickedAt_, now);
  if (passed > parameters_.period * kLate) {
    probes_.clear(), relayed_.clear();
    for (auto& [name, m] : members_)
      if (m.until < kForever) m.until = m.until + passed;
    doubtsUntil_ = now + parameters_.period * kDoubts;
    ill_ = std::min(kIllMost, ill_ + 1);
  }
  std::vector<std::string> failed;
  std::size_t kept = 0;
  for (Probe& p : probes_) {
    if (!p.asked && now >= p.askOthersAt) {
      p.asked = true;
      const Member* of = find(p.of);
      for (int k = 0; of && k < parameters_.relays; ++k) {
        const Member* by = draw(p.of);
        if (!by) break;
        Packet relay = packet(Packet::Kind::relay, by->is.name);
        relay.nonce = p.nonce, relay.target = p.of, relay.targetAt = of->is.at;
        sendTo(*by, std::move(relay));
      }
    }
    if (now >= p.failsAt)
      failed.push_back(p.of);
    else
      probes_[kept++] = p;
  }
  probes_.resize(kept);
  for (const std::string& name : failed) {
    ill_ = std::min(kIllMost, ill_ + 1);
    // One that hears nobody is itself the likelier cause.
    if (!doubtsItself(now)) suspect(name, now);
  }
  std::erase_if(relayed_, [&](const Relayed& r) { return now >= r.until; });
  if (!doubtsItself(now) && suspects_ > 0) {
    std::vector<Rumor> over;
    for (const auto& [name, m] : members_)
      if (m.is.state == State::suspect && now >= m.until) over.push_back(m.is);
    for (Rumor& r : over) r.state = State::dead, hear(r, self_.is.name, now);
  }
  if (now >= probeAt_) probeAt_ = now + scaled(), probeNext(now);
  if (now >= pageAt_) askPage(now);
  if (now >= seedAt_) seedAt_ = now + parameters_.period * kSeedEvery, probeSeed(), forgetOld(now);
}

void Members::leave(TimePoint) {
  if (usurped_ || leaving_) return;
  leaving_ = true;
  self_.is.state = State::left;
  for (int k = 0; k < parameters_.relays + 2; ++k) {
    const Member* m = draw("");
    if (!m) return;
    sendTo(*m, packet(Packet::Kind::ping, m->is.name));
  }
}

}  // namespace reedchute::membership
