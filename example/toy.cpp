#include "toy.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>

#include "codec/pg/messages.h"
#include "codec/pg/statement.h"

namespace reedchute::toy {
namespace {

constexpr std::size_t kMost = 256 * 1024;

sockaddr_in at(const std::string& host, std::uint16_t port) {
  return *runtime::parseAddress(host + ":" + std::to_string(port), true);
}

sockaddr_in loopback(std::uint16_t port) {
  return at("127.0.0.1", port);
}

// A port that refuses connections and is nobody else's meanwhile.
int keepPort(std::uint16_t port) {
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

// The word of `key` for its n-th execution: words are set apart by dashes, the last one holds on.
std::string wordFor(std::string_view key, int n) {
  for (;;) {
    std::size_t dash = key.find('-');
    if (n == 0 || dash == std::string_view::npos) return std::string(key.substr(0, dash));
    key.remove_prefix(dash + 1);
    --n;
  }
}

// JSON with a line for each of its parts.
std::string spread(const std::string& json) {
  std::string out;
  bool text = false;
  for (char c : json) {
    text ^= c == '"';
    bool joint = !text && std::string_view("{}[],:").find(c) != std::string_view::npos;
    out += joint ? std::string("\n\t\t\t\t        ") + c + " \r\n" : std::string(1, c);
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
  acceptStore(number);
  return number;
}

int Toy::addAlias(int of) {
  int number = static_cast<int>(stores_.size());
  auto store = std::make_unique<Store>();
  const Store& same = *stores_[static_cast<std::size_t>(of)];
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

std::string Toy::member(int number) const {
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

std::string Toy::listing(bool full, const std::string& entries) const {
  return "{\"version\":" + std::to_string(version_) + ",\"full\":" + (full ? "true" : "false") +
         ",\"servers\":[" + entries + "]}";
}

std::string Toy::roster() const {
  std::string entries;
  for (int k = 0; k < static_cast<int>(stores_.size()); ++k)
    if (stores_[static_cast<std::size_t>(k)]->state != "removed")
      entries += (entries.empty() ? "" : ",") + member(k);
  return listing(true, entries);
}

void Toy::changed(int store) {
  changes_.emplace_back(++version_, store);
  for (runtime::Event* watcher : watchers_) watcher->set();
}

void Toy::setState(int store, const std::string& state) {
  stores_[static_cast<std::size_t>(store)]->state = state;
  changed(store);
}

void Toy::kill(int number) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  s.listener->close();
  // Danger: the port of one that is dead may become another process's, and it could not come back.
  s.kept = std::make_unique<runtime::Descriptor>(scheduler_, keepPort(s.port));
  if (s.cqlListener) {
    s.cqlListener->close();
    s.cqlKept = std::make_unique<runtime::Descriptor>(scheduler_, keepPort(s.cqlPort));
  }
  for (runtime::Socket* c : s.connections) c->close();
}

void Toy::revive(int number) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  s.startedMs = wallNow().us / 1000;
  s.listener = std::make_unique<runtime::Descriptor>(scheduler_,
                                                     runtime::openListener(loopback(s.port)));
  acceptStore(number);
  s.prepared.clear();
  if (s.cqlPort) speakCql(number, s.cqlPort);
  s.kept.reset(), s.cqlKept.reset();
  changed(number);
}

void Toy::hold(int number, bool held) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  s.held = held, s.holdsBack = false;
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

void Toy::acceptStore(int number) {
  scheduler_.spawn(
      accept(*stores_[static_cast<std::size_t>(number)]->listener,
             [this, number](auto socket) { return serveStore(number, std::move(socket)); }));
}

runtime::Task<> Toy::serveStore(int number, std::unique_ptr<runtime::Socket> owned) {
  runtime::Socket& s = *owned;
  Store& store = *stores_[static_cast<std::size_t>(number)];
  store.connections.push_back(&s);
  std::string in;
  bool greeted = false;
  for (;;) {
    std::int32_t code = 0;
    std::size_t size = 0;
    pg::Message m;
    std::string out;
    store.holdsBack |= !greeted && store.held &&
                       pg::frameStartup(in, kMost, code, size) == pg::Framed::whole;
    if (!greeted && !store.held && pg::frameStartup(in, kMost, code, size) == pg::Framed::whole) {
      in.erase(0, size);
      greeted = true;
      out = pg::greeting();
    } else if (greeted && pg::frame(in, kMost, m) == pg::Framed::whole) {
      if (m.type != 'Q') break;
      std::string_view rest = m.payload;
      std::string text(pg::takeString(rest).value_or(""));
      in.erase(0, m.whole.size());
      if (text == "SHOW usage") {
        // A primary stands at the present; so does a toy replica that was not told to lag.
        double position = (positionOf(store) - WallTime{}).seconds();
        out = row("x0=" + std::to_string(position) + ",x1=" + (store.primary ? "1" : "0") +
                  ",inflight=0") +
              pg::message('C', std::string("SHOW\0", 5)) + pg::ready();
      } else {
        bool open = co_await doStatement(number, s, std::move(text));
        if (!open) break;
        continue;
      }
    } else {
      store.idle.push_back(&s);
      runtime::Socket::ReadStatus got = s.read(in, kMost);
      if (got == runtime::Socket::ReadStatus::noData) {
        co_await s.readable.wait();
        got = s.read(in, kMost);
      }
      std::erase(store.idle, &s);
      if (got == runtime::Socket::ReadStatus::closed) break;
      continue;
    }
    bool sent = co_await runtime::writeAll(s, out, kForever);
    if (!sent) break;
  }
  std::erase(store.connections, &s);
}

void Toy::promote(int number) {
  for (auto& s : stores_) s->primary = false;
  stores_[static_cast<std::size_t>(number)]->primary = true;
  for (int k = 0; k < static_cast<int>(stores_.size()); ++k) changed(k);
}

Toy::Deed Toy::begin(int number, const std::string& id, std::string_view key, bool write,
                     const std::string& mark, const std::string& text) {
  constexpr Duration kWindow{3'000'000};
  Store& store = *stores_[static_cast<std::size_t>(number)];
  Deed deed;
  deed.key = key;
  deed.word = wordFor(key, tries_[id]++);
  deed.write = write;
  deed.misplaced = write && !store.primary;
  std::size_t digits = deed.word.find_first_of("0123456789");
  if (digits != std::string::npos &&
      (deed.word.starts_with("slow") || deed.word.starts_with("big"))) {
    std::from_chars(deed.word.data() + digits, deed.word.data() + deed.word.size(), deed.number);
    deed.word.resize(digits);
  }
  ++store.executions;
  seen(number, text);
  // What is turned away has no effect, nor has a write whose mark is known already.
  static const std::set<std::string> kNone = {"miss", "stale", "full", "error",
                                              "away", "liar",  "wrong"};
  if (!write || deed.misplaced || kNone.contains(deed.word)) return deed;
  if (!mark.empty()) {
    auto [known, fresh] = marks_.try_emplace(mark, scheduler_.now());
    if (!fresh && scheduler_.now() - known->second < kWindow) return deed;
    known->second = scheduler_.now();
  }
  ++effects_[mark.empty() ? id : mark];
  return deed;
}

// What becomes of a statement is the first word of its key: ok, miss, full, error, stale, break
// (after it was taken and has run), die (the whole store does, likewise), silent, half (a row cut
// off), garbage, long (a message without end), twice (a row too many), more (a row after the
// answer), copy (the whole answer once more), noise (no message at all), longer (a row that
// promises more than comes), liar (never ran, it says, and goes on with noise), wrong (the
// statement is at fault), unread (a report that can't be read), endless (parameters for ever), big
// and a number of bytes, or slow and a number of milliseconds.
runtime::Task<bool> Toy::doStatement(int number, runtime::Socket& s, std::string text) {
  Store& store = *stores_[static_cast<std::size_t>(number)];
  pg::Fields f;
  pg::readStatement(text, f);
  bool write = text.rfind("INSERT", 0) == 0;
  Deed deed = begin(number, std::string(f.id), f.sessionKey, write, std::string(f.idempotencyKey),
                    text);
  std::string word = deed.word;
  std::string role = pg::parameter("server_role", store.primary ? "writer" : "reader");
  std::string out;
  if (word == "slow") {
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + Duration{deed.number * 1000});
    word = "ok";
  }
  if (word == "die") kill(number);
  if (deed.misplaced) {
    out = pg::error(false, "25006", "this is no primary") + role + pg::ready();
  } else if (word == "miss" || word == "stale") {
    out = pg::error(false, "72000", "too far behind") + role + pg::ready();
  } else if (word == "full") {
    out = pg::error(false, "53300", "the queue is full") + role + pg::ready();
  } else if (word == "error") {
    out = pg::error(false, "XX000", "it went wrong") + role + pg::ready();
  } else if (word == "away") {
    out = pg::error(false, "57P03", "not now") + role + pg::ready();
  } else if (word == "break" || word == "die") {
    co_return false;
  } else if (word == "silent") {
    while (s.isOpen()) {
      std::string rest;
      co_await s.readable.wait();
      if (s.read(rest, kMost) == runtime::Socket::ReadStatus::closed) break;
    }
    co_return false;
  } else if (word == "endless") {
    for (std::string many = pg::parameter("usage", std::string(1000, 'x')); s.isOpen();) {
      bool taken = co_await runtime::writeAll(s, many, kForever);
      if (!taken) break;
    }
    co_return false;
  } else if (word == "half") {
    std::string whole = row(std::string(1000, 'x'));
    co_await runtime::writeAll(s, std::string_view(whole).substr(0, 300), kForever);
    co_return false;
  } else if (word == "garbage") {
    out = std::string("\x01\xff\xff\xff\xff garbage");
  } else if (word == "long") {
    out = std::string("T\x7f\0\0\0 long", 10);
  } else if (word == "more") {
    out = row("value of more") + pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready() +
          row("unasked");
  } else if (word == "copy") {
    out = row("value of copy") + pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready();
    out += out;
  } else if (word == "noise") {
    out = std::string("T\0\0\0\x1d\0\1payload\0", 15) + "$%&";
  } else if (word == "longer") {
    out = row(std::string(100, 'x'));
    out[out.size() - 103] = out[out.size() - 109] = 1;
  } else if (word == "liar") {
    out = pg::error(false, "53300", "the queue is full") + "\x01\x02";
  } else if (word == "wrong") {
    out = pg::error(false, "42601", "no such words") + role + pg::ready();
  } else if (word == "unread") {
    out = row("value of unread") + pg::message('C', std::string("SELECT 1\0", 9)) +
          pg::parameter("usage", "x0=nan,x1=,=,inflight=-inf,x0=9e99") +
          pg::parameter("commit_clock", "1e300") + pg::ready();
  } else if (word == "big") {
    out = row(std::string(static_cast<std::size_t>(deed.number), 'b')) +
          pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready();
  } else if (word == "twice") {
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

// ---- the list ----

std::uint16_t Toy::serveList(std::uint16_t port) {
  list_ = std::make_unique<runtime::Descriptor>(scheduler_, runtime::openListener(loopback(port)));
  scheduler_.spawn(
      accept(*list_, [this](auto socket) { return serveListCall(std::move(socket)); }));
  return static_cast<std::uint16_t>(runtime::localPort(list_->fd()));
}

void Toy::closeList() {
  list_->close();
  resetList();
}

void Toy::resetList() {
  linger now{1, 0};
  for (runtime::Socket* s : callers_) {
    setsockopt(s->fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    s->close();
  }
  for (runtime::Event* watcher : watchers_) watcher->set();
}

runtime::Task<> Toy::serveListCall(std::unique_ptr<runtime::Socket> owned) {
  callers_.push_back(owned.get());
  co_await answerListCalls(*owned);
  std::erase(callers_, owned.get());
}

runtime::Task<> Toy::answerListCalls(runtime::Socket& s) {
  std::string in;
  runtime::Event news(scheduler_);
  for (;;) {
    std::size_t end = in.find("\r\n\r\n");
    if (end == std::string::npos) {
      runtime::Socket::ReadStatus got = s.read(in, kMost);
      if (got == runtime::Socket::ReadStatus::closed) co_return;
      if (got == runtime::Socket::ReadStatus::noData) co_await s.readable.wait();
      continue;
    }
    std::string head = in.substr(0, end);
    in.erase(0, end + 4);
    auto figure = [&](const char* name) {
      std::int64_t value = -1;
      std::size_t at = head.find(name);
      if (at != std::string::npos)
        std::from_chars(head.data() + at + 6, head.data() + head.size(), value);
      return value;
    };
    std::int64_t index = figure("index="), wait = figure("&wait=");
    std::string body;
    bool never = listSilent_;
    if (index < 0) {
      body = roster();
    } else {
      if (version_ <= index && wait > 0) {
        watchers_.push_back(&news);
        co_await news.wait(scheduler_.now() + Duration{wait * 1000});
        std::erase(watchers_, &news);
      }
      std::string entries;
      for (const auto& [version, store] : changes_)
        if (version > index) entries += (entries.empty() ? "" : ",") + member(store);
      body = listing(false, entries);
    }
    if (listDelay_ > Duration{})
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + listDelay_);
    if (indented_) body = spread(body);
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    bool spoilt = !spoiled_.empty();
    if (spoilt) out = std::exchange(spoiled_, {});
    // One that says nothing of its length ends with its connection; here that is reset instead.
    bool cut = spoilt && out.find("Content-Length") == std::string::npos &&
               out.rfind("HTTP/1.0 200", 0) == 0;
    if (never || listSilent_) {
      while (s.read(in, kMost) != runtime::Socket::ReadStatus::closed) co_await s.readable.wait();
      co_return;
    }
    bool sent = co_await runtime::writeAll(s, out, kForever);
    if (cut) {
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + Duration{20'000});
      linger now{1, 0};
      setsockopt(s.fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    if (!sent || cut) co_return;
  }
}

}  // namespace reedchute::toy
