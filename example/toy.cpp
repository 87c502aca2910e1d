#include "toy.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

#include "codec/pg/messages.h"
#include "codec/pg/statement.h"

namespace reedchute::toy {
namespace {

constexpr std::size_t kMaxBufferBytes = 256 * 1024;

sockaddr_in at(const std::string& host, std::uint16_t port) {
  return *runtime::parseAddress(host + ":" + std::to_string(port), true);
}

sockaddr_in loopback(std::uint16_t port) {
  return at("127.0.0.1", port);
}

// Binds `port` without listening, so that it refuses connections and no other process can use it.
int reservePort(std::uint16_t port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), on = 1;
  sockaddr_in a = loopback(port);
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
  return fd;
}

std::string row(const std::string& value) {
  std::string described("\0\1payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1", 28);
  std::string data("\0\1", 2);
  for (int shift = 24; shift >= 0; shift -= 8)
    data.push_back(static_cast<char>(value.size() >> shift & 0xff));
  return pg::message('T', described) + pg::message('D', data + value);
}

// The word of `key` for execution `n`, counted from 0. Words are separated by dashes; the last one
// applies to all further executions.
std::string behaviorFor(std::string_view key, int n) {
  for (;;) {
    std::size_t dash = key.find('-');
    if (n == 0 || dash == std::string_view::npos) return std::string(key.substr(0, dash));
    key.remove_prefix(dash + 1);
    --n;
  }
}

// Adds line breaks and blanks around all delimiters of a JSON text.
std::string addWhitespace(const std::string& json) {
  std::string out;
  bool text = false;
  for (char c : json) {
    text ^= c == '"';
    bool isDelimiter = !text && std::string_view("{}[],:").find(c) != std::string_view::npos;
    out += isDelimiter ? std::string("\n\t\t\t\t        ") + c + " \r\n" : std::string(1, c);
  }
  return out;
}

}  // namespace

Toy::~Toy() = default;

int Toy::addStore(bool primary, int group, std::uint16_t port) {
  auto store = std::make_unique<Store>();
  store->listener = std::make_unique<runtime::Descriptor>(scheduler_,
                                                          runtime::openListener(at(host_, port)));
  store->port = static_cast<std::uint16_t>(runtime::localPort(store->listener->fd()));
  store->primary = primary;
  store->group = group;
  stores_.push_back(std::move(store));
  int number = static_cast<int>(stores_.size()) - 1;
  startAccepting(number);
  return number;
}

int Toy::addAlias(int target) {
  int number = static_cast<int>(stores_.size());
  auto store = std::make_unique<Store>();
  const Store& same = *stores_[static_cast<std::size_t>(target)];
  store->port = same.port, store->group = same.group;
  store->host = "127.100." + std::to_string(number / 200) + "." + std::to_string(1 + number % 200);
  store->id = "toy-" + std::to_string(number) + "-";
  store->id.append(60 - store->id.size(), 'x');
  stores_.push_back(std::move(store));
  return number;
}

int Toy::executions(int store) const {
  return stores_[static_cast<std::size_t>(store)]->executions;
}

std::string Toy::entryJson(int number) const {
  const Store& s = *stores_[static_cast<std::size_t>(number)];
  return "{\"id\":\"" + idOf(number) + "\",\"addr\":\"" + s.host + ":" + std::to_string(s.port) +
         "\"," +
         (s.cqlPort ? "\"addrs\":{\"cassandra\":\"127.0.0.1:" + std::to_string(s.cqlPort) + "\"},"
                    : "") +
         (s.id.empty() ? ""
                       : "\"addrs\":{\"another-protocol\":\"" + s.host + ":" +
                             std::to_string(s.port) + "\"},") +
         "\"zone\":\"a\",\"kind\":\"toy" + (s.id.empty() ? "" : s.id) +
         "\",\"cell\":" + std::to_string(s.group) + ",\"state\":\"" + s.state +
         "\",\"weight\":1.0,\"started_ms\":" + std::to_string(s.startedMs) + ",\"access\":\"" +
         (s.primary ? "writer" : "reader") + "\"}";
}

std::string Toy::listResponse(bool full, const std::string& entries) const {
  return "{\"version\":" + std::to_string(version_) + ",\"full\":" + (full ? "true" : "false") +
         ",\"servers\":[" + entries + "]}";
}

std::string Toy::endpointListJson() const {
  std::string entries;
  for (int k = 0; k < static_cast<int>(stores_.size()); ++k)
    if (stores_[static_cast<std::size_t>(k)]->state != "removed")
      entries += (entries.empty() ? "" : ",") + entryJson(k);
  return listResponse(true, entries);
}

void Toy::notifyChange(int store) {
  changes_.emplace_back(++version_, store);
  for (runtime::Event* watcher : watchers_) watcher->set();
}

void Toy::setState(int store, const std::string& state) {
  stores_[static_cast<std::size_t>(store)]->state = state;
  notifyChange(store);
}

void Toy::kill(int number) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  s.listener->close();
  // Reserve the port: otherwise another process might bind it, and restart() would fail.
  s.reservedPort = std::make_unique<runtime::Descriptor>(scheduler_, reservePort(s.port));
  if (s.cqlListener) {
    s.cqlListener->close();
    s.reservedCqlPort = std::make_unique<runtime::Descriptor>(scheduler_, reservePort(s.cqlPort));
  }
  for (runtime::Socket* c : s.connections) c->close();
}

void Toy::restart(int number) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  s.startedMs = wallNow().us / 1000;
  s.listener = std::make_unique<runtime::Descriptor>(scheduler_,
                                                     runtime::openListener(loopback(s.port)));
  startAccepting(number);
  s.prepared.clear();
  if (s.cqlPort) enableCql(number, s.cqlPort);
  s.reservedPort.reset(), s.reservedCqlPort.reset();
  notifyChange(number);
}

void Toy::hold(int number, bool held) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  s.held = held, s.holdsGreeting = false;
  for (runtime::Socket* c : s.connections) c->readable.set();
}

void Toy::closeIdle(int number, std::string_view last) {
  for (runtime::Socket* c : stores_[static_cast<std::size_t>(number)]->idle)
    c->write(last), c->close();
}

void Toy::closeBusy(int number) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  for (runtime::Socket* c : s.connections)
    if (std::find(s.idle.begin(), s.idle.end(), c) == s.idle.end()) c->close();
}

// ---- stores ----

runtime::Task<> Toy::accept(runtime::Descriptor& listener, Server server) {
  while (listener.isOpen()) {
    runtime::Accepted one = runtime::acceptConnection(listener.fd());
    if (one.status == runtime::AcceptStatus::accepted)
      scheduler_.spawn(server(std::make_unique<runtime::Socket>(scheduler_, one.fd)));
    else
      co_await listener.readable.wait();
  }
}

void Toy::startAccepting(int number) {
  scheduler_.spawn(
      accept(*stores_[static_cast<std::size_t>(number)]->listener,
             [this, number](auto socket) { return serveStore(number, std::move(socket)); }));
}

runtime::Task<> Toy::serveStore(int number, std::unique_ptr<runtime::Socket> owned) {
  runtime::Socket& s = *owned;
  Store& store = *stores_[static_cast<std::size_t>(number)];
  store.connections.push_back(&s);
  std::string in;
  bool isGreeted = false;
  for (;;) {
    std::int32_t code = 0;
    std::size_t size = 0;
    pg::Message m;
    std::string out;
    store.holdsGreeting |= !isGreeted && store.held &&
                           pg::frameStartup(in, kMaxBufferBytes, code, size) == pg::Framed::whole;
    if (!isGreeted && !store.held &&
        pg::frameStartup(in, kMaxBufferBytes, code, size) == pg::Framed::whole) {
      in.erase(0, size);
      isGreeted = true;
      out = pg::greeting();
    } else if (isGreeted && pg::frame(in, kMaxBufferBytes, m) == pg::Framed::whole) {
      if (m.type != 'Q') break;
      std::string_view rest = m.payload;
      std::string text(pg::takeString(rest).value_or(""));
      in.erase(0, m.whole.size());
      if (text == "SHOW usage") {
        // The position of a primary is the present time, and so is that of a replica without lag.
        double position = (positionOf(store) - WallTime{}).seconds();
        out = row("x0=" + std::to_string(position) + ",x1=" + (store.primary ? "1" : "0") +
                  ",inflight=0") +
              pg::message('C', std::string("SHOW\0", 5)) + pg::ready();
      } else if (text.empty()) {
        out = pg::emptyQuery() + pg::ready();
      } else {
        bool open = co_await executeStatement(number, s, std::move(text));
        if (!open) break;
        continue;
      }
    } else {
      store.idle.push_back(&s);
      runtime::Socket::ReadStatus got = s.read(in, kMaxBufferBytes);
      if (got == runtime::Socket::ReadStatus::noData) {
        co_await s.readable.wait();
        got = s.read(in, kMaxBufferBytes);
      }
      std::erase(store.idle, &s);
      if (got == runtime::Socket::ReadStatus::closed) break;
      continue;
    }
    bool sent = co_await runtime::writeAll(s, out, kForever);
    if (!sent) break;
  }
  std::erase(store.connections, &s);
  removeSilentExecutions(s);
}

void Toy::setPosition(int store, WallTime position, double rate) {
  stores_[static_cast<std::size_t>(store)]->progress = Progress{position, wallNow(), rate};
}

WallTime Toy::positionOf(const Store& s) const {
  if (s.primary || !s.progress) return wallNow() - s.lag;
  Duration passed = wallNow() - s.progress->since;
  return std::min(wallNow(), s.progress->position + passed * s.progress->rate);
}

void Toy::promote(int number) {
  for (auto& s : stores_) {
    if (s->primary) s->progress.reset();  // it has all commits, and goes on as a replica
    s->primary = false;
  }
  stores_[static_cast<std::size_t>(number)]->primary = true;
  for (int k = 0; k < static_cast<int>(stores_.size()); ++k) notifyChange(k);
}

// The end of a connection may have arrived without having been handled yet, so the kernel is asked.
void Toy::countOverlaps(const std::string& id) {
  auto silent = silentExecutions_.find(id);
  if (silent == silentExecutions_.end()) return;
  for (const runtime::Socket* connection : silent->second) {
    pollfd descriptor{connection->fd(), POLLRDHUP, 0};
    if (poll(&descriptor, 1, 0) == 0) ++overlappingExecutions_;
  }
}

void Toy::addSilentExecution(const std::string& id, const runtime::Socket& connection) {
  silentExecutions_[id].push_back(&connection);
}

void Toy::removeSilentExecutions(const runtime::Socket& connection) {
  for (auto& [id, connections] : silentExecutions_) std::erase(connections, &connection);
}

Toy::Execution Toy::beginExecution(int number, const std::string& id, std::string_view key,
                                   bool write, const std::string& idempotencyKey,
                                   const std::string& text) {
  constexpr Duration kDeduplicationWindow{3'000'000};
  Store& store = *stores_[static_cast<std::size_t>(number)];
  Execution execution;
  execution.key = key;
  execution.behavior = store.isUnresponsive ? "silent" : behaviorFor(key, executionCounts_[id]++);
  execution.write = write;
  execution.isMisdirectedWrite = write && !store.primary;
  std::size_t digits = execution.behavior.find_first_of("0123456789");
  bool hasArgument = execution.behavior.starts_with("slow") ||
                     execution.behavior.starts_with("big") ||
                     execution.behavior.starts_with("stall");
  if (digits != std::string::npos && hasArgument) {
    std::from_chars(execution.behavior.data() + digits,
                    execution.behavior.data() + execution.behavior.size(), execution.argument);
    execution.behavior.resize(digits);
  }
  ++store.executions;
  countOverlaps(id);
  onStatement(number, text);
  // Rejected statements have no effect, and neither have writes whose idempotency key was used
  // within the deduplication window.
  static const std::set<std::string> kWithoutEffect = {"miss", "stale", "full", "error",
                                                       "away", "liar",  "wrong"};
  if (!write || execution.isMisdirectedWrite || kWithoutEffect.contains(execution.behavior))
    return execution;
  if (!idempotencyKey.empty()) {
    auto [entry, isNew] = effectTimes_.try_emplace(idempotencyKey, scheduler_.now());
    if (!isNew && scheduler_.now() - entry->second < kDeduplicationWindow) return execution;
    entry->second = scheduler_.now();
  }
  ++effects_[idempotencyKey.empty() ? id : idempotencyKey];
  return execution;
}

// The word of the key for this execution selects the answer:
//   miss, stale   the store lags too far behind
//   full          rejected, the queue is full
//   error         an error
//   away          the store is not available
//   wrong         the statement is invalid
//   break         closes the connection after executing the statement
//   die           the whole store fails after executing the statement
//   silent        never answers
//   endless       sends parameters forever
//   half          a truncated row
//   garbage       malformed bytes
//   long          a message with an excessive length
//   twice         a second row
//   more          a row after the end of the answer
//   copy          the complete answer twice
//   noise         malformed bytes within a message
//   longer        a row with a length greater than its data
//   liar          rejected as not executed, followed by malformed bytes
//   unread        a row, and a malformed report
//   big<N>        a row of N bytes
//   slow<N>       the normal answer after N milliseconds
// Any other word is answered normally.
runtime::Task<bool> Toy::executeStatement(int number, runtime::Socket& s, std::string text) {
  Store& store = *stores_[static_cast<std::size_t>(number)];
  pg::Fields f;
  pg::readStatement(text, f);
  bool write = text.rfind("INSERT", 0) == 0;
  Execution execution = beginExecution(number, std::string(f.id), f.sessionKey, write,
                                       std::string(f.idempotencyKey), text);
  std::string behavior = execution.behavior;
  std::string role = pg::parameter("server_role", store.primary ? "writer" : "reader");
  std::string out;
  if (behavior == "slow") {
    co_await runtime::sleepUntil(scheduler_,
                                 scheduler_.now() + Duration{execution.argument * 1000});
    behavior = "ok";
  }
  if (behavior == "die") kill(number);
  if (execution.isMisdirectedWrite) {
    out = pg::error(false, "25006", "this is no primary") + role + pg::ready();
  } else if (behavior == "miss" || behavior == "stale") {
    out = pg::error(false, "72000", "too far behind") + role + pg::ready();
  } else if (behavior == "full") {
    out = pg::error(false, "53300", "the queue is full") + role + pg::ready();
  } else if (behavior == "error") {
    out = pg::error(false, "XX000", "it went wrong") + role + pg::ready();
  } else if (behavior == "away") {
    out = pg::error(false, "57P03", "not now") + role + pg::ready();
  } else if (behavior == "break" || behavior == "die") {
    co_return false;
  } else if (behavior == "silent") {
    addSilentExecution(std::string(f.id), s);
    while (s.isOpen()) {
      std::string rest;
      co_await s.readable.wait();
      if (s.read(rest, kMaxBufferBytes) == runtime::Socket::ReadStatus::closed) break;
    }
    co_return false;
  } else if (behavior == "endless") {
    for (std::string many = pg::parameter("usage", std::string(1000, 'x')); s.isOpen();) {
      bool taken = co_await runtime::writeAll(s, many, kForever);
      if (!taken) break;
    }
    co_return false;
  } else if (behavior == "half") {
    std::string whole = row(std::string(1000, 'x'));
    co_await runtime::writeAll(s, std::string_view(whole).substr(0, 300), kForever);
    co_return false;
  } else if (behavior == "garbage") {
    out = std::string("\x01\xff\xff\xff\xff garbage");
  } else if (behavior == "long") {
    out = std::string("T\x7f\0\0\0 long", 10);
  } else if (behavior == "more") {
    out = row("value of more") + pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready() +
          row("unasked");
  } else if (behavior == "copy") {
    out = row("value of copy") + pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready();
    out += out;
  } else if (behavior == "noise") {
    out = std::string("T\0\0\0\x1d\0\1payload\0", 15) + "$%&";
  } else if (behavior == "longer") {
    out = row(std::string(100, 'x'));
    out[out.size() - 103] = out[out.size() - 109] = 1;
  } else if (behavior == "liar") {
    out = pg::error(false, "53300", "the queue is full") + "\x01\x02";
  } else if (behavior == "wrong") {
    out = pg::error(false, "42601", "no such words") + role + pg::ready();
  } else if (behavior == "unread") {
    out = row("value of unread") + pg::message('C', std::string("SELECT 1\0", 9)) +
          pg::parameter("usage", "x0=nan,x1=,=,inflight=-inf,x0=9e99") +
          pg::parameter("commit_clock", "1e300") + pg::ready();
  } else if (behavior == "big") {
    out = row(std::string(static_cast<std::size_t>(execution.argument), 'b')) +
          pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready();
  } else if (behavior == "twice") {
    out = row("one") + row("two") + pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready();
  } else {
    out = row("value of " + std::string(f.sessionKey)) +
          pg::message('C', std::string("SELECT 1\0", 9)) + role;
    if (write) out += pg::parameter("commit_clock", std::to_string(wallNow().us / 1000));
    out += pg::ready();
  }
  bool sent = co_await runtime::writeAll(s, out, kForever);
  co_return sent;
}

// ---- endpoint list service ----

std::uint16_t Toy::serveList(std::uint16_t port) {
  listListener_ = std::make_unique<runtime::Descriptor>(scheduler_,
                                                        runtime::openListener(loopback(port)));
  scheduler_.spawn(accept(*listListener_,
                          [this](auto socket) { return serveListConnection(std::move(socket)); }));
  return static_cast<std::uint16_t>(runtime::localPort(listListener_->fd()));
}

void Toy::closeList() {
  listListener_->close();
  resetList();
}

void Toy::resetList() {
  linger resetOnClose{1, 0};
  for (runtime::Socket* s : listConnections_) {
    setsockopt(s->fd(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    s->close();
  }
  for (runtime::Event* watcher : watchers_) watcher->set();
}

runtime::Task<> Toy::serveListConnection(std::unique_ptr<runtime::Socket> owned) {
  listConnections_.push_back(owned.get());
  co_await answerListRequests(*owned);
  std::erase(listConnections_, owned.get());
}

runtime::Task<> Toy::answerListRequests(runtime::Socket& s) {
  std::string in;
  runtime::Event listChanged(scheduler_);
  for (;;) {
    std::size_t end = in.find("\r\n\r\n");
    if (end == std::string::npos) {
      runtime::Socket::ReadStatus got = s.read(in, kMaxBufferBytes);
      if (got == runtime::Socket::ReadStatus::closed) co_return;
      if (got == runtime::Socket::ReadStatus::noData) co_await s.readable.wait();
      continue;
    }
    std::string head = in.substr(0, end);
    in.erase(0, end + 4);
    auto queryParameter = [&](const char* name) {
      std::int64_t value = -1;
      std::size_t at = head.find(name);
      if (at != std::string::npos)
        std::from_chars(head.data() + at + 6, head.data() + head.size(), value);
      return value;
    };
    std::int64_t index = queryParameter("index="), wait = queryParameter("&wait=");
    std::string body;
    bool wasUnresponsive = isListUnresponsive_;
    if (index < 0) {
      body = endpointListJson();
    } else {
      if (version_ <= index && wait > 0) {
        watchers_.push_back(&listChanged);
        co_await listChanged.wait(scheduler_.now() + Duration{wait * 1000});
        std::erase(watchers_, &listChanged);
      }
      std::string entries;
      for (const auto& [version, store] : changes_)
        if (version > index) entries += (entries.empty() ? "" : ",") + entryJson(store);
      body = listResponse(false, entries);
    }
    if (listDelay_ > Duration{})
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + listDelay_);
    if (isListIndented_) body = addWhitespace(body);
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    bool isOverridden = !nextListResponse_.empty();
    if (isOverridden) out = std::exchange(nextListResponse_, {});
    // A response without Content-Length ends when its connection closes. Here, the connection is
    // reset instead.
    bool isReset = isOverridden && out.find("Content-Length") == std::string::npos &&
                   out.rfind("HTTP/1.0 200", 0) == 0;
    if (wasUnresponsive || isListUnresponsive_) {
      while (s.read(in, kMaxBufferBytes) != runtime::Socket::ReadStatus::closed)
        co_await s.readable.wait();
      co_return;
    }
    bool sent = co_await runtime::writeAll(s, out, kForever);
    if (isReset) {
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + Duration{20'000});
      linger resetOnClose{1, 0};
      setsockopt(s.fd(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    }
    if (!sent || isReset) co_return;
  }
}

}  // namespace reedchute::toy
