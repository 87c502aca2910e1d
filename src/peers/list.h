// The list of stores: fetched whole, then watched over one kept connection.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "json/json.h"
#include "rules.h"
#include "sched/socket.h"

namespace reedchute::peers {

// An entry as the list's service words it.
struct Member {
  std::string id, zone;
  sockaddr_in address{};
  std::vector<std::pair<std::string, sockaddr_in>>
      others;  // where it is spoken to in other protocols, by name
  std::int64_t group = 0;
  Listed listed = Listed::up;
  bool primary = false;
  double weight = 1;
  std::int64_t startedMs = 0;
};

struct Roster {
  std::int64_t version = 0;
  bool full = false;
  std::vector<Member> members;
};

// False, and `why`, where anything in it can't be read: then none of it counts.
bool readRoster(const json::Value& from, Roster& into, std::string& why);

// Whoever keeps the list.
class Keeper {
 public:
  virtual ~Keeper() = default;
  virtual void listCame(const Roster& roster) = 0;
  virtual void listFailed() = 0;  // a call that was asked for has failed
};

class List {
 public:
  struct Pace {
    Span wait;      // that a watch may be held
    Span silence;   // beyond that: a call without an answer by then is broken and made anew
    Span connect;   // that a connection may take to come up
    Span retry;     // between two calls where the last ones failed
    bool onDemand;  // called only when the module asks
  };
  // `known`: the version of the list that is known already. Where each call is work for a service that many
  // ask, it is watched from there on; else the whole list comes first.
  List(sched::Scheduler& s, Keeper& keeper, sockaddr_in service, std::string host, std::int64_t known,
       Pace pace, std::size_t mostBody);
  ~List();

  sched::Task<> run();
  // The service is at another address from now on, and the whole list is fetched from there. Until it has
  // come, what the old one says still counts. A version counts only where it came from.
  void moveTo(sockaddr_in service, std::string host);
  void ask();  // where it comes on demand

 private:
  struct Service;  // that is called, over one connection that is kept
  using Called = std::shared_ptr<Service>;

  sched::Task<> follow(Called s);
  sched::Task<bool> call(Service& s);  // the whole list, or a watch where it is known
  sched::Task<bool> exchange(Service& s, const std::string& path, TimePoint until, std::string& body);
  bool take(Service& s, const std::string& body, bool whole);
  void leave(Called& s);

  sched::Scheduler& scheduler_;
  Keeper& keeper_;
  Pace pace_;
  std::size_t mostBody_;
  Called service_,
      before_;  // `before_`: the one that was called until now, where the new one has not answered yet
};

}  // namespace reedchute::peers
