#include "protocols/cassandra/pending_requests.h"

#include <utility>

namespace reedchute::protocols::cassandra {

void PendingRequests::add(int stream, Pending pending) {
  byStream_[stream].pending = std::move(pending);
}

void PendingRequests::setStatement(int stream, int statement) {
  if (statement < 0) return;
  auto it = byStream_.find(stream);
  if (it != byStream_.end()) it->second.statement = statement;
}

Pending PendingRequests::take(int stream) {
  auto it = byStream_.find(stream);
  Pending pending = std::move(it->second.pending);
  byStream_.erase(it);
  return pending;
}

std::vector<int> PendingRequests::takeAllStatements() {
  std::vector<int> statements;
  for (const auto& [stream, entry] : byStream_)
    if (entry.statement >= 0) statements.push_back(entry.statement);
  byStream_.clear();
  return statements;
}

}  // namespace reedchute::protocols::cassandra
