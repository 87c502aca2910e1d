// Rewrites a store's RESULT for the client: replaces paging states and the ids of prepared
// statements by the proxy's own, and announces schema changes to the sessions that registered
// for them. No I/O.
#pragma once

#include <optional>
#include <string>

#include "codec/cql/reply.h"
#include "protocols/cassandra/client_codec.h"

namespace reedchute::protocols::cassandra {

// The RESULT of a store, without its frame header.
struct StoreResult {
  int version = 0;
  std::uint8_t flags = 0;
  std::string body;
  int store = 0;                     // index of the store that sent it
  std::optional<WallTime> position;  // replication position that the store stated with it
};

class ResponseRewriter {
 public:
  explicit ResponseRewriter(ClientProtocol& protocol) : protocol_(protocol) {}

  // Returns the body for the client. Moves from `pending.preparing` if a statement was prepared.
  std::string rewrite(StoreResult result, Pending& pending) const;

 private:
  std::string withProxyPagingState(const StoreResult& result, const cql::Reply& reply,
                                   std::optional<WallTime> precedingPosition) const;
  std::string withProxyPreparedId(const StoreResult& result, const cql::Reply& reply,
                                  PreparedText text) const;
  void announceSchemaChange(const StoreResult& result, const cql::Reply& reply) const;

  ClientProtocol& protocol_;
};

}  // namespace reedchute::protocols::cassandra
