#include "peers/list.h"

#include <algorithm>
#include <set>

#include "http/response.h"
#include "log/log.h"

namespace reedchute::peers {
namespace {

constexpr std::int64_t kMostWaitMs = 60'000;  // the service allows no more

const char* readMember(const json::Value& v, Member& m) {
  auto text = [&](const char* name, std::string& to) {
    const json::Value* f = v.find(name);
    if (!f || !f->isText()) return false;
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
    m.listed = Listed::up;
  else if (state == "draining")
    m.listed = Listed::draining;
  else if (state == "removed")
    m.listed = Listed::gone;
  else
    return "an entry in an unknown state";
  if (!text("addr", address)) return "an entry without an address";
  auto parsed = sched::parseAddress(address);
  if (!parsed) return "an address that can't be read";
  m.address = *parsed;
  // Not on the platform: where the store is spoken to in other protocols.
  if (const json::Value* others = v.find("addrs"))
    for (const auto& [protocol, where] : others->members) {
      auto other = sched::parseAddress(where.text);
      if (!other) return "an address that can't be read";
      m.others.emplace_back(protocol, *other);
    }
  if (!number("cell", group) || group < INT32_MIN || group > INT32_MAX) return "an entry without a group";
  m.group = static_cast<std::int64_t>(group);
  text("zone", m.zone);
  number("weight", m.weight);
  if (number("started_ms", started) && started > 0 && started < 1e15)
    m.startedMs = static_cast<std::int64_t>(started);
  if (text("access", role)) m.primary = role == "writer";
  return nullptr;
}

}  // namespace

bool readRoster(const json::Value& from, Roster& into, std::string& why) {
  const json::Value *version = from.find("version"), *full = from.find("full"), *list = from.find("servers");
  if (!version || !version->isNumber() || !full || full->kind != json::Value::Kind::boolean || !list ||
      list->kind != json::Value::Kind::list) {
    why = "no list with version, full and servers";
    return false;
  }
  Roster r;
  r.version = static_cast<std::int64_t>(std::clamp(version->number, -1e15, 1e15));
  r.full = full->truth;
  std::set<std::string> ids;
  for (const json::Value& entry : list->items) {
    Member m;
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

List::List(sched::Scheduler& s, Keeper& keeper, sockaddr_in service, std::string host, Pace pace,
           std::size_t mostBody)
    : scheduler_(s), keeper_(keeper), service_(service), host_(std::move(host)), pace_(pace),
      mostBody_(mostBody), asked_(s) {}

void List::ask() { asked_.set(); }

void List::moveTo(sockaddr_in service, std::string host) {
  service_ = service, host_ = std::move(host);
  moved_ = true, known_ = false;
  if (socket_) socket_->close();
  asked_.set();
}

sched::Task<> List::run() {
  for (;;) {
    if (pace_.onDemand && !moved_) co_await asked_.wait();
    moved_ = false;
    // A watch goes on for as long as each next call follows the last answer at once.
    for (bool good = true; good;) good = co_await call();
    if (moved_) continue;
    if (pace_.onDemand) {
      keeper_.listFailed();  // and the module says when to call again
    } else {
      // Danger: a service that fails at once would be called in a loop.
      co_await asked_.wait(scheduler_.now() + pace_.pause);
    }
  }
}

sched::Task<bool> List::call() {
  bool whole = !known_;
  std::int64_t waitMs = std::min(kMostWaitMs, pace_.wait.us / 1000);
  std::string path = "/catalog/members";
  if (!whole) path += "?index=" + std::to_string(version_) + "&wait=" + std::to_string(waitMs);
  // Danger: a watch that has fallen silent looks like one with nothing to tell. Where the list is pushed the whole of
  // it comes from this machine at once; a service that many ask may take its time.
  Span limit = whole && !pace_.onDemand ? pace_.silence : pace_.wait + pace_.silence;
  std::string body;
  bool got = co_await exchange(path, scheduler_.now() + limit, body);
  // Danger: the last word of the old service, taken for the new one's, would hide what the new one has to tell.
  if (got && !moved_ && take(body, whole)) co_return true;
  socket_.reset();
  in_.clear();
  co_return false;
}

bool List::take(const std::string& body, bool whole) {
  json::Value value;
  Roster roster;
  std::string why;
  if (!json::parse(body, value, why) || !readRoster(value, roster, why)) {
    log::line("list_bad", "what=\"%s\"", why.c_str());
    return false;
  }
  if (whole && !roster.full) {
    log::line("list_bad", "what=\"changes where the whole list was asked for\"");
    return false;
  }
  if (!roster.full && roster.version < version_) {
    log::line("list_back", "version=%lld held=%lld", static_cast<long long>(roster.version),
              static_cast<long long>(version_));
    known_ = false;  // the service has started anew: the whole list is fetched
    return true;
  }
  version_ = roster.version;
  known_ = true;
  if (roster.full || !roster.members.empty()) keeper_.listCame(roster);
  return true;
}

sched::Task<bool> List::exchange(const std::string& path, TimePoint until, std::string& body) {
  if (socket_ && socket_->open()) {
    // A kept connection that the service has closed meanwhile is noticed before it is used.
    in_.clear();
    if (socket_->read(in_, mostBody_) != sched::Socket::Got::nothing) socket_->close();
  }
  if (!socket_ || !socket_->open()) {
    in_.clear();
    socket_.emplace(scheduler_, sched::startConnect(service_));
    bool up = co_await sched::connected(*socket_, std::min(until, scheduler_.now() + pace_.pause));
    if (!up) {
      log::line("list_away", "what=\"no connection\"");
      co_return false;
    }
  }
  std::string call = "GET " + path + " HTTP/1.1\r\nHost: " + host_ + "\r\nAccept: application/json\r\n\r\n";
  bool sent = co_await sched::writeAll(*socket_, call, until);
  if (!sent) co_return false;
  http::Response response(mostBody_);
  for (;;) {
    in_.erase(0, response.feed(in_));
    if (response.whole() || response.bad()) break;
    sched::Socket::Got got = socket_->read(in_, mostBody_);
    if (got == sched::Socket::Got::some) continue;
    if (got == sched::Socket::Got::ended) {
      response.ended();
      break;
    }
    bool set = co_await socket_->in.wait(until);
    if (!set) {
      log::line("list_silent", "path=%s", path.c_str());
      co_return false;
    }
  }
  if (response.whole() && !response.keepsOpen()) socket_->close();
  if (!response.whole() || response.status() != 200) {
    log::line("list_bad", "status=%d what=\"%s\"", response.status(), response.why().c_str());
    co_return false;
  }
  body = response.body();
  co_return true;
}

}  // namespace reedchute::peers
