#include "peers/clients.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::peers {
namespace {

constexpr std::size_t kMostMessage = 160 * 1024;  // a value of 64 KiB in hex digits, and the rest
constexpr std::size_t kMostStartup = 10'000;      // as PostgreSQL has it
constexpr std::size_t kMostAhead = 16 * 1024;     // read while an answer is still owed
constexpr int kInARow = 16;                       // messages of one client before others have their turn
constexpr std::size_t kTurning = 8;  // clients turned away at once; the next waits to be accepted

}  // namespace

class Clients::Session : public stages::Asker {
 public:
  Session(sched::Scheduler& s, int fd) : socket(s, fd) {}

  void answer(std::string bytes) override {
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
    std::string bytes = std::exchange(out, {});
    bool done = co_await sched::writeAll(socket, bytes, until);
    co_return done;
  }

  sched::Socket socket;
  std::string in, out;
  std::size_t used = 0;
  int stmt = -1;
  std::list<Session*>::iterator place, idlePlace;
  bool idle = false;
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

bool Clients::closeLongestIdle() {
  if (idle_.empty()) return false;
  Session* s = idle_.front();
  idle_.pop_front();
  s->idle = false;
  s->socket.close();
  return true;
}

sched::Task<> Clients::accept() {
  while (listener_->open()) {
    if (turning_ >= kTurning) {
      co_await listener_->in.wait(scheduler_.now() + limits_.linger);
      continue;
    }
    bool full = false;
    int fd = sched::acceptOn(listener_->fd(), full);
    if (fd < 0) {
      // Danger: with no descriptor left, accept fails at once for as long as anyone waits: no spinning on it.
      if (full) {
        log::line("descriptors_gone", "sessions=%zu", sessions_.size());
        closeLongestIdle();
        co_await listener_->in.wait(scheduler_.now() + limits_.linger);
      } else {
        co_await listener_->in.wait();
      }
      continue;
    }
    bool turnAway = sessions_.size() >= limits_.sessions && !closeLongestIdle();
    if (turnAway) log::line("client_turned_away", "sessions=%zu", sessions_.size()), ++turning_;
    auto s = std::make_unique<Session>(scheduler_, fd);
    sessions_.push_back(s.get());
    s->place = std::prev(sessions_.end());
    scheduler_.spawn(serve(std::move(s), turnAway));
  }
}

sched::Task<> Clients::serve(std::unique_ptr<Session> owned, bool turnAway) {
  Session& s = *owned;
  bool greeted = false, ending = false;
  int inARow = 0;
  if (turnAway) s.out = pg::error(true, "53300", "too many clients"), ending = true;
  while (!ending && s.socket.open()) {
    // Startup.
    if (!greeted) {
      std::int32_t code = 0;
      std::size_t size = 0;
      pg::Framed f = pg::frameStartup(s.left(), kMostStartup, code, size);
      if (f == pg::Framed::bad) {
        log::line("client_garbled", "what=startup");
        s.out += pg::error(true, "08P01", "the startup message can't be read");
        ending = true;
        break;
      }
      if (f == pg::Framed::whole) {
        s.drop(size);
        if (code == pg::kSslCode || code == pg::kGssCode) {
          s.out += 'N';
        } else if (code == pg::kCancelCode) {
          break;
        } else if (code >> 16 != 3) {
          s.out += pg::error(true, "0A000", "only version 3 of the protocol is spoken here");
          ending = true;
          break;
        } else {
          s.out += pg::greeting();
          greeted = true;
        }
        bool written = co_await s.flush(scheduler_.now() + limits_.patience);
        if (!written) break;
        continue;
      }
    }
    // One message.
    pg::Message m;
    pg::Framed f = greeted ? pg::frame(s.left(), kMostMessage, m) : pg::Framed::partial;
    if (f == pg::Framed::bad) {
      log::line("client_garbled", "what=message");
      s.out += pg::error(true, "08P01", "a message whose length makes no sense");
      ending = true;
      break;
    }
    if (f == pg::Framed::partial) {
      bool idle = greeted && s.left().empty();
      sched::Socket::Got got = s.more(kMostMessage + 1);
      if (got == sched::Socket::Got::some) continue;
      if (got == sched::Socket::Got::ended || (idle && away_)) break;
      inARow = 0;
      if (idle) {
        idle_.push_back(&s);
        s.idlePlace = std::prev(idle_.end());
        s.idle = true;
      }
      bool set = co_await s.socket.in.wait(idle ? kForever : scheduler_.now() + limits_.patience);
      if (std::exchange(s.idle, false)) idle_.erase(s.idlePlace);
      if (!set) break;
      continue;
    }
    if (++inARow > kInARow) {
      // Danger: a client that sends without end would keep all others waiting.
      inARow = 0;
      co_await sched::sleepUntil(scheduler_, scheduler_.now() + Span{1});
    }
    if (m.type == 'X') break;
    if (m.type != 'Q') {
      // Only simple queries are spoken; what follows an extended one up to its Sync is passed over.
      bool known = std::string_view("PBEDCHFSdcfp").find(m.type) != std::string_view::npos;
      if (m.type == 'S') {
        s.out += pg::ready();
      } else if (!known) {
        log::line("client_garbled", "what=type");
        s.out += pg::error(true, "08P01", "a message of an unknown type");
        ending = true;
        break;
      } else if (m.type == 'P' || m.type == 'F') {
        s.out += pg::error(false, "0A000", "only simple queries are spoken here");
        if (m.type == 'F') s.out += pg::ready();
      }
      s.drop(m.whole.size());
    } else {
      std::string_view rest = m.payload;
      std::optional<std::string_view> text = pg::takeString(rest);
      std::string reply;
      if (!text || !rest.empty())
        reply = pg::error(false, "08P01", "a query without its end") + pg::ready();
      else
        s.stmt = desk_.query(*text, s, reply);
      s.out += reply;
      s.drop(m.whole.size());
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
    if (!s.out.empty()) {
      bool written = co_await s.flush(scheduler_.now() + limits_.patience);
      if (!written) break;
    }
  }
  if (s.stmt >= 0) desk_.left(std::exchange(s.stmt, -1));
  if (ending && s.socket.open()) {
    // Danger: closing with unread bytes resets the connection and may take the last message with it.
    TimePoint until = scheduler_.now() + limits_.linger;
    bool written = co_await s.flush(until);
    s.socket.endWriting();
    while (written && s.socket.open()) {
      s.in.clear(), s.used = 0;
      sched::Socket::Got got = s.socket.read(s.in, kMostAhead);
      if (got == sched::Socket::Got::ended) break;
      if (got == sched::Socket::Got::some) continue;
      bool set = co_await s.socket.in.wait(until);
      if (!set) break;
    }
  }
  if (s.idle) idle_.erase(s.idlePlace);
  sessions_.erase(s.place);
  if (turnAway) --turning_;
}

}  // namespace reedchute::peers
