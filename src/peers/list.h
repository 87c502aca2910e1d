// The list of stores: fetched whole, then watched over one kept connection.
#pragma once

#include <cstdint>
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
  std::vector<std::pair<std::string, sockaddr_in>> others;  // where it is spoken to in other protocols, by name
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
    Span pause;     // before a call that failed is made again
    bool onDemand;  // called only when the module asks
  };
  List(sched::Scheduler& s, Keeper& keeper, sockaddr_in service, std::string host, Pace pace,
       std::size_t mostBody);

  sched::Task<> run();
  // The service is at another address from now on: a call to the old one ends at once, and the whole list is
  // fetched from the new one. A version counts only where it came from.
  void moveTo(sockaddr_in service, std::string host);
  void ask();  // where it comes on demand

 private:
  sched::Task<bool> call();  // the whole list, or a watch where it is known
  sched::Task<bool> exchange(const std::string& path, TimePoint until, std::string& body);
  bool take(const std::string& body, bool whole);

  sched::Scheduler& scheduler_;
  Keeper& keeper_;
  sockaddr_in service_;
  std::string host_;
  Pace pace_;
  std::size_t mostBody_;
  sched::Event asked_;
  std::optional<sched::Socket> socket_;
  std::string in_;
  std::int64_t version_ = 0;
  bool known_ = false, moved_ = false;
};

}  // namespace reedchute::peers
