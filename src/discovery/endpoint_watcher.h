// Keeps the endpoint list up to date: fetches the full list from the discovery service, then
// watches for changes by long polls over one connection. The proxy owns the watcher, runs run() and
// is notified of each list.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "discovery/endpoint_list.h"
#include "runtime/scheduler.h"

namespace reedchute::discovery {

class EndpointListener {
 public:
  virtual ~EndpointListener() = default;
  virtual void onEndpointsChanged(const EndpointList& list) = 0;
  // A poll that was requested by requestPoll() has failed.
  virtual void onPollFailed() = 0;
};

class EndpointWatcher {
 public:
  struct Timing {
    Duration maxWatchTime;    // for which the service may hold back the response to a watch
    Duration responseGrace;   // beyond that, until a poll without a response is retried
    Duration connectTimeout;  // of the connection to the service
    Duration retryDelay;      // between polls after repeated failures
    bool isOnDemand;          // polls only after requestPoll()
  };

  // `host` is the value of the HTTP Host header. `knownVersion`: the version of the endpoint list
  // in the configuration. If polls are on demand, where each poll loads a service that is shared by
  // many clients, changes since that version are watched; otherwise the full list is fetched first.
  // `maxBodyBytes`: the maximum size of a response body.
  EndpointWatcher(runtime::Scheduler& scheduler, EndpointListener& listener, sockaddr_in address,
                  std::string host, std::int64_t knownVersion, Timing timing,
                  std::size_t maxBodyBytes);
  ~EndpointWatcher();

  // Watches the service given to the constructor. Must be spawned once; setService() spawns the
  // watch of the new service itself.
  runtime::Task<> run();
  // Switches to a service at another address and fetches the full list from there, as versions are
  // valid only at the service that assigned them. Until that list arrives, the responses of the
  // former service are still applied.
  void setService(sockaddr_in address, std::string host);
  // Requests the next poll, if polls are on demand.
  void requestPoll();

 private:
  struct Service;
  using ServicePtr = std::shared_ptr<Service>;

  ServicePtr makeService(sockaddr_in address, std::string host) const;
  bool isCurrentOrFormer(const Service& service) const;
  runtime::Task<> pollService(ServicePtr service);
  runtime::Task<> waitBeforePoll(Service& service, int consecutiveFailures);
  runtime::Task<bool> poll(Service& service);
  bool acceptList(Service& service, const std::string& body, bool requestedFullList);
  void abandon(ServicePtr& service);

  runtime::Scheduler& scheduler_;
  EndpointListener& listener_;
  const Timing timing_;
  const std::size_t maxBodyBytes_;
  ServicePtr service_;
  ServicePtr former_;  // set until the new service has responded
};

}  // namespace reedchute::discovery
