// What a store's response says of the request that it answers, and of the store. No I/O.
#pragma once

#include "codec/cql/reply.h"
#include "codec/cql/wire.h"
#include "protocols/cassandra/statement_decoder.h"
#include "request/upstream_request.h"

namespace reedchute::protocols::cassandra {

// Notes what the custom payload says of the store. `newest`: the latest position that a store may
// truthfully report now.
void readStoreState(const reedchute::cql::BytesMap& payload, request::UpstreamRequest& request,
                    WallTime newest);

// The outcome of a request whose text could not be prepared. Nothing of the statement itself was
// ever sent.
AttemptOutcome outcomeOfPreparation(const reedchute::cql::Frame& frame,
                                    const reedchute::cql::Reply& reply);

// The outcome of a probe; notes the load report that it brought.
AttemptOutcome outcomeOfProbe(const reedchute::cql::Frame& frame,
                              const reedchute::cql::Reply& reply, request::UpstreamRequest& request,
                              WallTime newest);

// The outcome of a statement; errors of interest are logged.
AttemptOutcome outcomeOfStatement(const reedchute::cql::Frame& frame,
                                  const reedchute::cql::Reply& reply, const Statement& statement,
                                  int store);

// The response as the client's connection gets it.
void setResponse(request::UpstreamRequest& request, const reedchute::cql::Frame& frame,
                 std::uint8_t flags);

}  // namespace reedchute::protocols::cassandra
