#include "pipeline/dispatcher.h"

#include <memory>
#include <utility>

namespace reedchute::pipeline {

void Dispatcher::sendAttempt(int index, int store, TimePoint deadline, TimePoint sendBy) {
  Statement& statement = statements_.at(index);
  auto request = std::make_unique<request::UpstreamRequest>();
  request->statement = index;
  request->attempt = static_cast<int>(statement.requests.size());
  request->store = store;
  request->startedAt = scheduler_.now();
  request->deadline = deadline;
  request->sendBy = sendBy;
  request->version = statement.version;
  request->payload = statement.payload.get();
  ++statement.outstandingAttempts;
  ++attemptCount_;
  statement.attempts.push_back({.store = store});
  statement.requests.push_back(nullptr);
  statement.requests.back() = pools_.submit(std::move(request));
}

void Dispatcher::cancelAttempt(int index, int attempt) {
  Statement& statement = statements_.at(index);
  auto number = static_cast<std::size_t>(attempt);
  if (number >= statement.requests.size()) return;
  request::UpstreamRequest* request = statement.requests[number];
  if (request) pools_.cancel(request);
}

void Dispatcher::sendProbe(int store) {
  auto probe = std::make_unique<request::UpstreamRequest>();
  probe->store = store;
  probe->startedAt = scheduler_.now();
  probe->deadline = probe->startedAt + probeTimeout_;
  probe->version = probeVersion_;
  ++probeCount_;
  pools_.submit(std::move(probe));
}

}  // namespace reedchute::pipeline
