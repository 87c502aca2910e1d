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

constexpr int kListCount = 16;
constexpr std::int64_t kMaxListEntries = 10'000'000;
constexpr std::uint64_t kStatementIdLimit = 1ULL << 52;
constexpr std::int64_t kRetryBit = 2;  // in the field `bitmap` of JOB_IN

TimePoint positionAt(const Instance& instance, double seconds) {
  return instance.timeAt(Duration{static_cast<std::int64_t>(seconds * 1e6)});
}

}  // namespace

Adapter::Adapter() : lists_(kListCount) {}
Adapter::~Adapter() = default;

bool Adapter::onLine(std::string_view text, std::string& reply) {
  line_.parse(text);
  if (!inBatch_) {
    beginBatch();
    return false;
  }
  if (remainingEntries_ > 0) {
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
  if (clock < lastClock_) throw InvalidInput("clock must not be lower than in the previous batch");
  lastClock_ = clock;
  now_ = TimePoint{clock};
  inBatch_ = true;
}

void Adapter::endBatch(std::string& reply) {
  reply.clear();
  for (int number : activeInstances_) {
    auto it = instances_.find(number);
    if (it == instances_.end()) continue;
    try {
      it->second->decide(now_, reply);
    } catch (const std::exception& error) {
      it->second->writeFault(reply, error.what());
    }
  }
  activeInstances_.clear();
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

// Returns the instance that the current line addresses, and schedules a decision pass for it at the
// end of the batch.
Instance& Adapter::selectInstance() {
  int number = instanceNumber();
  auto it = instances_.find(number);
  if (it == instances_.end())
    throw InvalidInput("instance " + std::to_string(number) + " was never started");
  if (std::find(activeInstances_.begin(), activeInstances_.end(), number) == activeInstances_.end())
    activeInstances_.push_back(number);
  return *it->second;
}

void Adapter::onInstanceStarted() {
  if (line_.fieldCount() < 3) line_.expectFields(3);
  int number = instanceNumber();
  if (instances_.contains(number))
    throw InvalidInput("instance " + std::to_string(number) + " is already running");
  PlatformSettings settings;
  for (std::size_t k = 3; k <= line_.fieldCount(); ++k) settings.add(line_.raw(k));
  try {
    std::uint64_t seed = line_.unsigned64(2, "nonce64");
    instances_[number] = std::make_unique<Instance>(number, settings, seed, now_);
  } catch (const std::invalid_argument& error) {
    throw InvalidInput(error.what());
  }
  selectInstance();
}

void Adapter::onInstanceStopped() {
  line_.expectFields(1);
  selectInstance();
  int number = instanceNumber();
  instances_.erase(number);
  std::erase(activeInstances_, number);
}

void Adapter::onWake() {
  line_.expectFields(2);
  line_.integer(2, "mark");
  selectInstance().engine().onWake();
}

// Messages from peers are validated and then ignored.
void Adapter::onPeerMessage() {
  line_.expectFields(3);
  line_.integer(2, "origin_peer");
  for (char c : line_.raw(3))
    if (!std::isxdigit(static_cast<unsigned char>(c)) && c != '-')
      throw InvalidInput("bad value for data");
  selectInstance();
}

// ---- statements ----

void Adapter::onStatementArrived() {
  line_.expectFields(10);
  Instance& target = selectInstance();
  std::uint64_t id = line_.unsigned64(2, "req");
  if (id >= kStatementIdLimit) badValue("req", line_.raw(2));
  if (target.statements.find(id) >= 0)
    throw InvalidInput("duplicate statement: " + std::to_string(id));
  Arrival arrival;
  line_.optionalNumber(3, "expected");
  std::optional<double> lastWriteMs = line_.optionalNumber(4, "last_write_ms");
  if (lastWriteMs && *lastWriteMs > 0)
    arrival.sinceWrite = Duration{static_cast<std::int64_t>(*lastWriteMs * 1000)};
  arrival.workload = indexOf(target.names.workloads, line_.raw(5));
  if (arrival.workload < 0) throw InvalidInput("unknown lane '" + std::string(line_.raw(5)) + "'");
  arrival.repeated = line_.optionalInteger(6, "bitmap").value_or(0) & kRetryBit;
  arrival.giveUpAt = TimePoint{line_.integer(7, "give_up_at")};
  arrival.session = line_.hex(8, "session");
  arrival.tenant = indexOf(target.names.tenants, line_.raw(9));
  arrival.group = target.groups.add(line_.integer(10, "group_no", INT32_MIN, INT32_MAX));
  int statement = target.open(id);
  target.engine().onStatementArrived(statement, arrival, now_);
}

void Adapter::onAttemptEnded() {
  line_.expectFields(9);
  Instance& target = selectInstance();
  std::uint64_t id = line_.unsigned64(2, "req");
  int statement = target.statements.find(id);
  if (statement < 0)
    throw InvalidInput("an outcome of a statement that is not known: " + std::to_string(id));
  AttemptResult result;
  result.attempt = static_cast<int>(line_.integer(3, "seq_no", 0, INT32_MAX));
  if (result.attempt >= target.sentAttempts(statement))
    throw InvalidInput("an outcome of an attempt that was never sent");
  line_.text(4, "store");
  StoreMark mark = storeMarkFrom(line_.optionalInteger(5, "mark").value_or(0));
  result.elapsed = Duration{line_.integer(6, "delay_seen")};
  result.closed = line_.boolean(7, "complete");
  result.outcome = outcomeFrom(line_.integer(8, "ending"));
  result.role = mark.role;
  if (mark.position) result.position = target.timeAt(*mark.position);
  result.report.position = replicaReport(target, 9).position;
  target.onAttemptEnded(statement, result, now_);
}

// Once the response is being streamed to the client, the engine has no decisions left to make for
// the statement.
void Adapter::onResponseBegan() {
  line_.expectFields(5);
  Instance& target = selectInstance();
  int statement = target.statements.find(line_.unsigned64(2, "req"));
  if (statement < 0) throw InvalidInput("unknown statement: " + std::string(line_.raw(2)));
  line_.text(3, "store");
  line_.integer(4, "seq_no");
  line_.integer(5, "delay_seen");
  target.engine().onClientClosed(statement);
}

void Adapter::onClientClosed() {
  line_.expectFields(2);
  Instance& target = selectInstance();
  int statement = target.statements.find(line_.unsigned64(2, "req"));
  bool hasEnded = statement < 0 || target.isClosed(statement);
  if (hasEnded) return;
  target.engine().onClientClosed(statement);
  target.close(statement);
}

// ---- stores ----

void Adapter::onProbeEnded() {
  line_.expectFields(5);
  Instance& target = selectInstance();
  std::string id = line_.text(3, "store");
  int store = target.stores.find(id);
  if (store < 0) throw InvalidInput("store '" + id + "' is in none of the endpoint lists");
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
  currentList_ = static_cast<std::size_t>(line_.integer(1, "bank", 0, kListCount - 1));
  remainingEntries_ = static_cast<std::size_t>(line_.integer(2, "hosts", 0, kMaxListEntries));
  lists_[currentList_] = {.entries = {}, .isKnown = true};
}

void Adapter::onListEntry() {
  if (line_.name() != "M") throw InvalidInput("expected an entry of the endpoint list (M)");
  line_.expectFields(8);
  ListEntry entry;
  entry.store = line_.text(1, "store");
  entry.primary = line_.optionalNumber(2, "primary").value_or(0) > 0.5;
  entry.zone = line_.raw(3);
  entry.group = line_.integer(5, "db", INT32_MIN, INT32_MAX);
  entry.listed = endpointStatusFrom(line_.text(6, "status"));
  entry.weight = line_.optionalNumber(7, "heft").value_or(1);
  entry.started = line_.optionalInteger(8, "last_start").value_or(0);
  lists_[currentList_].entries.push_back(std::move(entry));
  --remainingEntries_;
}

void Adapter::onListDelivered() {
  line_.expectFields(4);
  Instance& target = selectInstance();
  std::string kindWord = line_.text(2, "how");
  line_.integer(3, "version");
  ListKind kind = listKindFrom(kindWord);
  if (kind == ListKind::failed) return target.engine().onDiscoveryFailed(now_);
  std::size_t number = static_cast<std::size_t>(line_.integer(4, "bank", 0, kListCount - 1));
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
