#include "front/front.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "front/startup.h"
#include "guard/violations.h"
#include "log/log.h"

namespace reedchute::front {
namespace {

// Descriptors: a reserve for the list, the signals, the log and the like; of the rest, a third is the
// stores'.
constexpr std::size_t kReserve = 24;
constexpr std::size_t kStorePart = 3;
// PROTOCOL: clients hold a third of the descriptors at most for what they ask; half of that may stand idle.
constexpr std::size_t kIdlePart = 6;
// Memory, as parts of what is allowed: buffers of clients, answers on their way from stores and one row of them,
// statements in hand with what they usually need, and the list as it comes: 2 MB of 32, or 2 KB for each of 1,024
// stores, and twice as much for its values while it is read.
constexpr std::size_t kClientPart = 4, kAnswerPart = 4, kRowPart = 32, kStatementPart = 2, kListPart = 16;
// PROTOCOL: after SIGTERM clients keep coming for 0.2 to 0.4 s, and what arrives up to 0.7 s after it counts. What is
// taken later may not have its answer before the process is killed, and the signal may be read 0.15 s late.
constexpr Span kStillComing{550'000};
// In connect time-outs: whoever has come is left alone for so long; owes a whole message; may be closed when idle.
constexpr double kGrace = 0.1, kSilence = 6, kIdle = 8;
// PROTOCOL: what a silent watch misses counts as told so long after it fell silent, and for a call that may wait, a
// third of that after its wait, and so does whatever a call that failed did not bring. A watch waits two fifths of it,
// and is broken a sixth later; what is left is for the next call, which may fail once more.
constexpr Span kToldAnyway{6'000'000};
// PROTOCOL: what an answer tells counts as known so long after it was written.
constexpr Span kKnownAfter{100'000};
constexpr double kWatchPart = 2.0 / 5, kSilentPart = 1.0 / 6;
// Where the list is pushed, what its agent has counts as told: as parts of the grace of a drain, how long a connection
// to it may take, and the pause between calls that fail.
constexpr double kDialPart = 2.0 / 5, kRetryPart = 1.0 / 5;
constexpr double kFirstList = 2;   // connect time-outs that clients are kept waiting for the first list
constexpr double kRemembered = 2;  // keepalives that a store which is gone is remembered for
constexpr Span kTallyEvery{5'000'000};
// A configuration that can't be read is tried again for so long after its signal, first after so many ticks.
constexpr Span kReloadTried{10'000'000};
constexpr double kReloadFirst = 4;

peers::Stores::Limits storeLimits(const Given& g) {
  return {g.terms.connectTimeout, g.keepalive, (g.sockets - kReserve) / kStorePart, g.memory / kRowPart,
          g.memory / kAnswerPart};
}

// On sockets what the list's service has, and what an answer tells, counts as told at its time, read or not.
Given counted(Given g) {
  g.terms.toldAnyway = kToldAnyway, g.terms.knownAfter = kKnownAfter;
  return g;
}

peers::List::Pace listPace(const Terms& t) {
  Span dial = t.mustAsk ? t.connectTimeout : std::min(t.connectTimeout, t.drainGrace * kDialPart);
  return {std::min(t.askEvery, kToldAnyway * kWatchPart), kToldAnyway * kSilentPart, dial,
          std::min(t.connectTimeout, t.drainGrace) * kRetryPart, t.mustAsk};
}

// `part`: of all places for clients, that one protocol's have.
peers::Clients::Limits clientLimits(const Given& g, std::size_t places, std::size_t part) {
  Span unit = g.terms.connectTimeout;
  auto share = [&](std::size_t of) { return part == places ? of : std::max<std::size_t>(1, of * part / places); };
  return {part, unit, g.keepalive, unit * kGrace, unit * kSilence, unit * kIdle, share(g.sockets / kIdlePart),
          share(g.memory / kClientPart)};
}

std::size_t clientPlaces(const Given& g) {
  std::size_t rest = g.sockets - kReserve;
  return rest - rest / kStorePart;
}

exchange::Speech probeSpeech(const std::vector<std::unique_ptr<Protocol>>& protocols) {
  exchange::Speech speech = 0;
  for (const auto& p : protocols)
    if (p->probes()) speech = p->speeches().front();
  return speech;
}

sigset_t taken() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
  return signals;
}

}  // namespace

const char* nameOf(Phase p) {
  switch (p) {
    case Phase::starting:
      return "starting";
    case Phase::serving:
      return "serving";
    case Phase::leaving:
      return "leaving";
    case Phase::closing:
      return "closing";
    default:
      return "ended";
  }
}

Front::Front(Given given)
    : given_(counted(std::move(given))),
      reloads_(scheduler_),
      rules_(given_.terms, scheduler_.now()),
      relay_(groups_),
      book_(scheduler_, rules_, relay_, given_.terms),
      stores_(scheduler_, book_, storeLimits(given_)),
      protocols_(protocolsOf(given_, {scheduler_, *this, stores_, storeIds_, groups_, book_.openIds()})),
      send_(scheduler_, book_, stores_, given_.terms.connectTimeout, probeSpeech(protocols_)),
      route_(scheduler_, rules_, book_, send_, relay_, stores_),
      admit_(rules_, book_),
      list_(scheduler_, *this, given_.discovery, given_.discoveryHost,
            given_.known.version, listPace(given_.terms), given_.memory / kListPart),
      told_(scheduler_),
      listed_(scheduler_) {
  route_.list(&list_);
  scheduler_.onStep(given_.terms.tick, [this](Span ahead) { clockStepped(ahead); });
  if (given_.ledger) {
    ledger_ = std::make_unique<ledger::Feed>(*given_.ledger, given_.names, given_.terms);
    relay_.meter(ledger_.get());
  }
  std::size_t places = clientPlaces(given_), reserved = 0;
  for (const auto& p : protocols_) reserved += p->connections();
  if (reserved * 2 > places) throw Malformed("the doors' connections need more than half of the places for clients");
  for (const auto& p : protocols_)
    clients_.push_back(std::make_unique<peers::Clients>(
        scheduler_, p->door(), account_,
        clientLimits(given_, places, p->connections() > 0 ? p->connections() : places - reserved)));
}

std::size_t Front::sessions() const {
  std::size_t all = 0;
  for (const auto& c : clients_) all += c->sessions();
  return all;
}

void Front::enter(Phase p) {
  phase_ = p;
  log::line("phase", "name=%s phase=%s open=%zu sessions=%zu", given_.name.c_str(), nameOf(p),
            book_.openCount(), sessions());
}

void Front::holdSignals() {
  sigset_t signals = taken();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void Front::run() {
  sigset_t signals = taken();
  enter(Phase::starting);
  tellList(given_.known, false);
  int signalDescriptor = retryAtStart([&] {
    int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0) sched::throwErrno("signals can't be read");
    return fd;
  });
  scheduler_.spawn(watchSignals(signalDescriptor));
  scheduler_.spawn(watchReloads());
  scheduler_.spawn(route_.alarm());
  scheduler_.spawn(list_.run());
  scheduler_.spawn(leave());
  scheduler_.spawn(tally());
  scheduler_.spawn(sweep());
  scheduler_.spawn(watchLedger());
  for (std::size_t k = 0; k < clients_.size(); ++k) {
    int port = retryAtStart([&] { return clients_[k]->listen(protocols_[k]->listen()); });
    protocols_[k]->listening(port);
    if (k == 0)
      log::line("listening", "port=%d", port);
    else
      log::line("listening_too", "protocol=%s port=%d", protocols_[k]->name(), port);
  }
  scheduler_.spawn(open());
  scheduler_.run([this] { route_.round(); });
  tellTally();
  tellEnds();
  tellMissing(0);
  enter(Phase::ended);
  log::flushCounts();
}

// Danger: what the list's agent has counts as told from the first moment, and the list known from before may be old:
// a statement taken before the agent was heard could go to a store that has drained since. It may be away, though.
sched::Task<> Front::open() {
  co_await listed_.wait(scheduler_.now() + given_.terms.connectTimeout * kFirstList);
  if (phase_ == Phase::closing) co_return;
  for (const auto& c : clients_) c->open();
  if (phase_ == Phase::starting) enter(Phase::serving);
}

sched::Task<> Front::watchSignals(int fd) {
  sched::Descriptor signals(scheduler_, fd);
  for (;;) {
    signalfd_siginfo info;
    ssize_t got = read(signals.fd(), &info, sizeof info);
    if (got == sizeof info) {
      log::line("signal", "number=%u", info.ssi_signo);
      (info.ssi_signo == SIGHUP ? reloads_ : told_).set();
    } else if (got < 0 && errno == EINTR) {
      // Danger: no edge comes for a signal that stands there already.
      continue;
    } else {
      co_await signals.in.wait();
    }
  }
}

// Danger: the file may be half written as the signal comes, or a descriptor for it may be missing at this moment; no
// other signal would tell when it can be read.
sched::Task<> Front::watchReloads() {
  for (;;) {
    co_await reloads_.wait();
    sched::Backoff backoff(given_.terms.tick * kReloadFirst, given_.terms.connectTimeout);
    TimePoint until = scheduler_.now() + kReloadTried;
    while (!reload() && scheduler_.now() < until) {
      TimePoint next = scheduler_.now() + backoff.after(scheduler_.now());
      bool signalled = co_await reloads_.wait(next);
      if (signalled) until = scheduler_.now() + kReloadTried, backoff.succeeded();
    }
  }
}

// Danger: the file may be missing, half written or senseless; then all stays as it is. False where it can't be read.
bool Front::reload() {
  Given next;
  try {
    next = readGiven(given_.path.c_str());
  } catch (const std::exception& e) {
    log::line("reload_bad", "what=\"%s\"", e.what());
    return false;
  }
  for (const char* field : changedForRestart(given_, next)) log::line("reload_ignored", "field=%s", field);
  log::line("reload", "discovery=%s", next.discoveryHost.c_str());
  given_.discovery = next.discovery;
  given_.discoveryHost = next.discoveryHost;
  list_.moveTo(next.discovery, next.discoveryHost);
  return true;
}

sched::Task<> Front::leave() {
  co_await told_.wait();
  takenUntil_ = scheduler_.now() + kStillComing;
  enter(Phase::leaving);
  for (const auto& p : protocols_) p->leaving();
  while (scheduler_.now() < takenUntil_) co_await told_.wait(takenUntil_);
  enter(Phase::closing);
  for (const auto& c : clients_) c->sendAway();
  for (const auto& c : clients_) co_await c->stopListening();
  // Danger: exit while an answer is still being written would cut it off.
  while (sessions() > 0) co_await told_.wait(scheduler_.now() + given_.terms.tick);
  scheduler_.stop();
}

sched::Task<> Front::sweep() {
  for (;;) {
    co_await sched::sleepUntil(scheduler_, scheduler_.now() + given_.keepalive * 0.5);
    forgetGone();
  }
}

// The ledger's state is told as soon as it is another; its figures with the tally.
sched::Task<> Front::watchLedger() {
  while (ledger_) {
    if (ledger_->state().is != ledgerWas_.is) tellLedger();
    co_await sched::sleepUntil(scheduler_, scheduler_.now() + given_.terms.tick * 4);
  }
}

void Front::tellTally() {
  auto count = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  const stages::Relay::Endings& ends = relay_.endings();
  log::line("tally",
            "taken=%llu open=%zu sessions=%zu store_connections=%zu stores=%zu gone=%zu completed=%llu "
            "rejected=%llu "
            "aborted=%llu executions=%llu probes=%llu connects=%llu answered=%llu client_gone=%llu late=%llu",
            count(account_.taken), book_.openCount(), sessions(), stores_.connections(), storeIds_.size(),
            gone_.size(), count(ends.completed), count(ends.rejected), count(ends.aborted),
            count(send_.executions()), count(send_.probes()), count(stores_.opened()),
            count(account_.answered), count(account_.gone), count(account_.late));
}

// Why connections of clients ended, why attempts were refused as they were to leave, and what the checks have found.
void Front::tellEnds() const {
  std::string fields;
  auto add = [&](const char* kind, const char* name, std::uint64_t count) {
    if (count > 0) fields += std::string(fields.empty() ? "" : " ") + kind + name + "=" + std::to_string(count);
  };
  for (int k = 1; k < static_cast<int>(peers::EndReason::count); ++k) {
    auto why = static_cast<peers::EndReason>(k);
    std::uint64_t all = 0;
    for (const auto& c : clients_) all += c->ended(why);
    add("ended_", peers::nameOf(why), all);
  }
  for (int k = 1; k < static_cast<int>(guard::Refusal::count); ++k) {
    auto why = static_cast<guard::Refusal>(k);
    add("attempt_", guard::nameOf(why), book_.refused(why));
  }
  for (int k = 0; k < static_cast<int>(guard::Rule::count); ++k) {
    auto rule = static_cast<guard::Rule>(k);
    add("violated_", guard::nameOf(rule), guard::violations(rule));
  }
  if (!fields.empty()) log::line("tally_ends", "%s", fields.c_str());
}

// `owed`: statements that may still be open or being written.
void Front::tellMissing(std::size_t owed) const {
  auto missing = static_cast<long long>(account_.missing(owed));
  if (missing == 0) return;
  auto count = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  log::line("answers_missing", "statements=%lld taken=%llu answered=%llu client_gone=%llu owed=%zu", missing,
            count(account_.taken), count(account_.answered), count(account_.gone), owed);
}

sched::Task<> Front::tally() {
  for (;;) {
    co_await sched::sleepUntil(scheduler_, scheduler_.now() + kTallyEvery);
    tellTally();
    tellEnds();
    std::size_t owed = book_.openCount();
    for (const auto& c : clients_) owed += c->saying();
    tellMissing(owed);
    if (ledger_) tellLedger();
    log::flushCounts();
  }
}

void Front::tellLedger() {
  ledger::FeedState s = ledger_->state();
  if (s.is != ledgerWas_.is)
    log::line("ledger", "state=%s what=\"%s\"", ledger::nameOf(s.is), s.what.c_str());
  if (s.lost != ledgerWas_.lost)
    log::line("ledger_lost", "entries=%llu", static_cast<unsigned long long>(s.lost));
  if (s.jumps != ledgerWas_.jumps) log::line("ledger_clock", "jumps=%llu", static_cast<unsigned long long>(s.jumps));
  if (s.diskErrors != ledgerWas_.diskErrors)
    log::line("ledger_disk", "errors=%llu", static_cast<unsigned long long>(s.diskErrors));
  log::line("ledger_tally", "written=%llu durable=%llu ring_free=%zu", static_cast<unsigned long long>(s.written),
            static_cast<unsigned long long>(s.durable), s.ringFree);
  ledgerWas_ = s;
}

int Front::admit(exchange::Taken taken, exchange::Asker& asker, int ticket) {
  ++account_.taken;
  // Danger: statements whose answers are long would together take all memory there is.
  if (book_.held() + stages::Book::costOf(taken.request->size()) > given_.memory / kStatementPart) {
    log::line("memory_full", "bytes=%zu open=%zu", book_.held(), book_.openCount());
    asker.rejected(ticket, Span{});
    return -1;
  }
  // Danger: a client that is still owed an answer may ask once more behind it; the process may be killed before that
  // has its own.
  if (!takes(taken.came)) {
    log::line("too_late", "open=%zu", book_.openCount());
    asker.rejected(ticket, Span{});
    return -1;
  }
  // Where operators would rather refuse than serve what can't be billed.
  if (ledger_ && !ledger_->admits()) {
    log::line("ledger_refuses", "open=%zu", book_.openCount());
    asker.rejected(ticket, given_.terms.connectTimeout);
    return -1;
  }
  taken.arrival.giveUpAt = taken.came + taken.timeout;
  return admit_.admit(std::move(taken), asker, ticket, scheduler_.now());
}

bool Front::roomy() const { return book_.held() * 2 < given_.memory / kStatementPart; }

// Danger: a client also leaves because the answer that it is owed never came; that is no going before its
// time.
void Front::left(int stmt) {
  const stages::Statement& st = book_.row(stmt);
  if (st.open && scheduler_.now() <= st.giveUpAt + exchange::kStillOwed)
    ++account_.gone;
  else if (st.open)
    log::line("left_unanswered", "id=%s late_ms=%lld waited_ms=%lld", st.id.c_str(),
              static_cast<long long>((scheduler_.now() - st.giveUpAt).us / 1000),
              static_cast<long long>((scheduler_.now() - st.came).us / 1000));
  admit_.withdraw(stmt, scheduler_.now());
  book_.touch();
}

void Front::listCame(const peers::Roster& roster) {
  log::line("list", "version=%lld full=%d entries=%zu", static_cast<long long>(roster.version), roster.full,
            roster.members.size());
  tellList(roster, true);
  listed_.set();
}

void Front::listFailed() {
  rules_.listFailed(scheduler_.now());
  book_.touch();
}

void Front::tellList(const peers::Roster& roster, bool asked) {
  TimePoint now = scheduler_.now();
  rules_.listBegins(roster.full);
  // Whoever a whole list leaves out is gone, unless it names it below.
  if (roster.full) storeIds_.each([&](int store) { gone_.try_emplace(store, now); });
  for (const peers::Member& m : roster.members) {
    Entry e;
    e.store = storeIds_.add(m.id);
    if (m.listed == Listed::gone)
      gone_.try_emplace(e.store, now);
    else
      gone_.erase(e.store);
    e.group = groups_.add(m.group);
    e.zone = placeOf(given_.names.zones, m.zone);
    e.listed = m.listed;
    e.primary = m.primary;
    e.weight = m.weight;
    if (m.startedMs > 0) e.started = startOf(e.store, WallTime{m.startedMs * 1000});
    for (const auto& p : protocols_)
      if (auto address = p->addressOf(m))
        for (exchange::Speech speech : p->speeches()) stores_.place(e.store, speech, *address);
    rules_.entry(e, now);
    book_.guard().listed(e.store, e.group, e.zone, e.listed, now);
    const char* state = m.listed == Listed::up ? "up" : m.listed == Listed::draining ? "draining" : "gone";
    log::line("member", "store=%d id=%s group=%lld state=%s primary=%d started_ms=%lld", e.store,
              m.id.c_str(), static_cast<long long>(m.group), state, m.primary,
              static_cast<long long>(m.startedMs));
  }
  rules_.listEnds(asked);
  for (const peers::Member& m : roster.members)
    if (m.listed != Listed::up) stores_.withdraw(storeIds_.find(m.id));
  if (given_.terms.goneBinds)
    for (const auto& [store, since] : gone_)
      book_.guard().dropped(store, now), stores_.withdraw(store), stores_.release(store);
  book_.touch();
}

// Danger: read anew after the wall clock was set, a start that was told before would pass for another one, and one told
// since might lie before it. Nothing that is told of has started later than now.
TimePoint Front::startOf(int store, WallTime told) {
  Start& known = starts_[store];
  TimePoint at = std::min(scheduler_.wall().pointOf(told), scheduler_.now());
  if (told > known.told) known = {told, std::max(at, known.at + Span{1})};
  return known.at;
}

// Danger: a read that waits for its connection was found fresh by the clock as it was. It is placed anew.
void Front::clockStepped(Span ahead) {
  log::line("clock_step", "ahead_ms=%lld", static_cast<long long>(ahead.us / 1000));
  rules_.clockStepped(ahead);
  stores_.recall([&](const exchange::Job& j) {
    if (j.stmt < 0) return false;
    Level level = given_.terms.workloads[static_cast<std::size_t>(book_.row(j.stmt).workload)].level;
    return ahead > Span{} && (level == Level::bounded || level == Level::fresh);
  });
  book_.touch();
}

// Danger: with stores ever new, all that is kept of each would pile up. What is known of one is kept for a while,
// as the list may drop by mistake what runs on; where a drop doesn't bind, for as long as the front runs.
void Front::forgetGone() {
  if (!given_.terms.goneBinds) return;
  std::erase_if(gone_, [&](const auto& entry) {
    auto [store, since] = entry;
    if (scheduler_.now() - since < given_.keepalive * kRemembered) return false;
    if (!stores_.unused(store) || book_.names(store)) return false;
    log::line("forgotten", "store=%d id=%s", store, storeIds_.id(store).c_str());
    rules_.left(store, scheduler_.now());
    book_.guard().forget(store);
    stores_.forget(store);
    storeIds_.release(store);
    starts_.erase(store);
    return true;
  });
}

}  // namespace reedchute::front
