// State machine for a store's response to one simple query: a RowDescription, one DataRow and a
// CommandComplete, or an ErrorResponse in place of any of them, and finally ReadyForQuery. Records
// the store's role, position and load report, which the response contains, in the request. No I/O.
//
// Responses of the protocol don't name their query. On a connection that has carried a request
// before, an empty query (the barrier) therefore precedes the query in the same write. A store
// handles queries in order, so whatever it sends ahead of the EmptyQueryResponse, such as a second
// copy of an earlier response, doesn't belong to the request and is skipped.
#pragma once

#include <cstddef>
#include <string_view>

#include "base/time.h"
#include "codec/pg/messages.h"
#include "request/upstream_request.h"

namespace reedchute::protocols::postgres {

class ResponseReader {
 public:
  // How the request was sent.
  enum class Framing { alone, behindBarrier };
  // `maxSkippedBytes`: more bytes ahead of the barrier's response make the response malformed.
  ResponseReader(request::UpstreamRequest& request, Framing framing, std::size_t maxSkippedBytes)
      : request_(request),
        maxSkippedBytes_(maxSkippedBytes),
        state_(framing == Framing::alone ? State::initial : State::unsynchronized) {}

  // What to do with a message that was read.
  enum class Verdict {
    keep,       // forward it to the client
    drop,       // don't forward it; it concerns only the proxy
    finished,   // it is the last message of the response
    malformed,  // the protocol doesn't allow it at this point
  };
  // `newest`: the latest position that is plausible now; later ones are ignored.
  Verdict onMessage(const pg::Message& message, WallTime newest);

  // Whether the response has begun; from then on, the store may not pause for long.
  bool hasBegun() const { return state_ > State::initial; }
  // Whether all that follows belongs to this request.
  bool isSynchronized() const { return state_ >= State::initial; }
  // Whether messages that belong to no request were skipped.
  bool hasSkipped() const { return skippedBytes_ > 0; }
  bool isComplete() const { return state_ == State::complete; }
  bool hasFailed() const { return state_ == State::failed; }

 private:
  enum class State {
    unsynchronized,   // the EmptyQueryResponse of the barrier has not been received
    barrierAnswered,  // it has been received, but not the ReadyForQuery that follows it
    initial,
    described,
    row,
    complete,
    failed
  };

  Verdict synchronize(const pg::Message& message, WallTime newest);
  Verdict skip(const pg::Message& message);
  Verdict onRow(std::string_view payload, WallTime newest);
  Verdict onError(const pg::Message& message);
  Verdict advance(State from, State to);
  void onParameter(std::string_view payload, WallTime newest);

  request::UpstreamRequest& request_;
  const std::size_t maxSkippedBytes_;
  std::size_t skippedBytes_ = 0;
  State state_;
};

}  // namespace reedchute::protocols::postgres
