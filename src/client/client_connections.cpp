#include "client/client_connections.h"

#include <algorithm>
#include <utility>

#include "invariants/violations.h"
#include "log/log.h"

namespace reedchute::client {
namespace {

constexpr std::size_t kAheadPart =
    2;  // of the memory for clients, from which on nobody reads ahead more than that
constexpr std::size_t kMostDrained = 64 * 1024;  // read from a client that has had its last word
constexpr int kInARow = 16;             // messages of one client before others have their turn
constexpr std::size_t kUnreadPart = 8;  // of the memory for clients, that one may leave unread
constexpr std::size_t kTurning = 8;  // clients turned away at once; the next waits to be accepted
// Graces that a connection has rested before it is ended as the front leaves: one that asks again
// at once would meet the end with its request.
constexpr double kRest = 2;

}  // namespace

ClientConnections::ClientConnections(runtime::Scheduler& s, ClientProtocol& protocol,
                                     request::RequestCounters& account, Limits limits)
    : scheduler_(s),
      protocol_(protocol),
      counters_(account),
      limits_(limits),
      acceptor_(s, *this, limits.linger) {}
ClientConnections::~ClientConnections() = default;

int ClientConnections::listen(const sockaddr_in& address) {
  return acceptor_.listen(address);
}

void ClientConnections::open() {
  scheduler_.spawn(acceptor_.run());
}

runtime::Task<> ClientConnections::stopListening() {
  return acceptor_.drainAndClose();
}

void ClientConnections::drain() {
  away_ = true;
  for (Session* s : sessions_) s->socket.readable.set();
}

// Danger: those who connect by hundreds and say nothing would keep out whoever has something to
// ask. They make room first, after those who have had their last word; but one that has just come
// may be about to speak.
bool ClientConnections::evictIdle() {
  bool silent = !awaitingFirstRequest_.empty() &&
                scheduler_.now() - awaitingFirstRequest_.front()->waitsSince >= limits_.grace;
  for (std::list<Session*>* from :
       {&closing_, silent || idle_.empty() ? &awaitingFirstRequest_ : &idle_})
    if (!from->empty() && closeLongest(*from)) return true;
  return false;
}

// Danger: the rest of a request may have come, though its session has not had its turn yet; the
// close would reset it, and a request that was read would have no answer.
bool ClientConnections::closeLongest(std::list<Session*>& among) {
  auto silent = [&](Session* s) {
    if (&among == &closing_ ||
        s->more(s->in.size() + kMostAhead) != runtime::Socket::ReadStatus::data)
      return true;
    s->socket.readable.set();
    return false;
  };
  auto it = std::find_if(among.begin(), among.end(), silent);
  if (it == among.end()) return false;
  Session* s = *it;
  among.erase(it);
  s->waits = nullptr;
  s->close(CloseReason::makesRoom);
  return true;
}

std::optional<TimePoint> ClientConnections::holdUntil() {
  if (rejecting_ >= kTurning) return scheduler_.now() + limits_.linger;
  // Danger: a crowd that comes at once would push out all who only wait to ask again, and each
  // other before they could speak. Whoever comes to a full house waits in the kernel until somebody
  // has been silent enough.
  if (sessions_.size() < limits_.sessions || !closing_.empty() || awaitingFirstRequest_.empty())
    return std::nullopt;
  TimePoint by = awaitingFirstRequest_.front()->waitsSince + limits_.grace;
  if (by <= scheduler_.now()) return std::nullopt;
  return by;
}

void ClientConnections::exhausted() {
  log::line("descriptors_exhausted", "sessions=%zu", sessions_.size());
  evictIdle();
}

void ClientConnections::accepted(int fd, TimePoint waitedSince) {
  bool atCapacity = sessions_.size() >= limits_.sessions;
  if (atCapacity)
    log::line("client_limit_reached", "sessions=%zu idle=%zu", sessions_.size(), idle_.size());
  bool turnAway = atCapacity && !evictIdle();
  if (turnAway) log::line("client_rejected", "sessions=%zu", sessions_.size()), ++rejecting_;
  auto s = std::make_unique<Session>(scheduler_, protocol_, fd,
                                     limits_.bytes / kUnreadPart + kMostAhead);
  s->unseenSince = waitedSince, s->oldestUnseen = limits_.linger;
  sessions_.push_back(s.get());
  s->place = std::prev(sessions_.end());
  scheduler_.spawn(serve(std::move(s), turnAway));
}

std::size_t ClientConnections::saying() const {
  std::size_t all = 0;
  for (const Session* s : sessions_) all += s->said.size() + s->goes.size() + s->talk->kept();
  return all;
}

std::size_t ClientConnections::held() const {
  std::size_t bytes = 0;
  for (const Session* s : sessions_) bytes += s->held();
  return bytes;
}

// Waits for more of this client; evictIdle() may close it meanwhile.
runtime::Task<bool> ClientConnections::wait(Session& s, runtime::Event& on,
                                            std::list<Session*>& among, TimePoint until) {
  s.waits = &among;
  among.push_back(&s);
  s.waitPlace = std::prev(among.end());
  s.waitsSince = scheduler_.now();
  bool set = co_await on.wait(until);
  if (s.waits) std::exchange(s.waits, nullptr)->erase(s.waitPlace);
  co_return set;
}

// Writes all that was said; false where the kernel didn't take it in time, or the connection has
// ended.
runtime::Task<bool> ClientConnections::flush(Session& s) {
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
      s.gone |= !done && s.socket.isOpen();
      if (!done || rest->empty()) break;
      // Danger: a client may read slowly, and has asked to be answered within its own time. It is
      // given patience for each part that it takes, and time to the end of what it asked for; but
      // one that reads nothing holds a place, and past its patience makes room.
      TimePoint now = scheduler_.now(), owed = now;
      if (rest->size() < unsent || until == kNever) {
        for (TimePoint by : s.goes) owed = std::max(owed, by);
        until = std::max(now + limits_.patience, std::min(owed, now + limits_.silence));
      }
      unsent = rest->size();
      TimePoint patient = std::min(until, now + limits_.patience);
      done = co_await s.socket.writable.wait(patient);
      if (!done && patient < until) done = co_await wait(s, s.socket.writable, closing_, until);
      // One that didn't read in its time has gone, as far as its answers go.
      auto over = [&](TimePoint by) { return by <= scheduler_.now(); };
      s.gone |= !done && std::all_of(s.goes.begin(), s.goes.end(), over) &&
                std::all_of(s.said.begin(), s.said.end(), over);
      if (!done) s.close(CloseReason::writeFailed);
    }
    if (!done) break;
    counters_.answered += s.goes.size();
    for (TimePoint by : s.goes) counters_.late += scheduler_.now() > by + request::kStillOwed;
    s.goes.clear();
  }
  if (s.going.capacity() > kMostAhead)
    s.going = {};
  else if (done)
    s.out = std::exchange(s.going, {}), s.out.clear();
  s.writing = false;
  co_return done;
}

// Does it owe nothing, and has nothing begun?
bool ClientConnections::atRest(const Session& s) const {
  return s.talk->greeted() && s.left().empty() && s.talk->owed() == 0;
}

runtime::Task<bool> ClientConnections::readMore(Session& s) {
  runtime::Socket::ReadStatus got = s.more(protocol_.mostMessage() + 1);
  if (got == runtime::Socket::ReadStatus::data) {
    s.restsSince = kNever;
    // Danger: hundreds who each send most of a long message would together take all memory there
    // is.
    if (s.in.size() > kMostAhead && held() > limits_.bytes) {
      log::line("client_memory_limit", "bytes=%zu", held());
      s.talk->part(DisconnectReason::memoryLimit);
    }
    co_return true;
  }
  if (got == runtime::Socket::ReadStatus::closed) co_return false;
  s.inARow = 0;
  bool good = false;
  if (atRest(s))
    good = co_await waitAtRest(s);
  else
    good = co_await waitForMessage(s);
  co_return good;
}

runtime::Task<bool> ClientConnections::waitAtRest(Session& s) {
  TimePoint now = scheduler_.now();
  s.begun = kNever;
  if (s.restsSince == kNever) s.restsSince = now;
  // Danger: clients may hold only so many connections; those that ask once and keep theirs for good
  // would leave none for whoever wants to ask. The ones idle longest go as soon as others need
  // their places.
  if (s.asked && idle_.size() >= limits_.idleMost) closeLongest(idle_);
  TimePoint until = away_ ? s.restsSince + limits_.grace * kRest : now + limits_.idle;
  if (until > now) {
    bool set = co_await wait(s, s.socket.readable, s.asked ? idle_ : awaitingFirstRequest_, until);
    if (set) co_return true;
  }
  // Danger: clients that ask once and keep their connection for good pile up.
  if (away_)
    s.finish(CloseReason::leaving);
  else if (sessions_.size() * 2 > limits_.sessions)
    s.finish(CloseReason::idle);
  co_return true;
}

runtime::Task<bool> ClientConnections::waitForMessage(Session& s) {
  TimePoint now = scheduler_.now();
  bool owed = s.talk->owed() > 0;
  // Danger: where many streams are answered on one connection, its end for a slow message would
  // take their answers. One that is owed answers isn't closed to make room, and what it is owed may
  // take its time.
  if (owed && s.left().empty())
    s.begun = kNever;
  else if (s.begun == kNever)
    s.begun = now;
  bool set = true;
  if (owed)
    co_await s.socket.readable.wait();
  else
    set = co_await wait(s, s.socket.readable, awaitingFirstRequest_, s.begun + limits_.silence);
  if (set) co_return true;
  bool greeted = s.talk->greeted();
  log::line("client_timeout", "what=%s", greeted ? "message" : "startup");
  s.talk->part(greeted ? DisconnectReason::messageTimeout : DisconnectReason::startupTimeout);
  co_return true;
}

// Danger: what is not read has no moment at which it came; hundreds who each send much ahead would
// take all memory.
std::size_t ClientConnections::mostAhead(const Session& s) const {
  bool more = s.left().size() >= kMostAhead && held() < limits_.bytes / kAheadPart;
  return more ? protocol_.mostMessage() : kMostAhead;
}

runtime::Task<> ClientConnections::answerOwed(Session& s) {
  while (s.talk->full() && s.out.empty()) {
    // What a client sends ahead is read later; that it leaves shows at once. Danger: one that sends
    // much at once and goes stands behind all that it sent.
    if (!s.socket.isOpen() || s.socket.hasPeerClosed() ||
        s.more(mostAhead(s)) == runtime::Socket::ReadStatus::closed) {
      settle(s);
      s.close(CloseReason::client);
      co_return;
    }
    co_await s.socket.readable.wait();
  }
}

// Danger: closing with unread bytes resets the connection and may take the last message with it.
runtime::Task<> ClientConnections::endAfterLastWord(Session& s) {
  bool written = co_await flush(s);
  s.socket.shutdownWrite();
  TimePoint until = scheduler_.now() + limits_.linger;
  std::size_t drained = 0;
  while (written && s.socket.isOpen() && drained < kMostDrained) {
    s.in.clear(), s.used = 0;
    runtime::Socket::ReadStatus got = s.socket.read(s.in, kMostAhead);
    drained += s.in.size();
    if (got == runtime::Socket::ReadStatus::closed) break;
    // Danger: one who goes on sending at full speed would have this thread for itself.
    if (got == runtime::Socket::ReadStatus::data) {
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + Duration{1});
      continue;
    }
    bool set = co_await wait(s, s.socket.readable, closing_, until);
    if (!set) break;
  }
}

// Danger: a request may come in this very moment. One that was read would have to be answered; one
// that wasn't is asked again by its client, elsewhere. So nothing is read from here on, and the
// client is given time to see the end, and what was said before, ahead of the reset that a close
// over unread bytes brings.
runtime::Task<> ClientConnections::endAtRest(Session& s) {
  bool written = co_await flush(s);
  s.socket.shutdownWrite();
  TimePoint until = scheduler_.now() + limits_.linger;
  bool waits = written;
  while (waits && s.socket.isOpen() && !s.socket.hasPeerClosed())
    waits = co_await wait(s, s.socket.readable, closing_, until);
}

// The connection is over: what is still owed on it is wanted no more, or was this side's to give.
void ClientConnections::settle(Session& s) {
  std::uint64_t gone = counters_.gone, unsaid = s.said.size() + s.goes.size() + s.talk->kept();
  bool byClient = s.gone || s.garbled || s.socket.hasPeerClosed();
  std::size_t unanswered = unsaid + s.talk->owed();
  if (unanswered > 0 && !byClient)
    invariants::violated(invariants::Rule::answer, "end=%s statements=%zu", nameOf(s.reason),
                         unanswered);
  else if (unanswered > 0)
    log::line("client_left", "end=%s open=%zu unsaid=%zu", nameOf(s.reason), s.talk->owed(),
              unsaid);
  if (s.talk->owed() > 0) s.talk->left();
  if (byClient)
    counters_.gone += unsaid;
  else
    counters_.gone = gone;
  s.said.clear(), s.goes.clear();
}

void ClientConnections::noteEnd(Session& s) {
  if (s.reason == CloseReason::none) s.reason = CloseReason::client;
  ++ended_[static_cast<std::size_t>(s.reason)];
}

runtime::Task<> ClientConnections::serve(std::unique_ptr<Session> owned, bool turnAway) {
  Session& s = *owned;
  if (turnAway) s.talk->part(DisconnectReason::atCapacity);
  // Danger: an exception that left this coroutine would leave its session among the others, and its
  // statements open.
  try {
    co_await converse(s);
  } catch (const std::exception& e) {
    log::line("task_failed", "what=\"%s\"", e.what());
    s.close(CloseReason::fault);
  }
  settle(s);
  noteEnd(s);
  sessions_.erase(s.place);
  if (turnAway) --rejecting_;
}

runtime::Task<> ClientConnections::converse(Session& s) {
  bool good = true;
  // Danger: what a client asked that has gone meanwhile would still be sent on.
  while (good && !s.ending && s.socket.isOpen() && !s.socket.hasPeerClosed()) {
    std::size_t used = 0;
    if (s.talk->full()) {
      co_await answerOwed(s);
    } else if (s.talk->take(s.left(), s.arrivals, used)) {
      s.begun = kNever, s.garbled = s.ending && s.reason == CloseReason::lastWord;
      s.asked |= s.talk->owed() > 0;
      s.drop(used);
      if (s.talk->full()) continue;
      if (++s.inARow > kInARow) {
        // Danger: a client that sends without end would keep all others waiting.
        s.inARow = 0;
        co_await runtime::sleepUntil(scheduler_, scheduler_.now() + Duration{1});
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
  if (!s.ending || !s.socket.isOpen()) co_return;
  if (s.reason == CloseReason::lastWord)
    co_await endAfterLastWord(s);
  else
    co_await endAtRest(s);
}

}  // namespace reedchute::client
