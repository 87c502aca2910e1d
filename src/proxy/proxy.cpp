#include "proxy/proxy.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "invariants/violations.h"
#include "log/log.h"
#include "proxy/startup.h"
#include "runtime/system_error.h"

namespace reedchute::proxy {
namespace {

// Descriptors: a reserve for the list, the signals, the log and the like; of the rest, a third is
// the stores'.
constexpr std::size_t kReserve = 24;
constexpr std::size_t kStorePart = 3;
// PROTOCOL: clients hold a third of the descriptors at most for what they ask; half of that may
// stand idle.
constexpr std::size_t kIdlePart = 6;
// Memory, as parts of what is allowed: buffers of clients, answers on their way from stores and one
// row of them, statements in hand with what they usually need, and the list as it comes: 2 MB of
// 32, or 2 KB for each of 1,024 stores, and twice as much for its values while it is read.
constexpr std::size_t kClientPart = 4, kAnswerPart = 4, kRowPart = 32, kStatementPart = 2,
                      kListPart = 16;
// PROTOCOL: after SIGTERM clients keep coming for 0.2 to 0.4 s, and what arrives up to 0.7 s after
// it counts. What is taken later may not have its answer before the process is killed, and the
// signal may be read 0.15 s late.
constexpr Duration kStillComing{550'000};
// In connect time-outs: whoever has come is left alone for so long; owes a whole message; may be
// closed when idle.
constexpr double kGrace = 0.1, kSilence = 6, kIdle = 8;
// PROTOCOL: what a silent watch misses counts as told so long after it fell silent, and for a call
// that may wait, a third of that after its wait, and so does whatever a call that failed did not
// bring. A watch waits two fifths of it, and is broken a sixth later; what is left is for the next
// call, which may fail once more.
constexpr Duration kToldAnyway{6'000'000};
// PROTOCOL: what an answer tells counts as known so long after it was written.
constexpr Duration kKnownAfter{100'000};
constexpr double kWatchPart = 2.0 / 5, kSilentPart = 1.0 / 6;
// Where the list is pushed, what its agent has counts as told: as parts of the grace of a drain,
// how long a connection to it may take, and the pause between calls that fail.
constexpr double kDialPart = 2.0 / 5, kRetryPart = 1.0 / 5;
constexpr double kFirstList =
    2;  // connect time-outs that clients are kept waiting for the first list
constexpr double kRemembered = 2;  // keepalives that a store which is gone is remembered for
constexpr Duration kTallyEvery{5'000'000};
// A configuration that can't be read is tried again for so long after its signal, first after so
// many ticks.
constexpr Duration kReloadTried{10'000'000};
constexpr double kReloadFirst = 4;

upstream::ConnectionPools::Limits storeLimits(const Config& g) {
  return {g.terms.connectTimeout, g.keepalive, (g.sockets - kReserve) / kStorePart,
          g.memory / kRowPart, g.memory / kAnswerPart};
}

// On sockets what the list's service has, and what an answer tells, counts as told at its time,
// read or not.
Config counted(Config g) {
  g.terms.endpointsAssumedKnownAfter = kToldAnyway, g.terms.responseAssumedKnownAfter = kKnownAfter;
  return g;
}

discovery::EndpointWatcher::Timing listPace(const EngineSettings& t) {
  Duration dial = t.pollsEndpoints ? t.connectTimeout
                                   : std::min(t.connectTimeout, t.drainGrace * kDialPart);
  return {std::min(t.maxPollInterval, kToldAnyway * kWatchPart), kToldAnyway * kSilentPart, dial,
          std::min(t.connectTimeout, t.drainGrace) * kRetryPart, t.pollsEndpoints};
}

// `part`: of all places for clients, that one protocol's have.
client::ClientConnections::Limits clientLimits(const Config& g, std::size_t places,
                                               std::size_t part) {
  Duration unit = g.terms.connectTimeout;
  auto share = [&](std::size_t of) {
    return part == places ? of : std::max<std::size_t>(1, of * part / places);
  };
  return {part,
          unit,
          g.keepalive,
          unit * kGrace,
          unit * kSilence,
          unit * kIdle,
          share(g.sockets / kIdlePart),
          share(g.memory / kClientPart)};
}

std::size_t clientPlaces(const Config& g) {
  std::size_t rest = g.sockets - kReserve;
  return rest - rest / kStorePart;
}

request::ProtocolVersion probeVersion(const std::vector<std::unique_ptr<Protocol>>& protocols) {
  request::ProtocolVersion version = 0;
  for (const auto& p : protocols)
    if (p->probes()) version = p->versions().front();
  return version;
}

sigset_t taken() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
  return signals;
}

}  // namespace

const char* nameOf(Lifecycle p) {
  switch (p) {
    case Lifecycle::starting:
      return "starting";
    case Lifecycle::serving:
      return "serving";
    case Lifecycle::draining:
      return "leaving";
    case Lifecycle::shuttingDown:
      return "closing";
    default:
      return "ended";
  }
}

Proxy::Proxy(Config config)
    : config_(counted(std::move(config))),
      reloads_(scheduler_),
      engine_(config_.terms, scheduler_.now()),
      responder_(groups_),
      statements_(scheduler_, engine_, responder_, config_.terms),
      stores_(scheduler_, statements_, storeLimits(config_)),
      protocols_(protocolsOf(
          config_, {scheduler_, *this, stores_, storeIds_, groups_, statements_.openIds()})),
      dispatcher_(scheduler_, statements_, stores_, config_.terms.connectTimeout,
                  probeVersion(protocols_)),
      router_(scheduler_, engine_, statements_, dispatcher_, responder_, stores_),
      admission_(engine_, statements_),
      list_(scheduler_, *this, config_.discovery, config_.discoveryHost, config_.known.version,
            listPace(config_.terms), config_.memory / kListPart),
      told_(scheduler_),
      listed_(scheduler_) {
  router_.list(&list_);
  scheduler_.onClockStep(config_.terms.tick, [this](Duration ahead) { clockStepped(ahead); });
  if (config_.ledger) {
    ledger_ = std::make_unique<ledger::UsageRecorder>(*config_.ledger, config_.names,
                                                      config_.terms);
    responder_.meter(ledger_.get());
  }
  std::size_t places = clientPlaces(config_), reserved = 0;
  for (const auto& p : protocols_) reserved += p->connections();
  if (reserved * 2 > places)
    throw InvalidInput("the doors' connections need more than half of the places for clients");
  for (const auto& p : protocols_)
    clients_.push_back(std::make_unique<client::ClientConnections>(
        scheduler_, p->door(), counters_,
        clientLimits(config_, places,
                     p->connections() > 0 ? p->connections() : places - reserved)));
}

std::size_t Proxy::sessions() const {
  std::size_t all = 0;
  for (const auto& c : clients_) all += c->sessions();
  return all;
}

void Proxy::enter(Lifecycle p) {
  lifecycle_ = p;
  log::line("lifecycle", "name=%s phase=%s open=%zu sessions=%zu", config_.name.c_str(), nameOf(p),
            statements_.openCount(), sessions());
}

void Proxy::holdSignals() {
  sigset_t signals = taken();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void Proxy::run() {
  sigset_t signals = taken();
  enter(Lifecycle::starting);
  tellList(config_.known, false);
  int signalDescriptor = retryAtStart([&] {
    int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0) runtime::throwErrno("signals can't be read");
    return fd;
  });
  scheduler_.spawn(watchSignals(signalDescriptor));
  scheduler_.spawn(watchReloads());
  scheduler_.spawn(router_.alarm());
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
  scheduler_.run([this] { router_.round(); });
  tellTally();
  tellEnds();
  tellMissing(0);
  enter(Lifecycle::ended);
  log::flushSuppressed();
}

// Danger: what the list's agent has counts as told from the first moment, and the list known from
// before may be old: a statement taken before the agent was heard could go to a store that has
// drained since. It may be away, though.
runtime::Task<> Proxy::open() {
  co_await listed_.wait(scheduler_.now() + config_.terms.connectTimeout * kFirstList);
  if (lifecycle_ == Lifecycle::shuttingDown) co_return;
  for (const auto& c : clients_) c->open();
  if (lifecycle_ == Lifecycle::starting) enter(Lifecycle::serving);
}

runtime::Task<> Proxy::watchSignals(int fd) {
  runtime::Descriptor signals(scheduler_, fd);
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
      co_await signals.readable.wait();
    }
  }
}

// Danger: the file may be half written as the signal comes, or a descriptor for it may be missing
// at this moment; no other signal would tell when it can be read.
runtime::Task<> Proxy::watchReloads() {
  for (;;) {
    co_await reloads_.wait();
    runtime::Backoff backoff(config_.terms.tick * kReloadFirst, config_.terms.connectTimeout);
    TimePoint until = scheduler_.now() + kReloadTried;
    while (!reload() && scheduler_.now() < until) {
      TimePoint next = scheduler_.now() + backoff.nextDelay(scheduler_.now());
      bool signalled = co_await reloads_.wait(next);
      if (signalled) until = scheduler_.now() + kReloadTried, backoff.reset();
    }
  }
}

// Danger: the file may be missing, half written or senseless; then all stays as it is. False where
// it can't be read.
bool Proxy::reload() {
  Config next;
  try {
    next = loadConfig(config_.path.c_str());
  } catch (const std::exception& e) {
    log::line("reload_bad", "what=\"%s\"", e.what());
    return false;
  }
  for (const char* field : changedForRestart(config_, next))
    log::line("reload_ignored", "field=%s", field);
  log::line("reload", "discovery=%s", next.discoveryHost.c_str());
  config_.discovery = next.discovery;
  config_.discoveryHost = next.discoveryHost;
  list_.setService(next.discovery, next.discoveryHost);
  return true;
}

runtime::Task<> Proxy::leave() {
  co_await told_.wait();
  takenUntil_ = scheduler_.now() + kStillComing;
  enter(Lifecycle::draining);
  for (const auto& p : protocols_) p->leaving();
  while (scheduler_.now() < takenUntil_) co_await told_.wait(takenUntil_);
  enter(Lifecycle::shuttingDown);
  for (const auto& c : clients_) c->drain();
  for (const auto& c : clients_) co_await c->stopListening();
  // Danger: exit while an answer is still being written would cut it off.
  while (sessions() > 0) co_await told_.wait(scheduler_.now() + config_.terms.tick);
  scheduler_.stop();
}

runtime::Task<> Proxy::sweep() {
  for (;;) {
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + config_.keepalive * 0.5);
    forgetGone();
  }
}

// The ledger's state is told as soon as it is another; its figures with the tally.
runtime::Task<> Proxy::watchLedger() {
  while (ledger_) {
    if (ledger_->state().is != ledgerWas_.is) tellLedger();
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + config_.terms.tick * 4);
  }
}

void Proxy::tellTally() {
  auto count = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  const pipeline::Responder::AnswerCounts& ends = responder_.answers();
  log::line(
      "counters",
      "taken=%llu open=%zu sessions=%zu store_connections=%zu stores=%zu gone=%zu completed=%llu "
      "rejected=%llu "
      "aborted=%llu executions=%llu probes=%llu connects=%llu answered=%llu client_gone=%llu "
      "late=%llu",
      count(counters_.taken), statements_.openCount(), sessions(), stores_.connectionCount(),
      storeIds_.size(), gone_.size(), count(ends.completed), count(ends.rejected),
      count(ends.aborted), count(dispatcher_.executions()), count(dispatcher_.probes()),
      count(stores_.openedCount()), count(counters_.answered), count(counters_.gone),
      count(counters_.late));
}

// Why connections of clients ended, why attempts were refused as they were to leave, and what the
// checks have found.
void Proxy::tellEnds() const {
  std::string fields;
  auto add = [&](const char* kind, const char* name, std::uint64_t count) {
    if (count > 0)
      fields += std::string(fields.empty() ? "" : " ") + kind + name + "=" + std::to_string(count);
  };
  for (int k = 1; k < static_cast<int>(client::CloseReason::count); ++k) {
    auto why = static_cast<client::CloseReason>(k);
    std::uint64_t all = 0;
    for (const auto& c : clients_) all += c->ended(why);
    add("ended_", client::nameOf(why), all);
  }
  for (int k = 1; k < static_cast<int>(invariants::Refusal::count); ++k) {
    auto why = static_cast<invariants::Refusal>(k);
    add("attempt_", invariants::nameOf(why), statements_.refused(why));
  }
  for (int k = 0; k < static_cast<int>(invariants::Rule::count); ++k) {
    auto rule = static_cast<invariants::Rule>(k);
    add("violated_", invariants::nameOf(rule), invariants::violations(rule));
  }
  if (!fields.empty()) log::line("close_counters", "%s", fields.c_str());
}

// `owed`: statements that may still be open or being written.
void Proxy::tellMissing(std::size_t owed) const {
  auto missing = static_cast<long long>(counters_.missing(owed));
  if (missing == 0) return;
  auto count = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  log::line("responses_missing",
            "statements=%lld taken=%llu answered=%llu client_gone=%llu owed=%zu", missing,
            count(counters_.taken), count(counters_.answered), count(counters_.gone), owed);
}

runtime::Task<> Proxy::tally() {
  for (;;) {
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + kTallyEvery);
    tellTally();
    tellEnds();
    std::size_t owed = statements_.openCount();
    for (const auto& c : clients_) owed += c->saying();
    tellMissing(owed);
    if (ledger_) tellLedger();
    log::flushSuppressed();
  }
}

void Proxy::tellLedger() {
  ledger::UsageRecorderState s = ledger_->state();
  if (s.is != ledgerWas_.is)
    log::line("ledger", "state=%s what=\"%s\"", ledger::nameOf(s.is), s.what.c_str());
  if (s.lost != ledgerWas_.lost)
    log::line("ledger_lost", "entries=%llu", static_cast<unsigned long long>(s.lost));
  if (s.jumps != ledgerWas_.jumps)
    log::line("ledger_clock", "jumps=%llu", static_cast<unsigned long long>(s.jumps));
  if (s.diskErrors != ledgerWas_.diskErrors)
    log::line("ledger_disk", "errors=%llu", static_cast<unsigned long long>(s.diskErrors));
  log::line("ledger_tally", "written=%llu durable=%llu ring_free=%zu",
            static_cast<unsigned long long>(s.written), static_cast<unsigned long long>(s.durable),
            s.ringFree);
  ledgerWas_ = s;
}

int Proxy::admit(request::ReceivedStatement taken, request::ResponseSink& sink, int requestId) {
  ++counters_.taken;
  // Danger: statements whose answers are long would together take all memory there is.
  if (statements_.held() + pipeline::StatementTable::costOf(taken.payload->size()) >
      config_.memory / kStatementPart) {
    log::line("statement_memory_limit", "bytes=%zu open=%zu", statements_.held(),
              statements_.openCount());
    sink.rejected(requestId, Duration{});
    return -1;
  }
  // Danger: a client that is still owed an answer may ask once more behind it; the process may be
  // killed before that has its own.
  if (!takes(taken.came)) {
    log::line("rejected_draining", "open=%zu", statements_.openCount());
    sink.rejected(requestId, Duration{});
    return -1;
  }
  // Where operators would rather refuse than serve what can't be billed.
  if (ledger_ && !ledger_->admits()) {
    log::line("ledger_refuses", "open=%zu", statements_.openCount());
    sink.rejected(requestId, config_.terms.connectTimeout);
    return -1;
  }
  taken.arrival.giveUpAt = taken.came + taken.timeout;
  return admission_.admit(std::move(taken), sink, requestId, scheduler_.now());
}

bool Proxy::roomy() const {
  return statements_.held() * 2 < config_.memory / kStatementPart;
}

// Danger: a client also leaves because the answer that it is owed never came; that is no going
// before its time.
void Proxy::left(int statement) {
  const pipeline::Statement& st = statements_.row(statement);
  if (st.open && scheduler_.now() <= st.giveUpAt + request::kStillOwed)
    ++counters_.gone;
  else if (st.open)
    log::line("left_unanswered", "id=%s late_ms=%lld waited_ms=%lld", st.id.c_str(),
              static_cast<long long>((scheduler_.now() - st.giveUpAt).us / 1000),
              static_cast<long long>((scheduler_.now() - st.came).us / 1000));
  admission_.withdraw(statement, scheduler_.now());
  statements_.touch();
}

void Proxy::onEndpointsChanged(const discovery::EndpointList& roster) {
  log::line("endpoints_updated", "version=%lld full=%d entries=%zu",
            static_cast<long long>(roster.version), roster.isFull, roster.endpoints.size());
  tellList(roster, true);
  listed_.set();
}

void Proxy::onPollFailed() {
  engine_.onDiscoveryFailed(scheduler_.now());
  statements_.touch();
}

void Proxy::tellList(const discovery::EndpointList& roster, bool asked) {
  TimePoint now = scheduler_.now();
  engine_.beginSnapshot(roster.isFull);
  // Whoever a whole list leaves out is gone, unless it names it below.
  if (roster.isFull) storeIds_.each([&](int store) { gone_.try_emplace(store, now); });
  for (const discovery::Endpoint& m : roster.endpoints) {
    EndpointInfo e;
    e.store = storeIds_.add(m.id);
    if (m.status == EndpointStatus::gone)
      gone_.try_emplace(e.store, now);
    else
      gone_.erase(e.store);
    e.group = groups_.add(m.group);
    e.zone = indexOf(config_.names.zones, m.zone);
    e.listed = m.status;
    e.primary = m.isPrimary;
    e.weight = m.weight;
    if (m.startedMs > 0) e.started = startOf(e.store, WallTime{m.startedMs * 1000});
    for (const auto& p : protocols_)
      if (auto address = p->addressOf(m))
        for (request::ProtocolVersion version : p->versions())
          stores_.setAddress(e.store, version, *address);
    engine_.addEndpoint(e, now);
    statements_.guard().listed(e.store, e.group, e.zone, e.listed, now);
    const char* state = m.status == EndpointStatus::up         ? "up"
                        : m.status == EndpointStatus::draining ? "draining"
                                                               : "gone";
    log::line("endpoint", "store=%d id=%s group=%lld state=%s primary=%d started_ms=%lld", e.store,
              m.id.c_str(), static_cast<long long>(m.group), state, m.isPrimary,
              static_cast<long long>(m.startedMs));
  }
  engine_.endSnapshot(asked);
  for (const discovery::Endpoint& m : roster.endpoints)
    if (m.status != EndpointStatus::up) stores_.drainStore(storeIds_.find(m.id));
  if (config_.terms.removalMeansDrained)
    for (const auto& [store, since] : gone_)
      statements_.guard().dropped(store, now), stores_.drainStore(store),
          stores_.closeIdleConnections(store);
  statements_.touch();
}

// Danger: read anew after the wall clock was set, a start that was told before would pass for
// another one, and one told since might lie before it. Nothing that is told of has started later
// than now.
TimePoint Proxy::startOf(int store, WallTime told) {
  Start& known = starts_[store];
  TimePoint at = std::min(scheduler_.wallClock().toSteady(told), scheduler_.now());
  if (told > known.told) known = {told, std::max(at, known.at + Duration{1})};
  return known.at;
}

// Danger: a read that waits for its connection was found fresh by the clock as it was. It is placed
// anew.
void Proxy::clockStepped(Duration ahead) {
  log::line("clock_step", "ahead_ms=%lld", static_cast<long long>(ahead.us / 1000));
  engine_.onClockStepped(ahead);
  stores_.cancelUnsent([&](const request::UpstreamRequest& j) {
    if (j.statement < 0) return false;
    Level level = config_.terms
                      .workloads[static_cast<std::size_t>(statements_.row(j.statement).workload)]
                      .level;
    return ahead > Duration{} && (level == Level::bounded || level == Level::fresh);
  });
  statements_.touch();
}

// Danger: with stores ever new, all that is kept of each would pile up. What is known of one is
// kept for a while, as the list may drop by mistake what runs on; where a drop doesn't bind, for as
// long as the front runs.
void Proxy::forgetGone() {
  if (!config_.terms.removalMeansDrained) return;
  std::erase_if(gone_, [&](const auto& entry) {
    auto [store, since] = entry;
    if (scheduler_.now() - since < config_.keepalive * kRemembered) return false;
    if (!stores_.isUnused(store) || statements_.names(store)) return false;
    log::line("endpoint_removed", "store=%d id=%s", store, storeIds_.id(store).c_str());
    engine_.removeEndpoint(store, scheduler_.now());
    statements_.guard().forget(store);
    stores_.removeStore(store);
    storeIds_.release(store);
    starts_.erase(store);
    return true;
  });
}

}  // namespace reedchute::proxy
