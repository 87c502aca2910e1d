// State machine for a store's response to one simple query: a RowDescription, one DataRow and a
// CommandComplete, or an ErrorResponse in place of any of them, and finally ReadyForQuery. Records
// the store's role, position and load report, which the response contains, in the request. No I/O.
#pragma once

#include <string_view>

#include "base/time.h"
#include "codec/pg/messages.h"
#include "request/upstream_request.h"

namespace reedchute::protocols::postgres {

class ResponseReader {
 public:
  explicit ResponseReader(request::UpstreamRequest& request) : request_(request) {}

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
  bool hasBegun() const { return state_ != State::initial; }
  bool isComplete() const { return state_ == State::complete; }
  bool hasFailed() const { return state_ == State::failed; }

 private:
  enum class State { initial, described, row, complete, failed };

  Verdict onRow(std::string_view payload, WallTime newest);
  Verdict onError(const pg::Message& message);
  Verdict advance(State from, State to);
  void onParameter(std::string_view payload, WallTime newest);

  request::UpstreamRequest& request_;
  State state_ = State::initial;
};

}  // namespace reedchute::protocols::postgres
