#include "discovery/endpoint_watcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "codec/http/response.h"
#include "log/log.h"

namespace reedchute::discovery {
namespace {

constexpr std::int64_t kMostWaitMs = 60'000;    // the service allows no more
constexpr std::size_t kMostInARow = 64 * 1024;  // bytes of an answer before others have their turn
constexpr std::size_t kValuesPart = 2;          // times its body that a list may take as values

const char* readMember(const json::Value& v, Endpoint& m) {
  auto text = [&](const char* name, std::string& to) {
    const json::Value* f = v.find(name);
    if (!f || !f->isString()) return false;
    to = f->text;
    return true;
  };
  auto number = [&](const char* name, double& to) {
    const json::Value* f = v.find(name);
    if (!f || !f->isNumber()) return false;
    to = f->number;
    return true;
  };
  std::string state, address, role;
  double group = 0, started = 0;
  if (!text("id", m.id) || m.id.empty()) return "an entry without an id";
  if (!text("state", state)) return "an entry without a state";
  if (state == "up")
    m.listed = EndpointStatus::up;
  else if (state == "draining")
    m.listed = EndpointStatus::draining;
  else if (state == "removed")
    m.listed = EndpointStatus::gone;
  else
    return "an entry in an unknown state";
  if (!text("addr", address)) return "an entry without an address";
  auto parsed = runtime::parseAddress(address);
  if (!parsed) return "an address that can't be read";
  m.address = *parsed;
  // Not on the platform: where the store is spoken to in other protocols.
  if (const json::Value* others = v.find("addrs"))
    for (const auto& [protocol, where] : others->members) {
      auto other = runtime::parseAddress(where.text);
      if (!other) return "an address that can't be read";
      m.others.emplace_back(protocol, *other);
    }
  if (!number("cell", group) || group < INT32_MIN || group > INT32_MAX)
    return "an entry without a group";
  m.group = static_cast<std::int64_t>(group);
  text("zone", m.zone);
  number("weight", m.weight);
  if (number("started_ms", started) && started > 0 && started < 1e15)
    m.startedMs = static_cast<std::int64_t>(started);
  if (text("access", role)) m.primary = role == "writer";
  return nullptr;
}

}  // namespace

bool parseEndpointList(const json::Value& from, EndpointList& into, std::string& why) {
  const json::Value *version = from.find("version"), *full = from.find("full"),
                    *list = from.find("servers");
  if (!version || !version->isNumber() || !full || full->kind != json::Value::Kind::boolean ||
      !list || list->kind != json::Value::Kind::array) {
    why = "no list with version, full and servers";
    return false;
  }
  EndpointList r;
  r.version = static_cast<std::int64_t>(std::clamp(version->number, -1e15, 1e15));
  r.full = full->boolean;
  std::set<std::string> ids;
  for (const json::Value& entry : list->items) {
    Endpoint m;
    if (const char* wrong = readMember(entry, m)) {
      why = wrong;
      return false;
    }
    if (!ids.insert(m.id).second && r.full) {
      why = "an id that stands twice";
      return false;
    }
    r.members.push_back(std::move(m));
  }
  into = std::move(r);
  return true;
}

struct EndpointWatcher::Service {
  Service(runtime::Scheduler& s, sockaddr_in at, std::string called)
      : address(at), host(std::move(called)), wakes(s) {}

  sockaddr_in address;
  std::string host, in;
  std::optional<runtime::Socket> socket;
  runtime::Event wakes;
  std::int64_t version = 0;
  bool known = false;  // `version` is of what this service knows
  bool heard = false;  // it has answered
  bool due = false;    // to be called without being asked for
  bool early = false;  // its last answer had nothing new, and did not wait for it
};

EndpointWatcher::EndpointWatcher(runtime::Scheduler& s, EndpointListener& listener,
                                 sockaddr_in service, std::string host, std::int64_t known,
                                 Pace pace, std::size_t mostBody)
    : scheduler_(s),
      listener_(listener),
      pace_(pace),
      mostBody_(mostBody),
      service_(std::make_shared<Service>(s, service, std::move(host))) {
  service_->version = known;
  service_->known = pace.onDemand;
}

EndpointWatcher::~EndpointWatcher() = default;

void EndpointWatcher::ask() {
  service_->wakes.set();
}

void EndpointWatcher::leave(Called& s) {
  if (s->socket) s->socket->close();
  s->wakes.set();
  s.reset();
}

// Danger: what the old service has written counts as told, read or not; closed unread it would be
// lost, and the new one may be slow to say it.
void EndpointWatcher::moveTo(sockaddr_in service, std::string host) {
  Called last = std::exchange(service_,
                              std::make_shared<Service>(scheduler_, service, std::move(host)));
  if (last->heard || !before_) {
    if (before_) leave(before_);
    before_ = last;
    last->wakes.set();
  } else {
    leave(last);
  }
  service_->due = true;
  scheduler_.spawn(follow(service_));
}

runtime::Task<> EndpointWatcher::run() {
  co_await follow(service_);
}

runtime::Task<> EndpointWatcher::follow(Called s) {
  int failed = pace_.onDemand && !s->due ? 1 : 0;  // calls, one after the other
  while (s == service_) {
    if (failed > 0 && pace_.onDemand)
      co_await s->wakes.wait();  // the module says when to call again
    else if (failed > 1)
      // Danger: a service that fails at once would be called in a loop. One call is made anew at
      // once: a change may come in between, and counts as told.
      co_await s->wakes.wait(scheduler_.now() + pace_.retry);
    if (s != service_) break;
    // A watch goes on for as long as each next call follows the last answer at once.
    for (bool good = true; good;) {
      good = co_await call(*s);
      if (good) failed = 0;
      if (good && s->early)
        co_await runtime::sleepUntil(scheduler_, scheduler_.now() + pace_.retry);
      if (s != service_ && s != before_) co_return;
    }
    ++failed;
    if (s == service_ && pace_.onDemand) listener_.listFailed();
  }
}

runtime::Task<bool> EndpointWatcher::call(Service& s) {
  bool whole = !s.known;
  std::int64_t waitMs = std::min(kMostWaitMs, pace_.wait.us / 1000);
  std::string path = "/catalog/members";
  if (!whole) path += "?index=" + std::to_string(s.version) + "&wait=" + std::to_string(waitMs);
  // Danger: a watch that has fallen silent looks like one with nothing to tell. Where the list is
  // pushed the whole of it comes from this machine at once; a service that many ask may take its
  // time.
  Duration limit = whole && !pace_.onDemand ? pace_.silence : pace_.wait + pace_.silence;
  std::string body;
  TimePoint begun = scheduler_.now();
  std::int64_t had = s.version;
  bool got = co_await exchange(s, path, begun + limit, body);
  // Danger: a service may answer at once that there is nothing new, and would be called in a loop.
  if (got && take(s, body, whole)) {
    s.early = !whole && s.version == had && scheduler_.now() - begun < pace_.retry;
    co_return true;
  }
  s.socket.reset();
  s.in.clear();
  co_return false;
}

bool EndpointWatcher::take(Service& s, const std::string& body, bool whole) {
  json::Value value;
  EndpointList roster;
  std::string why;
  if (!json::parse(body, value, why, mostBody_ * kValuesPart) ||
      !parseEndpointList(value, roster, why)) {
    log::line("discovery_invalid_response", "what=\"%s\"", why.c_str());
    return false;
  }
  if (whole && !roster.full) {
    log::line("discovery_invalid_response", "what=\"changes where the whole list was asked for\"");
    return false;
  }
  // Danger: a call that was left may have had its answer already; that is not the word of the one
  // called now.
  if (&s != service_.get() && &s != before_.get()) return false;
  bool first = !std::exchange(s.heard, true);
  if (!roster.full && roster.version < s.version) {
    log::line("discovery_version_regressed", "version=%lld held=%lld",
              static_cast<long long>(roster.version), static_cast<long long>(s.version));
    s.known = false;  // the service has started anew: the whole list is fetched
    return true;
  }
  s.version = roster.version;
  s.known = true;
  if (first || roster.full || !roster.members.empty()) listener_.listCame(roster);
  if (&s == service_.get() && before_) leave(before_);
  return true;
}

runtime::Task<bool> EndpointWatcher::exchange(Service& s, const std::string& path, TimePoint until,
                                              std::string& body) {
  if (s.socket && s.socket->isOpen()) {
    // A kept connection that the service has closed meanwhile is noticed before it is used.
    s.in.clear();
    if (s.socket->read(s.in, mostBody_) != runtime::Socket::ReadStatus::noData) s.socket->close();
  }
  if (!s.socket || !s.socket->isOpen()) {
    s.in.clear();
    s.socket.emplace(scheduler_, runtime::startConnect(s.address));
    bool up = co_await runtime::awaitConnected(*s.socket,
                                               std::min(until, scheduler_.now() + pace_.connect));
    if (!up) {
      log::line("discovery_unreachable", "what=\"no connection\"");
      co_return false;
    }
  }
  std::string call = "GET " + path + " HTTP/1.1\r\nHost: " + s.host +
                     "\r\nAccept: application/json\r\n\r\n";
  bool sent = co_await runtime::writeAll(*s.socket, call, until);
  if (!sent) co_return false;
  http::Response response(mostBody_);
  for (std::size_t inARow = 0;;) {
    inARow += s.in.size();
    s.in.erase(0, response.feed(s.in));
    if (response.whole() || response.bad()) break;
    // Danger: an answer without end, as fast as it can be read, would have this thread for itself
    // and never be late.
    if (inARow > kMostInARow) {
      inARow = 0;
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + Duration{1});
    }
    runtime::Socket::ReadStatus got = s.socket->read(s.in, kMostInARow);
    if (got == runtime::Socket::ReadStatus::data && scheduler_.now() < until) continue;
    if (got == runtime::Socket::ReadStatus::closed) {
      response.ended(s.socket->wasReset());
      break;
    }
    bool set = false;
    if (got == runtime::Socket::ReadStatus::noData) set = co_await s.socket->readable.wait(until);
    if (!set) {
      log::line("discovery_timeout", "path=%s", path.c_str());
      co_return false;
    }
  }
  if (response.whole() && !response.keepsOpen()) s.socket->close();
  if (!response.whole() || response.status() != 200) {
    log::line("discovery_invalid_response", "status=%d what=\"%s\"", response.status(),
              response.why().c_str());
    co_return false;
  }
  body = response.takeBody();
  co_return true;
}

}  // namespace reedchute::discovery
