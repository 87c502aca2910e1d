// The requests of one client connection that wait for their response, by stream. No I/O.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "protocols/cassandra/statement_decoder.h"

namespace reedchute::protocols::cassandra {

class PendingRequests {
 public:
  bool isEmpty() const { return byStream_.empty(); }
  std::size_t count() const { return byStream_.size(); }
  bool contains(int stream) const { return byStream_.contains(stream); }

  void add(int stream, Pending pending);
  // Records the index that the handler gave the statement. Does nothing where the statement was
  // rejected at once or its response has been sent already.
  void setStatement(int stream, int statement);
  // Removes the request, which must be pending.
  Pending take(int stream);
  // Removes all requests and returns the indexes of their statements.
  std::vector<int> takeAllStatements();

 private:
  static constexpr int kNoStatement = -1;
  struct Entry {
    int statement = kNoStatement;
    Pending pending;
  };
  std::map<int, Entry> byStream_;
};

}  // namespace reedchute::protocols::cassandra
