// The store side of the PostgreSQL protocol. A connection carries one request at a time.
//
// A connection is reused only for stores that answer an empty query as the protocol says: with an
// empty query ahead of each further request, late bytes of earlier responses can be told from the
// response to that request (ResponseReader).
#pragma once

#include <set>

#include "upstream/connection_pools.h"
#include "upstream/upstream_protocol.h"

namespace reedchute::protocols::postgres {

class UpstreamProtocol : public upstream::UpstreamProtocol {
 public:
  std::unique_ptr<upstream::UpstreamConnection> createConnection(upstream::ConnectionPools& pools,
                                                                 int store,
                                                                 request::ProtocolVersion version,
                                                                 int fd) override;
  std::size_t maxConcurrentRequests() const override { return 1; }
  void removeStore(int store) override { barrierStores_.erase(store); }

  // Whether the store is known to answer empty queries.
  bool answersBarrier(int store) const { return barrierStores_.contains(store); }
  void setAnswersBarrier(int store, bool answers);

 private:
  std::set<int> barrierStores_;
};

}  // namespace reedchute::protocols::postgres
