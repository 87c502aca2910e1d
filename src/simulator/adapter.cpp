#include "simulator/adapter.h"

#include <algorithm>
#include <utility>

#include "base/id_index.h"
#include "config/engine_settings.h"

namespace reedchute::simulator {
namespace {

constexpr int kSheets = 16;
constexpr std::int64_t kLongestSleep = 71LL * 60 * 1'000'000;

const Words<EndpointStatus> kStates = {
    {"U", EndpointStatus::up}, {"L", EndpointStatus::draining}, {"D", EndpointStatus::gone}};

AttemptOutcome endingOf(std::int64_t code) {
  switch (code) {
    case 200:
      return AttemptOutcome::ok;
    case 404:
      return AttemptOutcome::notServedHere;
    case 503:
      return AttemptOutcome::overloaded;
    case 500:
      return AttemptOutcome::error;
    case 504:
      return AttemptOutcome::timeout;
    case 502:
      return AttemptOutcome::connectFailed;
    case 598:
      return AttemptOutcome::reset;
    case 499:
      return AttemptOutcome::cancelled;
    case 410:
      return AttemptOutcome::neverSent;
    default:
      throw InvalidInput("unknown ending: " + std::to_string(code));
  }
}

}  // namespace

// One instance: its module, and the maps from the wire's ids to indices.
class Instance : public DecisionSink {
 public:
  Instance(int number, const PlatformSettings& p, std::uint64_t seed, TimePoint now)
      : number_(number) {
    origin = TimePoint{p.integer("extra.origin_time")};
    engine_ = std::make_unique<DecisionEngine>(engineSettingsFrom(p, seed, names), now);
  }

  void send(int statement, int store, TimePoint stopAt,
            TimePoint) override {  // here it leaves at once
    ++ledger_[static_cast<std::size_t>(statement)].out;
    ++ledger_[static_cast<std::size_t>(statement)].sent;
    begin("SUBMIT_TO").add(stmts.id(statement)).add(stores.id(store)).add(stopAt.us).end();
  }
  void cancel(int statement, int execution) override {
    begin("STOP_ATTEMPT").add(stmts.id(statement)).add(execution).end();
  }
  void reject(int statement, Duration retryAfter) override {
    begin("OVERLOAD_REPLY").add(stmts.id(statement)).add(retryAfter.us).end();
    close(statement);
  }
  void abort(int statement) override {
    begin("GIVE_UP").add(stmts.id(statement)).end();
    close(statement);
  }
  void probe(int store) override { begin("POLL").add(stores.id(store)).end(); }
  void release(int store) override { begin("RELEASE").add(stores.id(store)).end(); }
  void pollEndpoints() override { begin("OBSERVE").add(1).end(); }
  void wake(Duration after) override {
    begin("SLEEP").add(1).add(std::min(after.us, kLongestSleep)).end();
  }

  void decide(TimePoint now, std::string& reply) {
    reply_ = &reply;
    engine_->decide(now, *this);
    for (int statement : closed_) stmts.release(statement);
    closed_.clear();
    reply_ = nullptr;
  }

  // A statement's index is free again once it has its answer and nothing is out for it.
  struct RequestCounters {
    int out = 0, sent = 0;
    bool closed = false, queued = false;
  };
  void open(int statement) {
    if (ledger_.size() <= static_cast<std::size_t>(statement))
      ledger_.resize(static_cast<std::size_t>(statement) + 1);
    ledger_[static_cast<std::size_t>(statement)] = {};
  }
  void close(int statement) {
    ledger_[static_cast<std::size_t>(statement)].closed = true;
    offerRelease(statement);
  }
  RequestCounters& account(int statement) { return ledger_[static_cast<std::size_t>(statement)]; }
  void offerRelease(int statement) {
    RequestCounters& a = account(statement);
    if (!a.closed || a.out > 0 || a.queued) return;
    a.queued = true;
    closed_.push_back(statement);
  }
  void faulted(std::string& reply, std::string message) {
    reply_ = &reply;
    std::replace_if(
        message.begin(), message.end(), [](char c) { return c == '\t' || c == '\n'; }, ' ');
    begin("INTERNAL_ERROR").add(message).end();
    reply_ = nullptr;
  }

  DecisionEngine& engine() { return *engine_; }

  IdIndex<std::string> stores;
  IdIndex<std::uint64_t> stmts;
  IdIndex<std::int64_t> groups;
  Names names;
  TimePoint origin;

 private:
  Instance& begin(const char* name) {
    reply_->append(name).append("\t").append(std::to_string(number_));
    return *this;
  }
  template <class T>
  Instance& add(const T& value) {
    reply_->push_back('\t');
    if constexpr (std::is_integral_v<T>)
      reply_->append(std::to_string(value));
    else
      reply_->append(value);
    return *this;
  }
  void end() { reply_->push_back('\n'); }

  int number_;
  std::unique_ptr<DecisionEngine> engine_;
  std::string* reply_ = nullptr;
  std::vector<RequestCounters> ledger_;
  std::vector<int> closed_;
};

Adapter::Adapter() : sheets_(kSheets), sheetKnown_(kSheets, 0) {}
Adapter::~Adapter() = default;

Instance& Adapter::instance() {
  int number = static_cast<int>(line_.integer(1, "i", 0, INT32_MAX));
  auto it = instances_.find(number);
  if (it == instances_.end())
    throw InvalidInput("instance " + std::to_string(number) + " was never started");
  if (std::find(touched_.begin(), touched_.end(), number) == touched_.end())
    touched_.push_back(number);
  return *it->second;
}

bool Adapter::line(std::string_view text, std::string& reply) {
  line_.split(text);
  std::string_view name = line_.name();
  if (!inBatch_) {
    if (name != "TURN") throw InvalidInput("a line outside a batch");
    line_.expect(1);
    std::int64_t clock = line_.integer(1, "clock");
    if (clock < lastClock_) throw InvalidInput("the clock went back");
    lastClock_ = clock;
    now_ = TimePoint{clock};
    inBatch_ = true;
    return false;
  }
  if (sheetMissing_ > 0) {
    listLine();
    return false;
  }
  if (name == "GO") {
    line_.expect(0);
    finish(reply);
    return true;
  }
  event();
  return false;
}

void Adapter::event() {
  std::string_view name = line_.name();
  if (name == "JOB_IN") return jobIn();
  if (name == "RESOLVED") return outcome();
  if (name == "REGISTRY") return registry();
  if (name == "WAKEUP") {
    line_.expect(2);
    line_.integer(2, "mark");
    instance().engine().onWake();
  } else if (name == "PONG") {
    line_.expect(5);
    Instance& in = instance();
    int store = in.stores.find(line_.text(3, "store"));
    if (store < 0)
      throw InvalidInput("a store that no list has named: '" + line_.text(3, "store") + "'");
    AttemptOutcome ending = endingOf(line_.integer(2, "ending"));
    line_.integer(4, "delay_seen");
    ReplicaReport report;
    for (auto [field, value] : line_.report(5, "pressure")) {
      if (field == "x0")
        report.position = in.origin + Duration{static_cast<std::int64_t>(value * 1e6)};
      if (field == "x1") report.primary = value > 0.5;
    }
    in.engine().onProbeEnded(store, ending == AttemptOutcome::ok, report, now_);
  } else if (name == "GONE") {
    line_.expect(2);
    Instance& in = instance();
    int statement = in.stmts.find(line_.unsigned64(2, "req"));
    if (statement < 0 || in.account(statement).closed) return;  // ended a moment ago
    in.engine().onClientClosed(statement);
    in.close(statement);
  } else if (name == "SHEET") {
    line_.expect(2);
    sheetOpen_ = static_cast<int>(line_.integer(1, "bank", 0, kSheets - 1));
    sheetMissing_ = static_cast<std::size_t>(line_.integer(2, "hosts", 0, 10'000'000));
    sheets_[static_cast<std::size_t>(sheetOpen_)].clear();
    sheetKnown_[static_cast<std::size_t>(sheetOpen_)] = 1;
  } else if (name == "SPAWN") {
    if (line_.fields() < 3) line_.expect(3);
    int number = static_cast<int>(line_.integer(1, "i", 0, INT32_MAX));
    if (instances_.count(number))
      throw InvalidInput("instance " + std::to_string(number) + " runs already");
    PlatformSettings params;
    for (std::size_t k = 3; k <= line_.fields(); ++k) params.add(line_.raw(k));
    try {
      instances_[number] = std::make_unique<Instance>(number, params,
                                                      line_.unsigned64(2, "nonce64"), now_);
    } catch (const std::invalid_argument& e) {
      throw InvalidInput(e.what());
    }
    instance();
  } else if (name == "KILL") {
    line_.expect(1);
    instance();
    int number = static_cast<int>(line_.integer(1, "i"));
    instances_.erase(number);
    std::erase(touched_, number);
  } else if (name == "HEADERS") {
    line_.expect(5);
    Instance& in = instance();
    int statement = in.stmts.find(line_.unsigned64(2, "req"));
    if (statement < 0)
      throw InvalidInput("a statement that is not known: " + std::string(line_.raw(2)));
    line_.text(3, "store");
    line_.integer(4, "seq_no");
    line_.integer(5, "delay_seen");
    in.engine().onClientClosed(
        statement);  // the answer has begun to flow to the client: nothing is left to decide
  } else if (name == "PEER") {
    line_.expect(3);
    line_.integer(2, "origin_peer");
    for (char c : line_.raw(3))
      if (!std::isxdigit(static_cast<unsigned char>(c)) && c != '-')
        throw InvalidInput("bad value for data");
    instance();
  } else {
    throw InvalidInput("unknown message '" + std::string(name.substr(0, 40)) + "'");
  }
}

void Adapter::listLine() {
  if (line_.name() != "M") throw InvalidInput("an entry of the list is missing");
  line_.expect(8);
  ListEntry e;
  e.store = line_.text(1, "store");
  e.primary = line_.maybeNumber(2, "primary").value_or(0) > 0.5;
  e.zone = line_.raw(3);
  e.group = line_.integer(5, "db", INT32_MIN, INT32_MAX);
  e.listed = meaning(kStates, line_.text(6, "status"), "status");
  e.weight = line_.maybeNumber(7, "heft").value_or(1);
  e.started = line_.maybeInteger(8, "last_start").value_or(0);
  sheets_[static_cast<std::size_t>(sheetOpen_)].push_back(std::move(e));
  --sheetMissing_;
}

void Adapter::registry() {
  line_.expect(4);
  Instance& in = instance();
  std::string how = line_.text(2, "how");
  line_.integer(3, "version");
  if (how == "broken") return in.engine().onDiscoveryFailed(now_);
  if (how != "patch" && how != "whole" && how != "stale_copy")
    throw InvalidInput("unknown list kind '" + how + "'");
  std::size_t bank = static_cast<std::size_t>(line_.integer(4, "bank", 0, kSheets - 1));
  if (!sheetKnown_[bank]) throw InvalidInput("list " + std::to_string(bank) + " was never set up");
  in.engine().beginSnapshot(how != "patch");
  for (const ListEntry& e : sheets_[bank]) {
    EndpointInfo entry;
    entry.store = in.stores.add(e.store);
    entry.group = in.groups.add(e.group);
    entry.zone = indexOf(in.names.zones, e.zone);
    entry.listed = e.listed;
    entry.primary = e.primary;
    entry.weight = e.weight;
    if (e.started > 0) entry.started = TimePoint{e.started};
    in.engine().addEndpoint(entry, now_);
  }
  in.engine().endSnapshot(how != "stale_copy");
}

void Adapter::jobIn() {
  line_.expect(10);
  Instance& in = instance();
  std::uint64_t id = line_.unsigned64(2, "req");
  if (id >= (1ULL << 52))
    throw InvalidInput("bad value for req: '" + std::string(line_.raw(2)) + "'");
  if (in.stmts.find(id) >= 0)
    throw InvalidInput("a statement came in twice: " + std::to_string(id));
  Arrival a;
  line_.maybeNumber(3, "expected");
  if (auto ms = line_.maybeNumber(4, "last_write_ms"); ms && *ms > 0)
    a.sinceWrite = Duration{static_cast<std::int64_t>(*ms * 1000)};
  a.workload = indexOf(in.names.workloads, line_.raw(5));
  if (a.workload < 0) throw InvalidInput("unknown lane '" + std::string(line_.raw(5)) + "'");
  a.repeated = line_.maybeInteger(6, "bitmap").value_or(0) & 2;
  a.giveUpAt = TimePoint{line_.integer(7, "give_up_at")};
  a.session = line_.hex(8, "session");
  a.tenant = indexOf(in.names.tenants, line_.raw(9));
  a.group = in.groups.add(line_.integer(10, "group_no", INT32_MIN, INT32_MAX));
  int statement = in.stmts.add(id);
  in.open(statement);
  in.engine().onStatementArrived(statement, a, now_);
}

void Adapter::outcome() {
  line_.expect(9);
  Instance& in = instance();
  std::uint64_t id = line_.unsigned64(2, "req");
  int statement = in.stmts.find(id);
  if (statement < 0)
    throw InvalidInput("an outcome of a statement that is not known: " + std::to_string(id));
  AttemptResult r;
  r.attempt = static_cast<int>(line_.integer(3, "seq_no", 0, INT32_MAX));
  if (r.attempt >= in.account(statement).sent)
    throw InvalidInput("an outcome of an execution that was never sent");
  line_.text(4, "store");
  std::int64_t mark = line_.maybeInteger(5, "mark").value_or(0);
  r.elapsed = Duration{line_.integer(6, "delay_seen")};
  r.closed = line_.boolean(7, "complete");
  r.outcome = endingOf(line_.integer(8, "ending"));
  if (mark % 4 == 1) r.role = Role::primary;
  if (mark % 4 == 2) r.role = Role::replica;
  if (mark / 4 > 0) r.position = in.origin + Duration{mark / 4 * 1000};
  for (auto [field, value] : line_.report(9, "pressure"))
    if (field == "x0")
      r.report.position = in.origin + Duration{static_cast<std::int64_t>(value * 1e6)};
  Instance::RequestCounters& account = in.account(statement);
  --account.out;
  in.engine().onAttemptEnded(statement, r, now_);
  if (r.closed) account.closed = true;
  in.offerRelease(statement);
}

void Adapter::finish(std::string& reply) {
  reply.clear();
  for (int number : touched_) {
    auto it = instances_.find(number);
    if (it == instances_.end()) continue;
    try {
      it->second->decide(now_, reply);
    } catch (const std::exception& e) {
      it->second->faulted(reply, e.what());
    }
  }
  touched_.clear();
  reply.append("READY\n");
  inBatch_ = false;
}

}  // namespace reedchute::simulator
