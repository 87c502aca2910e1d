#include "simulator/adapter.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <utility>

#include "config/engine_settings.h"
#include "simulator/instance.h"
#include "simulator/wire_words.h"

namespace reedchute::simulator {
namespace {

constexpr int kLists = 16;
constexpr std::int64_t kMostListEntries = 10'000'000;
constexpr std::uint64_t kStatementIdLimit = 1ULL << 52;
constexpr std::int64_t kRepeatedBit = 2;

TimePoint positionAt(const Instance& instance, double seconds) {
  return instance.timeAt(Duration{static_cast<std::int64_t>(seconds * 1e6)});
}

}  // namespace

Adapter::Adapter() : lists_(kLists) {}
Adapter::~Adapter() = default;

bool Adapter::onLine(std::string_view text, std::string& reply) {
  line_.parse(text);
  if (!inBatch_) {
    beginBatch();
    return false;
  }
  if (missingEntries_ > 0) {
    onListEntry();
    return false;
  }
  if (line_.name() == "GO") {
    line_.expectFields(0);
    endBatch(reply);
    return true;
  }
  onMessage();
  return false;
}

void Adapter::beginBatch() {
  if (line_.name() != "TURN") throw InvalidInput("a line outside a batch");
  line_.expectFields(1);
  std::int64_t clock = line_.integer(1, "clock");
  if (clock < lastClock_) throw InvalidInput("the clock went back");
  lastClock_ = clock;
  now_ = TimePoint{clock};
  inBatch_ = true;
}

void Adapter::endBatch(std::string& reply) {
  reply.clear();
  for (int number : touched_) {
    auto it = instances_.find(number);
    if (it == instances_.end()) continue;
    try {
      it->second->decide(now_, reply);
    } catch (const std::exception& error) {
      it->second->writeFault(reply, error.what());
    }
  }
  touched_.clear();
  reply.append("READY\n");
  inBatch_ = false;
}

const std::vector<Adapter::Handler>& Adapter::handlers() {
  static const std::vector<Handler> kHandlers = {
      {"JOB_IN", &Adapter::onStatementArrived}, {"RESOLVED", &Adapter::onAttemptEnded},
      {"REGISTRY", &Adapter::onListDelivered},  {"WAKEUP", &Adapter::onWake},
      {"PONG", &Adapter::onProbeEnded},         {"GONE", &Adapter::onClientClosed},
      {"SHEET", &Adapter::onListStored},        {"SPAWN", &Adapter::onInstanceStarted},
      {"KILL", &Adapter::onInstanceStopped},    {"HEADERS", &Adapter::onResponseBegan},
      {"PEER", &Adapter::onPeerMessage},
  };
  return kHandlers;
}

void Adapter::onMessage() {
  for (const Handler& handler : handlers())
    if (handler.message == line_.name()) return (this->*handler.handle)();
  throw InvalidInput("unknown message '" + std::string(line_.name().substr(0, 40)) + "'");
}

// ---- instances ----

int Adapter::instanceNumber() const {
  return static_cast<int>(line_.integer(1, "i", 0, INT32_MAX));
}

// The instance that the line is for; it gets to decide at the end of the batch.
Instance& Adapter::instance() {
  int number = instanceNumber();
  auto it = instances_.find(number);
  if (it == instances_.end())
    throw InvalidInput("instance " + std::to_string(number) + " was never started");
  if (std::find(touched_.begin(), touched_.end(), number) == touched_.end())
    touched_.push_back(number);
  return *it->second;
}

void Adapter::onInstanceStarted() {
  if (line_.fieldCount() < 3) line_.expectFields(3);
  int number = instanceNumber();
  if (instances_.contains(number))
    throw InvalidInput("instance " + std::to_string(number) + " runs already");
  PlatformSettings settings;
  for (std::size_t k = 3; k <= line_.fieldCount(); ++k) settings.add(line_.raw(k));
  try {
    std::uint64_t seed = line_.unsigned64(2, "nonce64");
    instances_[number] = std::make_unique<Instance>(number, settings, seed, now_);
  } catch (const std::invalid_argument& error) {
    throw InvalidInput(error.what());
  }
  instance();
}

void Adapter::onInstanceStopped() {
  line_.expectFields(1);
  instance();
  int number = instanceNumber();
  instances_.erase(number);
  std::erase(touched_, number);
}

void Adapter::onWake() {
  line_.expectFields(2);
  line_.integer(2, "mark");
  instance().engine().onWake();
}

// Peers' messages are checked and not used.
void Adapter::onPeerMessage() {
  line_.expectFields(3);
  line_.integer(2, "origin_peer");
  for (char c : line_.raw(3))
    if (!std::isxdigit(static_cast<unsigned char>(c)) && c != '-')
      throw InvalidInput("bad value for data");
  instance();
}

// ---- statements ----

void Adapter::onStatementArrived() {
  line_.expectFields(10);
  Instance& target = instance();
  std::uint64_t id = line_.unsigned64(2, "req");
  if (id >= kStatementIdLimit) badValue("req", line_.raw(2));
  if (target.statements.find(id) >= 0)
    throw InvalidInput("a statement came in twice: " + std::to_string(id));
  Arrival arrival;
  line_.maybeNumber(3, "expected");
  std::optional<double> lastWriteMs = line_.maybeNumber(4, "last_write_ms");
  if (lastWriteMs && *lastWriteMs > 0)
    arrival.sinceWrite = Duration{static_cast<std::int64_t>(*lastWriteMs * 1000)};
  arrival.workload = indexOf(target.names.workloads, line_.raw(5));
  if (arrival.workload < 0) throw InvalidInput("unknown lane '" + std::string(line_.raw(5)) + "'");
  arrival.repeated = line_.maybeInteger(6, "bitmap").value_or(0) & kRepeatedBit;
  arrival.giveUpAt = TimePoint{line_.integer(7, "give_up_at")};
  arrival.session = line_.hex(8, "session");
  arrival.tenant = indexOf(target.names.tenants, line_.raw(9));
  arrival.group = target.groups.add(line_.integer(10, "group_no", INT32_MIN, INT32_MAX));
  int statement = target.open(id);
  target.engine().onStatementArrived(statement, arrival, now_);
}

void Adapter::onAttemptEnded() {
  line_.expectFields(9);
  Instance& target = instance();
  std::uint64_t id = line_.unsigned64(2, "req");
  int statement = target.statements.find(id);
  if (statement < 0)
    throw InvalidInput("an outcome of a statement that is not known: " + std::to_string(id));
  AttemptResult result;
  result.attempt = static_cast<int>(line_.integer(3, "seq_no", 0, INT32_MAX));
  if (result.attempt >= target.sentAttempts(statement))
    throw InvalidInput("an outcome of an execution that was never sent");
  line_.text(4, "store");
  StoreMark mark = storeMarkFrom(line_.maybeInteger(5, "mark").value_or(0));
  result.elapsed = Duration{line_.integer(6, "delay_seen")};
  result.closed = line_.boolean(7, "complete");
  result.outcome = outcomeFrom(line_.integer(8, "ending"));
  result.role = mark.role;
  if (mark.position) result.position = target.timeAt(*mark.position);
  result.report.position = replicaReport(target, 9).position;
  target.onAttemptEnded(statement, result, now_);
}

// The response has begun to flow to the client, so nothing is left to decide.
void Adapter::onResponseBegan() {
  line_.expectFields(5);
  Instance& target = instance();
  int statement = target.statements.find(line_.unsigned64(2, "req"));
  if (statement < 0)
    throw InvalidInput("a statement that is not known: " + std::string(line_.raw(2)));
  line_.text(3, "store");
  line_.integer(4, "seq_no");
  line_.integer(5, "delay_seen");
  target.engine().onClientClosed(statement);
}

void Adapter::onClientClosed() {
  line_.expectFields(2);
  Instance& target = instance();
  int statement = target.statements.find(line_.unsigned64(2, "req"));
  bool hasEnded = statement < 0 || target.isClosed(statement);
  if (hasEnded) return;
  target.engine().onClientClosed(statement);
  target.close(statement);
}

// ---- stores ----

void Adapter::onProbeEnded() {
  line_.expectFields(5);
  Instance& target = instance();
  std::string id = line_.text(3, "store");
  int store = target.stores.find(id);
  if (store < 0) throw InvalidInput("a store that no list has named: '" + id + "'");
  AttemptOutcome outcome = outcomeFrom(line_.integer(2, "ending"));
  line_.integer(4, "delay_seen");
  ReplicaReport report = replicaReport(target, 5);
  target.engine().onProbeEnded(store, outcome == AttemptOutcome::ok, report, now_);
}

ReplicaReport Adapter::replicaReport(const Instance& target, std::size_t field) const {
  ReplicaReport report;
  for (const auto& [name, value] : line_.namedNumbers(field, "pressure")) {
    if (name == kPositionField) report.position = positionAt(target, value);
    if (name == kPrimaryField) report.primary = value > 0.5;
  }
  return report;
}

void Adapter::onListStored() {
  line_.expectFields(2);
  openList_ = static_cast<std::size_t>(line_.integer(1, "bank", 0, kLists - 1));
  missingEntries_ = static_cast<std::size_t>(line_.integer(2, "hosts", 0, kMostListEntries));
  lists_[openList_] = {.entries = {}, .isKnown = true};
}

void Adapter::onListEntry() {
  if (line_.name() != "M") throw InvalidInput("an entry of the list is missing");
  line_.expectFields(8);
  ListEntry entry;
  entry.store = line_.text(1, "store");
  entry.primary = line_.maybeNumber(2, "primary").value_or(0) > 0.5;
  entry.zone = line_.raw(3);
  entry.group = line_.integer(5, "db", INT32_MIN, INT32_MAX);
  entry.listed = endpointStatusFrom(line_.text(6, "status"));
  entry.weight = line_.maybeNumber(7, "heft").value_or(1);
  entry.started = line_.maybeInteger(8, "last_start").value_or(0);
  lists_[openList_].entries.push_back(std::move(entry));
  --missingEntries_;
}

void Adapter::onListDelivered() {
  line_.expectFields(4);
  Instance& target = instance();
  std::string kindWord = line_.text(2, "how");
  line_.integer(3, "version");
  ListKind kind = listKindFrom(kindWord);
  if (kind == ListKind::failed) return target.engine().onDiscoveryFailed(now_);
  std::size_t number = static_cast<std::size_t>(line_.integer(4, "bank", 0, kLists - 1));
  const StoredList& list = lists_[number];
  if (!list.isKnown) throw InvalidInput("list " + std::to_string(number) + " was never set up");
  target.engine().beginSnapshot(kind != ListKind::partial);
  for (const ListEntry& entry : list.entries) {
    EndpointInfo info;
    info.store = target.stores.add(entry.store);
    info.group = target.groups.add(entry.group);
    info.zone = indexOf(target.names.zones, entry.zone);
    info.listed = entry.listed;
    info.primary = entry.primary;
    info.weight = entry.weight;
    if (entry.started > 0) info.started = TimePoint{entry.started};
    target.engine().addEndpoint(info, now_);
  }
  target.engine().endSnapshot(kind != ListKind::cachedFull);
}

}  // namespace reedchute::simulator
