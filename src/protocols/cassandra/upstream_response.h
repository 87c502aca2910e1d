// Extracts from a store's response the outcome of the request and the reported state of the store.
// No I/O.
#pragma once

#include "codec/cql/reply.h"
#include "codec/cql/wire.h"
#include "protocols/cassandra/statement_decoder.h"
#include "request/upstream_request.h"

namespace reedchute::protocols::cassandra {

// Copies the store's role, load report and replication position from the custom payload to
// `request`. `newest`: the latest position that a store can plausibly report now. An earlier
// response to the same request says nothing about the data of this one.
void readStoreState(const reedchute::cql::BytesMap& payload, request::UpstreamRequest& request,
                    WallTime newest);

// The outcome of a request whose text could not be prepared, so that the statement itself was never
// sent.
AttemptOutcome outcomeOfPreparation(const reedchute::cql::Frame& frame,
                                    const reedchute::cql::Reply& reply);

// The outcome of a probe. Copies the load report of the response to `request`.
AttemptOutcome outcomeOfProbe(const reedchute::cql::Frame& frame,
                              const reedchute::cql::Reply& reply, request::UpstreamRequest& request,
                              WallTime newest);

// The outcome of a statement. Logs errors of the store, and those caused by the statement (outcomes
// `error` and `invalid`).
AttemptOutcome outcomeOfStatement(const reedchute::cql::Frame& frame,
                                  const reedchute::cql::Reply& reply, const Statement& statement,
                                  int store);

// Stores the frame's body and opcode, with `flags`, as the response for the client's connection.
void setResponse(request::UpstreamRequest& request, const reedchute::cql::Frame& frame,
                 std::uint8_t flags);

}  // namespace reedchute::protocols::cassandra
