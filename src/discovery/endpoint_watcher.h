// Keeps the endpoint list up to date: fetches it whole from the discovery service, then watches for
// changes over one connection. The proxy owns the watcher, runs run() and is told of each list.
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
  // A call that requestPoll() asked for has failed.
  virtual void onPollFailed() = 0;
};

class EndpointWatcher {
 public:
  struct Timing {
    Duration maxHold;         // that a watch may be held by the service
    Duration silence;         // beyond that, before a call without a response is made anew
    Duration connectTimeout;  // of the connection to the service
    Duration retryDelay;      // between two calls where the last ones failed
    bool isOnDemand;          // called only after requestPoll()
  };

  // `knownVersion`: of the list that is known already. On demand, where each call is work for a
  // service that many call, the list is watched from there on; else the whole of it comes first.
  EndpointWatcher(runtime::Scheduler& scheduler, EndpointListener& listener, sockaddr_in address,
                  std::string host, std::int64_t knownVersion, Timing timing,
                  std::size_t maxBodyBytes);
  ~EndpointWatcher();

  runtime::Task<> run();
  // The service is at another address from now on, and the whole list is fetched from there. Until
  // it has come, what the former service says still counts. A version counts only where it came
  // from.
  void setService(sockaddr_in address, std::string host);
  // On demand: asks for the next call.
  void requestPoll();

 private:
  struct Service;
  using ServicePtr = std::shared_ptr<Service>;

  ServicePtr makeService(sockaddr_in address, std::string host) const;
  bool isCurrentOrFormer(const Service& service) const;
  runtime::Task<> follow(ServicePtr service);
  runtime::Task<> waitBeforeCall(Service& service, int consecutiveFailures);
  runtime::Task<bool> call(Service& service);
  bool acceptList(Service& service, const std::string& body, bool askedForWhole);
  void abandon(ServicePtr& service);

  runtime::Scheduler& scheduler_;
  EndpointListener& listener_;
  const Timing timing_;
  const std::size_t maxBodyBytes_;
  ServicePtr service_;
  ServicePtr former_;  // until the new service has answered
};

}  // namespace reedchute::discovery
