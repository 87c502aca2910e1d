// The requests of one client connection that await a response, by stream. No I/O.
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
  // Records the index that the handler assigned to the statement. Does nothing if the statement was
  // rejected immediately (`statement` is negative) or its response has already been sent.
  void setStatement(int stream, int statement);
  // Removes and returns the request, which must be pending.
  Pending take(int stream);
  // Removes all requests and returns the indexes of their statements, where they have one.
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
