#include "peers/clients.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::peers {
namespace {

constexpr std::size_t kMostMessage = 160 * 1024;  // a value of 64 KiB in hex digits, and the rest
constexpr std::size_t kMostStartup = 10'000;      // as PostgreSQL has it
constexpr std::size_t kMostAhead = 16 * 1024;     // read while an answer is still owed
constexpr std::size_t kMostDrained = 64 * 1024;   // read from a client that has had its last word
constexpr int kInARow = 16;  // messages of one client, or new clients, before others have their turn
constexpr std::size_t kTurning = 8;  // clients turned away at once; the next waits to be accepted

}  // namespace

class Clients::Session : public stages::Asker {
 public:
  Session(sched::Scheduler& s, int fd) : socket(s, fd) {}

  void answer(std::string bytes) override {
    if (out.empty())
      out = std::move(bytes);
    else
      out += bytes;
    stmt = -1;
    socket.in.set();
  }

  // The bytes after `used` are the session's next ones.
  std::string_view left() const { return std::string_view(in).substr(used); }
  void drop(std::size_t n) {
    used += n;
    if (used == in.size()) {
      in.clear(), used = 0;
      if (in.capacity() > kMostAhead) in.shrink_to_fit();
    }
  }
  sched::Socket::Got more(std::size_t most) {
    if (used > 0) in.erase(0, used), used = 0;
    return socket.read(in, most);
  }
  sched::Task<bool> flush(TimePoint until) {
    bool done = co_await sched::writeAll(socket, out, until);
    if (out.capacity() > kMostAhead)
      out = {};
    else
      out.clear();
    co_return done;
  }

  // The last that it is told, before its connection ends.
  void end(std::string_view code, std::string_view text) {
    out += pg::error(true, code, text);
    ending = true;
  }

  sched::Socket socket;
  std::string in, out;
  std::size_t used = 0;
  int stmt = -1;
  std::list<Session*>::iterator place, waitPlace;
  std::list<Session*>* waits = nullptr;  // the list that it stands in while it waits for its client
  TimePoint waitsSince;
  TimePoint begun = kNever;  // when its first unfinished message was first waited for
  bool greeted = false, asked = false, ending = false;
  int inARow = 0;  // messages taken since it last had nothing to read
};

Clients::Clients(sched::Scheduler& s, Desk& desk, Limits limits)
    : scheduler_(s), desk_(desk), limits_(limits) {}
Clients::~Clients() = default;

int Clients::listen(const sockaddr_in& address) {
  listener_ = std::make_unique<sched::Descriptor>(scheduler_, sched::listenOn(address));
  scheduler_.spawn(accept());
  return sched::portOf(listener_->fd());
}

void Clients::stopListening() {
  if (listener_) listener_->close();
}

void Clients::sendAway() {
  away_ = true;
  for (Session* s : sessions_) s->socket.in.set();
}

// Danger: those who connect by hundreds and say nothing would keep out whoever has something to ask. They make
// room first, after those who have had their last word; but one that has just come may be about to speak.
bool Clients::makeRoom() {
  bool silent = !unheard_.empty() && scheduler_.now() - unheard_.front()->waitsSince >= limits_.grace;
  std::list<Session*>& from = !dismissed_.empty()       ? dismissed_
                              : silent || idle_.empty() ? unheard_
                                                        : idle_;
  if (from.empty()) return false;
  closeLongest(from);
  return true;
}

void Clients::closeLongest(std::list<Session*>& among) {
  Session* s = among.front();
  among.pop_front();
  s->waits = nullptr;
  s->socket.close();
}

sched::Task<> Clients::accept() {
  int inARow = 0;
  while (listener_->open()) {
    if (turning_ >= kTurning) {
      co_await listener_->in.wait(scheduler_.now() + limits_.linger);
      continue;
    }
    // Danger: a crowd that comes at once would push out all who only wait to ask again, and each other before
    // they could speak. Whoever comes to a full house waits in the kernel until somebody has been silent enough.
    if (sessions_.size() >= limits_.sessions && dismissed_.empty() && !unheard_.empty())
      if (TimePoint by = unheard_.front()->waitsSince + limits_.grace; by > scheduler_.now()) {
        co_await sched::sleepUntil(scheduler_, by);
        continue;
      }
    bool full = false;
    int fd = sched::acceptOn(listener_->fd(), full);
    if (fd < 0) {
      // Danger: with no descriptor left, accept fails at once for as long as anyone waits: no spinning on it.
      if (full) {
        log::line("descriptors_gone", "sessions=%zu", sessions_.size());
        makeRoom();
        co_await listener_->in.wait(scheduler_.now() + limits_.linger);
      } else {
        co_await listener_->in.wait();
      }
      inARow = 0;
      continue;
    }
    bool turnAway = sessions_.size() >= limits_.sessions && !makeRoom();
    if (turnAway) log::line("client_turned_away", "sessions=%zu", sessions_.size()), ++turning_;
    auto s = std::make_unique<Session>(scheduler_, fd);
    sessions_.push_back(s.get());
    s->place = std::prev(sessions_.end());
    scheduler_.spawn(serve(std::move(s), turnAway));
    if (++inARow < kInARow) continue;
    // Danger: clients that come again at once without end would keep all others waiting.
    inARow = 0;
    co_await sched::sleepUntil(scheduler_, scheduler_.now() + Span{1});
  }
}

std::size_t Clients::held() const {
  std::size_t bytes = 0;
  for (const Session* s : sessions_) bytes += s->in.capacity() + s->out.capacity();
  return bytes;
}

// Waits for more of this client; makeRoom() may close it meanwhile.
sched::Task<bool> Clients::wait(Session& s, std::list<Session*>& among, TimePoint until) {
  s.waits = &among;
  among.push_back(&s);
  s.waitPlace = std::prev(among.end());
  s.waitsSince = scheduler_.now();
  bool set = co_await s.socket.in.wait(until);
  if (s.waits) std::exchange(s.waits, nullptr)->erase(s.waitPlace);
  co_return set;
}

pg::Framed Clients::greet(Session& s) {
  std::int32_t code = 0;
  std::size_t size = 0;
  pg::Framed f = pg::frameStartup(s.left(), kMostStartup, code, size);
  if (f != pg::Framed::whole) return f;
  s.drop(size);
  if (code == pg::kSslCode || code == pg::kGssCode) {
    s.out += 'N';
  } else if (code == pg::kCancelCode) {
    s.socket.close();
  } else if (code >> 16 != 3) {
    s.end("0A000", "only version 3 of the protocol is spoken here");
  } else {
    s.out += pg::greeting();
    s.greeted = true;
  }
  return f;
}

sched::Task<bool> Clients::readMore(Session& s) {
  bool idle = s.greeted && s.left().empty();
  sched::Socket::Got got = s.more(kMostMessage + 1);
  if (got == sched::Socket::Got::some) {
    // Danger: hundreds who each send most of a long message would together take all memory there is.
    if (s.in.size() > kMostAhead && held() > limits_.bytes) {
      log::line("client_too_much", "bytes=%zu", held());
      s.end("53200", "no memory is left for so long a message");
    }
    co_return true;
  }
  if (got == sched::Socket::Got::ended || (idle && away_)) co_return false;
  s.inARow = 0;
  TimePoint now = scheduler_.now();
  if (idle) s.begun = kNever;
  if (!idle && s.begun == kNever) s.begun = now;
  // Danger: clients may hold only so many connections; those that ask once and keep theirs for good would leave
  // none for whoever wants to ask. The ones idle longest go as soon as others need their places.
  bool asksAgain = idle && s.asked;
  if (asksAgain && idle_.size() >= limits_.idleMost) closeLongest(idle_);
  TimePoint until = idle ? now + limits_.idle : s.begun + limits_.silence;
  bool set = co_await wait(s, asksAgain ? idle_ : unheard_, until);
  if (set) co_return true;
  // Danger: clients that ask once and keep their connection for good pile up.
  if (idle) co_return sessions_.size() * 2 <= limits_.sessions;
  log::line("client_silent", "what=%s", s.greeted ? "message" : "startup");
  s.end("08P01", s.greeted ? "a message that was not finished in time" : "no startup message in time");
  co_return true;
}

sched::Task<> Clients::answerOwed(Session& s) {
  while (s.stmt >= 0) {
    co_await s.socket.in.wait();
    if (s.stmt < 0) break;
    // What a client sends ahead is read later; that it leaves shows at once.
    if (!s.socket.open() || s.more(kMostAhead) == sched::Socket::Got::ended) {
      desk_.left(std::exchange(s.stmt, -1));
      s.socket.close();
    }
  }
}

sched::Task<bool> Clients::take(Session& s, pg::Message m) {
  s.begun = kNever;
  if (++s.inARow > kInARow) {
    // Danger: a client that sends without end would keep all others waiting.
    s.inARow = 0;
    co_await sched::sleepUntil(scheduler_, scheduler_.now() + Span{1});
  }
  if (m.type == 'X') co_return false;
  // Only simple queries are spoken; what follows an extended one up to its Sync is passed over.
  if (m.type == 'Q') {
    std::optional<std::string_view> text = pg::takeString(m.payload);
    std::string reply;
    if (text && m.payload.empty())
      s.stmt = desk_.query(*text, s, reply);
    else
      reply = pg::error(false, "08P01", "a query without its end") + pg::ready();
    s.out += reply;
  } else if (m.type == 'S') {
    s.out += pg::ready();
  } else if (m.type == 'P' || m.type == 'F') {
    s.out += pg::error(false, "0A000", "only simple queries are spoken here");
    if (m.type == 'F') s.out += pg::ready();
  } else if (std::string_view("BEDCHdcfp").find(m.type) == std::string_view::npos) {
    log::line("client_garbled", "what=type");
    s.end("08P01", "a message of an unknown type");
  }
  s.asked |= s.stmt >= 0;
  s.drop(m.whole.size());
  co_await answerOwed(s);
  co_return true;
}

// Danger: closing with unread bytes resets the connection and may take the last message with it.
sched::Task<> Clients::letRead(Session& s) {
  TimePoint until = scheduler_.now() + limits_.linger;
  bool written = co_await s.flush(until);
  s.socket.endWriting();
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
    bool set = co_await wait(s, dismissed_, until);
    if (!set) break;
  }
}

sched::Task<> Clients::serve(std::unique_ptr<Session> owned, bool turnAway) {
  Session& s = *owned;
  if (turnAway) s.end("53300", "too many clients");
  bool good = true;
  while (good && !s.ending && s.socket.open()) {
    pg::Message m;
    bool greeted = s.greeted;
    pg::Framed f = greeted ? pg::frame(s.left(), kMostMessage, m) : greet(s);
    if (f == pg::Framed::bad) {
      log::line("client_garbled", "what=%s", greeted ? "message" : "startup");
      s.end("08P01", greeted ? "a message whose length makes no sense" : "the startup message can't be read");
    } else if (f == pg::Framed::partial) {
      good = co_await readMore(s);
    } else if (greeted) {
      good = co_await take(s, m);
    }
    if (good && !s.ending && !s.out.empty()) good = co_await s.flush(scheduler_.now() + limits_.patience);
  }
  if (s.ending && s.socket.open()) co_await letRead(s);
  sessions_.erase(s.place);
  if (turnAway) --turning_;
}

}  // namespace reedchute::peers
