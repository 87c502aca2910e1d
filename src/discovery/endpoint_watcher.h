// The list of stores: fetched whole, then watched over one kept connection.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "codec/json/json.h"
#include "decision/engine.h"
#include "runtime/socket.h"

namespace reedchute::discovery {

// An entry as the list's service words it.
struct Endpoint {
  std::string id, zone;
  sockaddr_in address{};
  std::vector<std::pair<std::string, sockaddr_in>>
      others;  // where it is spoken to in other protocols, by name
  std::int64_t group = 0;
  EndpointStatus listed = EndpointStatus::up;
  bool primary = false;
  double weight = 1;
  std::int64_t startedMs = 0;
};

struct EndpointList {
  std::int64_t version = 0;
  bool full = false;
  std::vector<Endpoint> members;
};

// False, and `why`, where anything in it can't be read: then none of it counts.
bool parseEndpointList(const json::Value& from, EndpointList& into, std::string& why);

// Whoever keeps the list.
class EndpointListener {
 public:
  virtual ~EndpointListener() = default;
  virtual void listCame(const EndpointList& roster) = 0;
  virtual void listFailed() = 0;  // a call that was asked for has failed
};

class EndpointWatcher {
 public:
  struct Pace {
    Duration wait;     // that a watch may be held
    Duration silence;  // beyond that: a call without an answer by then is broken and made anew
    Duration connect;  // that a connection may take to come up
    Duration retry;    // between two calls where the last ones failed
    bool onDemand;     // called only when the module asks
  };
  // `known`: the version of the list that is known already. Where each call is work for a service
  // that many ask, it is watched from there on; else the whole list comes first.
  EndpointWatcher(runtime::Scheduler& s, EndpointListener& listener, sockaddr_in service,
                  std::string host, std::int64_t known, Pace pace, std::size_t mostBody);
  ~EndpointWatcher();

  runtime::Task<> run();
  // The service is at another address from now on, and the whole list is fetched from there. Until
  // it has come, what the old one says still counts. A version counts only where it came from.
  void moveTo(sockaddr_in service, std::string host);
  void ask();  // where it comes on demand

 private:
  struct Service;  // that is called, over one connection that is kept
  using Called = std::shared_ptr<Service>;

  runtime::Task<> follow(Called s);
  runtime::Task<bool> call(Service& s);  // the whole list, or a watch where it is known
  runtime::Task<bool> exchange(Service& s, const std::string& path, TimePoint until,
                               std::string& body);
  bool take(Service& s, const std::string& body, bool whole);
  void leave(Called& s);

  runtime::Scheduler& scheduler_;
  EndpointListener& listener_;
  Pace pace_;
  std::size_t mostBody_;
  Called service_,
      before_;  // `before_`: the one that was called until now, where the new one has not answered
                // yet
};

}  // namespace reedchute::discovery
