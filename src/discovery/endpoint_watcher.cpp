#include "discovery/endpoint_watcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "discovery/http_connection.h"
#include "log/log.h"

namespace reedchute::discovery {
namespace {

constexpr std::int64_t kMaxWaitMs = 60'000;           // the limit of the service
constexpr std::size_t kMaxValueBytesPerBodyByte = 2;  // bytes of parsed values per byte of body

std::variant<EndpointList, std::string> parseBody(const std::string& body,
                                                  std::size_t maxValueBytes) {
  json::Value document;
  std::string parseError;
  if (!json::parse(body, document, parseError, maxValueBytes)) return parseError;
  std::variant<EndpointList, EndpointListError> parsed = parseEndpointList(document);
  if (const auto* error = std::get_if<EndpointListError>(&parsed)) return describe(*error);
  return std::get<EndpointList>(std::move(parsed));
}

}  // namespace

// A discovery service that is polled, and its state.
struct EndpointWatcher::Service {
  Service(runtime::Scheduler& scheduler, sockaddr_in address, std::string host,
          HttpConnection::Limits limits)
      : connection(scheduler, address, std::move(host), limits), wakeUp(scheduler) {}

  HttpConnection connection;
  runtime::Event wakeUp;
  std::int64_t version = 0;
  bool isVersionKnown = false;  // `version` was sent by this service
  bool hasResponded = false;
  bool pollsAtOnce = false;     // the first poll doesn't wait for requestPoll()
  bool isPolled = false;        // a task polls it, or is about to
  bool respondedEarly = false;  // the last watch returned at once, without changes
};

EndpointWatcher::EndpointWatcher(runtime::Scheduler& scheduler, EndpointListener& listener,
                                 sockaddr_in address, std::string host, std::int64_t knownVersion,
                                 Timing timing, std::size_t maxBodyBytes)
    : scheduler_(scheduler),
      listener_(listener),
      timing_(timing),
      maxBodyBytes_(maxBodyBytes),
      service_(makeService(address, std::move(host))) {
  service_->version = knownVersion;
  service_->isVersionKnown = timing.isOnDemand;
}

EndpointWatcher::~EndpointWatcher() = default;

EndpointWatcher::ServicePtr EndpointWatcher::makeService(sockaddr_in address,
                                                         std::string host) const {
  HttpConnection::Limits limits{.connectTimeout = timing_.connectTimeout,
                                .maxBodyBytes = maxBodyBytes_};
  return std::make_shared<Service>(scheduler_, address, std::move(host), limits);
}

bool EndpointWatcher::isCurrentOrFormer(const Service& service) const {
  return &service == service_.get() || &service == former_.get();
}

void EndpointWatcher::requestPoll() {
  service_->wakeUp.set();
}

void EndpointWatcher::abandon(ServicePtr& service) {
  service->connection.close();
  service->wakeUp.set();
  service.reset();
}

// The former service is kept until the new one has responded: an update that it has already written
// counts as known to this process, even if it isn't read yet. Closing the connection would lose the
// update, and the new service may be slow to send it.
void EndpointWatcher::setService(sockaddr_in address, std::string host) {
  ServicePtr previous = std::exchange(service_, makeService(address, std::move(host)));
  if (previous->hasResponded || !former_) {
    if (former_) abandon(former_);
    former_ = previous;
    previous->wakeUp.set();
  } else {
    abandon(previous);
  }
  service_->pollsAtOnce = true;
  service_->isPolled = true;
  scheduler_.spawn(pollService(service_));
}

// If SIGHUP was pending as the process started, setService() has already begun to poll a service.
runtime::Task<> EndpointWatcher::run() {
  if (std::exchange(service_->isPolled, true)) co_return;
  co_await pollService(service_);
}

// Polls the service for as long as it is the current one, or the former one and its watch
// continues.
runtime::Task<> EndpointWatcher::pollService(ServicePtr service) {
  int consecutiveFailures = timing_.isOnDemand && !service->pollsAtOnce ? 1 : 0;
  while (service == service_) {
    co_await waitBeforePoll(*service, consecutiveFailures);
    if (service != service_) break;
    // The watch continues as long as each response is followed at once by the next poll.
    bool hasSucceeded = true;
    while (hasSucceeded) {
      hasSucceeded = co_await poll(*service);
      if (hasSucceeded) consecutiveFailures = 0;
      if (hasSucceeded && service->respondedEarly)
        co_await runtime::sleepUntil(scheduler_, scheduler_.now() + timing_.retryDelay);
      if (!isCurrentOrFormer(*service)) co_return;
    }
    ++consecutiveFailures;
    if (service == service_ && timing_.isOnDemand) listener_.onPollFailed();
  }
}

runtime::Task<> EndpointWatcher::waitBeforePoll(Service& service, int consecutiveFailures) {
  if (consecutiveFailures > 0 && timing_.isOnDemand) {
    co_await service.wakeUp.wait();  // the decision engine requests the next poll
    co_return;
  }
  // The delay prevents a busy loop if the service fails immediately. The first retry isn't delayed,
  // because a change that the service publishes meanwhile counts as known to this process.
  if (consecutiveFailures > 1) co_await service.wakeUp.wait(scheduler_.now() + timing_.retryDelay);
}

// Fetches the full list, or watches for changes if the version is known. Returns whether the
// response was valid.
runtime::Task<bool> EndpointWatcher::poll(Service& service) {
  const bool requestsFullList = !service.isVersionKnown;
  const std::int64_t lastVersion = service.version;
  const TimePoint startTime = scheduler_.now();
  std::int64_t waitMs = std::min(kMaxWaitMs, timing_.maxWatchTime.us / 1000);
  std::string path = "/catalog/members";
  if (!requestsFullList)
    path += "?index=" + std::to_string(lastVersion) + "&wait=" + std::to_string(waitMs);
  // An unresponsive service can't be told from one without changes, so each poll has a timeout. If
  // polls aren't on demand, the service is on this machine and sends the full list at once; a
  // service that is shared by many clients may take longer.
  bool expectsImmediateResponse = requestsFullList && !timing_.isOnDemand;
  Duration timeout = expectsImmediateResponse ? timing_.responseGrace
                                              : timing_.maxWatchTime + timing_.responseGrace;
  std::optional<std::string> body = co_await service.connection.get(path, startTime + timeout);
  if (body && acceptList(service, *body, requestsFullList)) {
    // The next poll is then delayed: a service that responds at once without changes would
    // otherwise be polled in a busy loop.
    service.respondedEarly = !requestsFullList && service.version == lastVersion &&
                             scheduler_.now() - startTime < timing_.retryDelay;
    co_return true;
  }
  service.connection.reset();
  co_return false;
}

// Returns false if the response is invalid or no longer relevant.
bool EndpointWatcher::acceptList(Service& service, const std::string& body,
                                 bool requestedFullList) {
  std::variant<EndpointList, std::string> parsed = parseBody(
      body, maxBodyBytes_ * kMaxValueBytesPerBodyByte);
  if (const auto* parseError = std::get_if<std::string>(&parsed)) {
    log::line("discovery_invalid_response", "what=\"%s\"", parseError->c_str());
    return false;
  }
  const auto& list = std::get<EndpointList>(parsed);
  if (requestedFullList && !list.isFull) {
    log::line("discovery_invalid_response",
              "what=\"response with changes only, but the full list was requested\"");
    return false;
  }
  // The response of an abandoned poll may already have been received. It is not applied, as it
  // isn't from the current service.
  if (!isCurrentOrFormer(service)) return false;
  bool isFirst = !service.hasResponded;
  service.hasResponded = true;
  if (!list.isFull && list.version < service.version) {
    log::line("discovery_version_regressed", "version=%lld held=%lld",
              static_cast<long long>(list.version), static_cast<long long>(service.version));
    service.isVersionKnown = false;  // the service has restarted: fetch the full list
    return true;
  }
  service.version = list.version;
  service.isVersionKnown = true;
  if (isFirst || list.isFull || !list.endpoints.empty()) listener_.onEndpointsChanged(list);
  if (&service == service_.get() && former_) abandon(former_);
  return true;
}

}  // namespace reedchute::discovery
