#include "discovery/endpoint_watcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "discovery/http_connection.h"
#include "log/log.h"

namespace reedchute::discovery {
namespace {

constexpr std::int64_t kMaxWaitMs = 60'000;   // the service allows no more
constexpr std::size_t kMaxValuesPerBody = 2;  // bytes of parsed values per byte of body

std::variant<EndpointList, std::string> parseBody(const std::string& body,
                                                  std::size_t maxValueBytes) {
  json::Value document;
  std::string why;
  if (!json::parse(body, document, why, maxValueBytes)) return why;
  std::variant<EndpointList, EndpointListError> parsed = parseEndpointList(document);
  if (const auto* error = std::get_if<EndpointListError>(&parsed)) return describe(*error);
  return std::get<EndpointList>(std::move(parsed));
}

}  // namespace

// A discovery service that is called, and what is known of it.
struct EndpointWatcher::Service {
  Service(runtime::Scheduler& scheduler, sockaddr_in address, std::string host,
          HttpConnection::Limits limits)
      : connection(scheduler, address, std::move(host), limits), wakes(scheduler) {}

  HttpConnection connection;
  runtime::Event wakes;
  std::int64_t version = 0;
  bool isVersionKnown = false;  // `version` is of what this service has told
  bool hasAnswered = false;
  bool callsUnrequested = false;  // also on demand, it is called at once
  bool answeredEarly = false;     // its last response had nothing new, and did not wait for it
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
  service_->wakes.set();
}

void EndpointWatcher::abandon(ServicePtr& service) {
  service->connection.close();
  service->wakes.set();
  service.reset();
}

// What the former service has written counts as told, read or not: closed unread it would be lost,
// and the new service may be slow to say it.
void EndpointWatcher::setService(sockaddr_in address, std::string host) {
  ServicePtr last = std::exchange(service_, makeService(address, std::move(host)));
  if (last->hasAnswered || !former_) {
    if (former_) abandon(former_);
    former_ = last;
    last->wakes.set();
  } else {
    abandon(last);
  }
  service_->callsUnrequested = true;
  scheduler_.spawn(follow(service_));
}

runtime::Task<> EndpointWatcher::run() {
  co_await follow(service_);
}

// Calls the service for as long as it is the current one, or the former one whose watch still
// holds.
runtime::Task<> EndpointWatcher::follow(ServicePtr service) {
  int consecutiveFailures = timing_.isOnDemand && !service->callsUnrequested ? 1 : 0;
  while (service == service_) {
    co_await waitBeforeCall(*service, consecutiveFailures);
    if (service != service_) break;
    // A watch goes on for as long as each next call follows the last response at once.
    bool hasSucceeded = true;
    while (hasSucceeded) {
      hasSucceeded = co_await call(*service);
      if (hasSucceeded) consecutiveFailures = 0;
      if (hasSucceeded && service->answeredEarly)
        co_await runtime::sleepUntil(scheduler_, scheduler_.now() + timing_.retryDelay);
      if (!isCurrentOrFormer(*service)) co_return;
    }
    ++consecutiveFailures;
    if (service == service_ && timing_.isOnDemand) listener_.onPollFailed();
  }
}

runtime::Task<> EndpointWatcher::waitBeforeCall(Service& service, int consecutiveFailures) {
  if (consecutiveFailures > 0 && timing_.isOnDemand) {
    co_await service.wakes.wait();  // the decision engine says when to call again
    co_return;
  }
  // A service that fails at once would be called in a loop. The first repetition is made at once,
  // as a change may come in between and counts as told.
  if (consecutiveFailures > 1) co_await service.wakes.wait(scheduler_.now() + timing_.retryDelay);
}

// Fetches the whole list, or watches for changes where the version is known.
runtime::Task<bool> EndpointWatcher::call(Service& service) {
  const bool wantsWhole = !service.isVersionKnown;
  const std::int64_t lastVersion = service.version;
  const TimePoint begun = scheduler_.now();
  std::int64_t waitMs = std::min(kMaxWaitMs, timing_.maxHold.us / 1000);
  std::string path = "/catalog/members";
  if (!wantsWhole)
    path += "?index=" + std::to_string(lastVersion) + "&wait=" + std::to_string(waitMs);
  // A watch that has fallen silent looks like one with nothing to tell. Where the list is pushed
  // the whole of it comes from this machine at once; a service that many call may take its time.
  bool answersAtOnce = wantsWhole && !timing_.isOnDemand;
  Duration limit = answersAtOnce ? timing_.silence : timing_.maxHold + timing_.silence;
  std::optional<std::string> body = co_await service.connection.get(path, begun + limit);
  if (body && acceptList(service, *body, wantsWhole)) {
    // A service that answers at once that there is nothing new would be called in a loop.
    service.answeredEarly = !wantsWhole && service.version == lastVersion &&
                            scheduler_.now() - begun < timing_.retryDelay;
    co_return true;
  }
  service.connection.reset();
  co_return false;
}

// False where the response is of no use.
bool EndpointWatcher::acceptList(Service& service, const std::string& body, bool askedForWhole) {
  std::variant<EndpointList, std::string> parsed = parseBody(body,
                                                             maxBodyBytes_ * kMaxValuesPerBody);
  if (const auto* why = std::get_if<std::string>(&parsed)) {
    log::line("discovery_invalid_response", "what=\"%s\"", why->c_str());
    return false;
  }
  const auto& list = std::get<EndpointList>(parsed);
  if (askedForWhole && !list.isFull) {
    log::line("discovery_invalid_response", "what=\"changes where the whole list was asked for\"");
    return false;
  }
  // A call that was abandoned may have had its response already; that is not the word of the
  // service called now.
  if (!isCurrentOrFormer(service)) return false;
  bool isFirst = !service.hasAnswered;
  service.hasAnswered = true;
  if (!list.isFull && list.version < service.version) {
    log::line("discovery_version_regressed", "version=%lld held=%lld",
              static_cast<long long>(list.version), static_cast<long long>(service.version));
    service.isVersionKnown = false;  // the service has started anew: the whole list is fetched
    return true;
  }
  service.version = list.version;
  service.isVersionKnown = true;
  if (isFirst || list.isFull || !list.endpoints.empty()) listener_.onEndpointsChanged(list);
  if (&service == service_.get() && former_) abandon(former_);
  return true;
}

}  // namespace reedchute::discovery
