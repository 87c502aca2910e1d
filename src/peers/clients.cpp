#include "peers/clients.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::peers {
namespace {

constexpr std::size_t kMostAhead = 16 * 1024;  // read while an answer is still owed, by whomever
constexpr std::size_t kAheadPart =
    2;  // of the memory for clients, from which on nobody reads ahead more than that
constexpr std::size_t kMostDrained = 64 * 1024;  // read from a client that has had its last word
constexpr int kInARow = 16;  // messages of one client, or new clients, before others have their turn
constexpr std::size_t kUnreadPart = 8;  // of the memory for clients, that one may leave unread
constexpr std::size_t kTurning = 8;     // clients turned away at once; the next waits to be accepted

}  // namespace

class Clients::Session : public Line {
 public:
  Session(Clients& c, int fd) : socket(c.scheduler_, fd), talk(c.door_.talk(*this)), clients(c) {}

  void answer(std::string bytes, TimePoint until) override {
    said.push_back(until);
    say(std::move(bytes));
  }
  void say(std::string bytes) override {
    // Danger: one that asks on many streams and reads nothing would have answers gathered without end.
    if (out.size() + bytes.size() > clients.limits_.bytes / kUnreadPart + kMostAhead && writing) {
      log::line("client_reads_nothing", "bytes=%zu", out.size());
      gone = true;
      return cut();
    }
    if (out.empty())
      out = std::move(bytes);
    else
      out += bytes;
    socket.in.set();
  }
  void end() override { ending = true; }
  void cut() override { socket.close(); }

  // The bytes after `used` are the session's next ones.
  std::string_view left() const { return std::string_view(in).substr(used); }
  void drop(std::size_t n) {
    used += n;
    arrivals.done(n);
    if (used == in.size()) {
      in.clear(), used = 0;
      if (in.capacity() > kMostAhead) in.shrink_to_fit();
    }
  }
  sched::Socket::Got more(std::size_t most) {
    if (used > 0) in.erase(0, used), used = 0;
    // Danger: what stood unread for a while, as there was no room for it, came at any moment of that.
    std::size_t had = in.size();
    TimePoint since = std::exchange(unseenSince, kNever);
    if (since == kNever) since = socket.unreadSince();
    sched::Socket::Got got = socket.read(in, most);
    arrivals.came(in.size() - had, since == kNever ? clients.scheduler_.now() : since);
    gone |= got == sched::Socket::Got::ended && socket.open();
    return got;
  }

  sched::Socket socket;
  std::unique_ptr<Talk> talk;
  Clients& clients;
  std::string in, out, going;  // `going`: what is being written
  std::vector<TimePoint> said,
      goes;  // until when clients wait for the answers that are whole in `out` and in `going`
  std::size_t used = 0;
  Arrivals arrivals;               // of the bytes of `in` after `used`
  TimePoint unseenSince = kNever;  // since when it may have waited to be accepted
  std::list<Session*>::iterator place, waitPlace;
  std::list<Session*>* waits = nullptr;  // the list that it stands in while it waits for its client
  TimePoint waitsSince;
  TimePoint begun = kNever;  // when its first unfinished message was first waited for
  bool asked = false, ending = false, writing = false;
  bool gone = false, garbled = false;  // its client ended the connection, or the talk by what it sent
  int inARow = 0;  // messages taken since it last had nothing to read
};

Clients::Clients(sched::Scheduler& s, Door& door, exchange::Account& account, Limits limits)
    : scheduler_(s), door_(door), account_(account), limits_(limits) {}
Clients::~Clients() = default;

int Clients::listen(const sockaddr_in& address) {
  listener_ = std::make_unique<sched::Descriptor>(scheduler_, sched::listenOn(address));
  return sched::portOf(listener_->fd());
}

void Clients::open() { scheduler_.spawn(accept()); }

// Danger: whoever stands in the kernel's queue has been taken in, and may have asked; the listener's close
// would reset them.
void Clients::stopListening() {
  if (!listener_ || !listener_->open()) return;
  bool full = false;
  for (int fd = -1; (fd = sched::acceptOn(listener_->fd(), full)) >= 0;) begin(fd, kNever);
  listener_->close();
}

void Clients::sendAway() {
  away_ = true;
  for (Session* s : sessions_) s->socket.in.set();
}

// Danger: those who connect by hundreds and say nothing would keep out whoever has something to ask. They
// make room first, after those who have had their last word; but one that has just come may be about to
// speak.
bool Clients::makeRoom() {
  bool silent = !unheard_.empty() && scheduler_.now() - unheard_.front()->waitsSince >= limits_.grace;
  std::list<Session*>& from = !dismissed_.empty() ? dismissed_ : silent || idle_.empty() ? unheard_ : idle_;
  if (from.empty()) return false;
  closeLongest(from);
  return true;
}

void Clients::closeLongest(std::list<Session*>& among) {
  // Danger: the rest of a request may have come, though its session has not had its turn yet; the close would
  // reset it.
  auto silent = [&](Session* s) {
    if (&among == &dismissed_ || s->more(s->in.size() + kMostAhead) != sched::Socket::Got::some) return true;
    s->socket.in.set();
    return false;
  };
  auto it = std::find_if(among.begin(), among.end(), silent);
  if (it == among.end()) it = among.begin();
  Session* s = *it;
  among.erase(it);
  s->waits = nullptr;
  s->socket.close();
}

sched::Task<> Clients::accept() {
  int inARow = 0;
  TimePoint stalled = kNever;  // since when whoever comes waits in the kernel
  while (listener_->open()) {
    if (turning_ >= kTurning) {
      stalled = scheduler_.now();
      co_await listener_->in.wait(scheduler_.now() + limits_.linger);
      continue;
    }
    // Danger: a crowd that comes at once would push out all who only wait to ask again, and each other before
    // they could speak. Whoever comes to a full house waits in the kernel until somebody has been silent
    // enough.
    if (sessions_.size() >= limits_.sessions && dismissed_.empty() && !unheard_.empty())
      if (TimePoint by = unheard_.front()->waitsSince + limits_.grace; by > scheduler_.now()) {
        stalled = scheduler_.now();
        co_await sched::sleepUntil(scheduler_, by);
        continue;
      }
    bool full = false;
    TimePoint since = std::exchange(stalled, kNever);
    int fd = sched::acceptOn(listener_->fd(), full);
    if (fd < 0) {
      // Danger: with no descriptor left, accept fails at once for as long as anyone waits: no spinning on it.
      if (full) {
        log::line("descriptors_gone", "sessions=%zu", sessions_.size());
        makeRoom();
        stalled = scheduler_.now();
        co_await listener_->in.wait(scheduler_.now() + limits_.linger);
      } else {
        co_await listener_->in.wait();
      }
      inARow = 0;
      continue;
    }
    begin(fd, since);
    if (++inARow < kInARow) continue;
    // Danger: clients that come again at once without end would keep all others waiting.
    inARow = 0;
    co_await sched::sleepUntil(scheduler_, scheduler_.now() + Span{1});
  }
}

void Clients::begin(int fd, TimePoint since) {
  bool fullHouse = sessions_.size() >= limits_.sessions;
  if (fullHouse) log::line("clients_full", "sessions=%zu idle=%zu", sessions_.size(), idle_.size());
  bool turnAway = fullHouse && !makeRoom();
  if (turnAway) log::line("client_turned_away", "sessions=%zu", sessions_.size()), ++turning_;
  auto s = std::make_unique<Session>(*this, fd);
  s->unseenSince = since;
  sessions_.push_back(s.get());
  s->place = std::prev(sessions_.end());
  scheduler_.spawn(serve(std::move(s), turnAway));
}

std::size_t Clients::saying() const {
  std::size_t all = 0;
  for (const Session* s : sessions_) all += s->said.size() + s->goes.size() + s->talk->kept();
  return all;
}

std::size_t Clients::held() const {
  std::size_t bytes = 0;
  for (const Session* s : sessions_) bytes += s->in.capacity() + s->out.capacity() + s->going.capacity();
  return bytes;
}

// Waits for more of this client; makeRoom() may close it meanwhile.
sched::Task<bool> Clients::wait(Session& s, sched::Event& on, std::list<Session*>& among, TimePoint until) {
  s.waits = &among;
  among.push_back(&s);
  s.waitPlace = std::prev(among.end());
  s.waitsSince = scheduler_.now();
  bool set = co_await on.wait(until);
  if (s.waits) std::exchange(s.waits, nullptr)->erase(s.waitPlace);
  co_return set;
}

// Writes all that was said; false where the kernel didn't take it in time, or the connection has ended.
sched::Task<bool> Clients::flush(Session& s) {
  bool done = true;
  s.writing = true;
  // Danger: while it is written more may be said, and the buffer would move away underneath.
  while (done && !s.out.empty()) {
    s.going = std::exchange(s.out, {}), s.goes = std::exchange(s.said, {});
    std::size_t unsent = s.going.size();
    TimePoint until = kNever;
    while (done && unsent > 0) {
      std::optional<std::string_view> rest =
          s.socket.write(std::string_view(s.going).substr(s.going.size() - unsent));
      done = rest.has_value();
      s.gone |= !done && s.socket.open();
      if (!done || rest->empty()) break;
      // Danger: a client may read slowly, and has asked to be answered within its own time. It is given
      // patience for each part that it takes, and time to the end of what it asked for; but one that reads
      // nothing holds a place, and past its patience makes room.
      TimePoint now = scheduler_.now(), owed = now;
      if (rest->size() < unsent || until == kNever) {
        for (TimePoint by : s.goes) owed = std::max(owed, by);
        until = std::max(now + limits_.patience, std::min(owed, now + limits_.silence));
      }
      unsent = rest->size();
      TimePoint patient = std::min(until, now + limits_.patience);
      done = co_await s.socket.out.wait(patient);
      if (!done && patient < until) done = co_await wait(s, s.socket.out, dismissed_, until);
      // One that didn't read in its time has gone, as far as its answers go.
      auto over = [&](TimePoint by) { return by <= scheduler_.now(); };
      s.gone |= !done && std::all_of(s.goes.begin(), s.goes.end(), over) &&
                std::all_of(s.said.begin(), s.said.end(), over);
    }
    if (!done) break;
    account_.answered += s.goes.size();
    for (TimePoint by : s.goes) account_.late += scheduler_.now() > by + exchange::kStillOwed;
    s.goes.clear();
  }
  if (s.going.capacity() > kMostAhead)
    s.going = {};
  else if (done)
    s.out = std::exchange(s.going, {}), s.out.clear();
  s.writing = false;
  co_return done;
}

sched::Task<bool> Clients::readMore(Session& s) {
  bool owed = s.talk->owed() > 0, idle = s.talk->greeted() && s.left().empty() && !owed;
  sched::Socket::Got got = s.more(door_.mostMessage() + 1);
  if (got == sched::Socket::Got::some) {
    // Danger: hundreds who each send most of a long message would together take all memory there is.
    if (s.in.size() > kMostAhead && held() > limits_.bytes) {
      log::line("client_too_much", "bytes=%zu", held());
      s.talk->part(Parting::noMemory);
    }
    co_return true;
  }
  if (got == sched::Socket::Got::ended) co_return false;
  // Danger: a request may come in this very moment; a close over its unread bytes would reset the connection,
  // and an answer that is still on its way would be lost with it. What comes after the end is read, and not
  // sent on.
  if (idle && away_) {
    s.ending = true;
    co_return true;
  }
  s.inARow = 0;
  TimePoint now = scheduler_.now();
  if (idle) s.begun = kNever;
  if (!idle && s.begun == kNever) s.begun = now;
  // Danger: clients may hold only so many connections; those that ask once and keep theirs for good would
  // leave none for whoever wants to ask. The ones idle longest go as soon as others need their places.
  bool asksAgain = idle && s.asked;
  if (asksAgain && idle_.size() >= limits_.idleMost) closeLongest(idle_);
  TimePoint until = idle ? now + limits_.idle : s.begun + limits_.silence;
  // One that is owed answers isn't closed to make room, and what it is owed may take its time.
  // Danger: where many streams are answered on one connection, its end for a slow message would take their
  // answers.
  if (owed) until = kForever;
  if (owed && s.left().empty()) s.begun = kNever;
  bool set = false;
  if (owed)
    set = co_await s.socket.in.wait(until);
  else
    set = co_await wait(s, s.socket.in, asksAgain ? idle_ : unheard_, until);
  if (set) co_return true;
  // Danger: clients that ask once and keep their connection for good pile up.
  if (idle) {
    s.ending = sessions_.size() * 2 > limits_.sessions;
    co_return true;
  }
  bool greeted = s.talk->greeted();
  log::line("client_silent", "what=%s", greeted ? "message" : "startup");
  s.talk->part(greeted ? Parting::unfinished : Parting::noStartup);
  co_return true;
}

// Danger: what is not read has no moment at which it came; hundreds who each send much ahead would take all
// memory.
std::size_t Clients::mostAhead(const Session& s) const {
  bool more = s.left().size() >= kMostAhead && held() < limits_.bytes / kAheadPart;
  return more ? door_.mostMessage() : kMostAhead;
}

sched::Task<> Clients::answerOwed(Session& s) {
  while (s.talk->full() && s.out.empty()) {
    // What a client sends ahead is read later; that it leaves shows at once. Danger: one that sends much at
    // once and goes stands behind all that it sent.
    if (!s.socket.open() || s.socket.peerEnded() || s.more(mostAhead(s)) == sched::Socket::Got::ended) {
      settle(s);
      s.socket.close();
      co_return;
    }
    co_await s.socket.in.wait();
  }
}

// Danger: closing with unread bytes resets the connection and may take the last message with it.
sched::Task<> Clients::letRead(Session& s) {
  bool written = co_await flush(s);
  s.socket.endWriting();
  TimePoint until = scheduler_.now() + limits_.linger;
  std::size_t drained = 0;
  while (written && s.socket.open() && drained < kMostDrained) {
    s.in.clear(), s.used = 0;
    sched::Socket::Got got = s.socket.read(s.in, kMostAhead);
    drained += s.in.size();
    if (got == sched::Socket::Got::ended) break;
    // Danger: one who goes on sending at full speed would have this thread for itself.
    if (got == sched::Socket::Got::some) {
      co_await sched::sleepUntil(scheduler_, scheduler_.now() + Span{1});
      continue;
    }
    bool set = co_await wait(s, s.socket.in, dismissed_, until);
    if (!set) break;
  }
}

// The connection is over: what is still owed on it is wanted no more, or was this side's to give.
void Clients::settle(Session& s) {
  std::uint64_t gone = account_.gone, unsaid = s.said.size() + s.goes.size() + s.talk->kept();
  bool byClient = s.gone || s.garbled || s.socket.peerEnded();
  if (s.talk->owed() > 0) s.talk->left();
  if (byClient)
    account_.gone += unsaid;
  else
    account_.gone = gone;
  s.said.clear(), s.goes.clear();
}

sched::Task<> Clients::serve(std::unique_ptr<Session> owned, bool turnAway) {
  Session& s = *owned;
  if (turnAway) s.talk->part(Parting::fullHouse);
  // Danger: an exception that left this coroutine would leave its session among the others, and its
  // statements open.
  try {
    co_await converse(s);
  } catch (const std::exception& e) {
    log::line("fault", "what=\"%s\"", e.what());
  }
  settle(s);
  sessions_.erase(s.place);
  if (turnAway) --turning_;
}

sched::Task<> Clients::converse(Session& s) {
  bool good = true;
  // Danger: what a client asked that has gone meanwhile would still be sent on.
  while (good && !s.ending && s.socket.open() && !s.socket.peerEnded()) {
    std::size_t used = 0;
    if (s.talk->full()) {
      co_await answerOwed(s);
    } else if (s.talk->take(s.left(), s.arrivals, used)) {
      s.begun = kNever, s.garbled = s.ending;
      s.asked |= s.talk->owed() > 0;
      s.drop(used);
      if (s.talk->full()) continue;
      if (++s.inARow > kInARow) {
        // Danger: a client that sends without end would keep all others waiting.
        s.inARow = 0;
        co_await sched::sleepUntil(scheduler_, scheduler_.now() + Span{1});
      }
      // Answers that are ready at once go together, as the client sent its messages together.
      if (s.talk->owed() > 0 && !s.left().empty() && s.out.size() < kMostAhead) continue;
    } else if (s.out.empty() && !s.ending) {
      s.drop(used);
      good = co_await readMore(s);
    } else {
      s.drop(used);
    }
    if (good && !s.ending && !s.out.empty()) good = co_await flush(s);
  }
  if (s.ending && s.socket.open()) co_await letRead(s);
}

}  // namespace reedchute::peers
