// The state machine of a store's response to one simple query: a row's description, one row and its
// completion, or an error in the place of any of them, and at last ReadyForQuery. It notes in the
// request what the response says of the store. No I/O.
#pragma once

#include <string_view>

#include "codec/pg/messages.h"
#include "request/request.h"

namespace reedchute::protocols::postgres {

class ResponseReader {
 public:
  explicit ResponseReader(request::UpstreamRequest& request) : request_(request) {}

  // What becomes of the message that was read.
  enum class Verdict {
    keep,       // it goes on to the client
    drop,       // it was of use here alone
    finished,   // it was the last one
    malformed,  // it can't stand here
  };
  // `newest`: the latest position that a store may truthfully report now.
  Verdict onMessage(const pg::Message& message, WallTime newest);

  // A store may not pause for long once its response has begun.
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
