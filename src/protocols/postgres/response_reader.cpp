#include "protocols/postgres/response_reader.h"

#include <optional>
#include <string>

#include "log/log.h"
#include "protocols/postgres/sql_state.h"
#include "request/store_report.h"

namespace reedchute::protocols::postgres {

namespace pg = reedchute::pg;

ResponseReader::Verdict ResponseReader::onMessage(const pg::Message& message, WallTime newest) {
  if (!isSynchronized()) return synchronize(message, newest);
  switch (message.type) {
    case 'T':
      return advance(State::initial, State::described);
    case 'D':
      return onRow(message.payload, newest);
    case 'C':
      return advance(State::row, State::complete);
    case 'E':
      return onError(message);
    case 'S':
      onParameter(message.payload, newest);
      return Verdict::drop;
    case 'N':
      return Verdict::drop;
    case 'Z':
      return isComplete() || hasFailed() ? Verdict::finished : Verdict::malformed;
    default:
      return Verdict::malformed;
  }
}

// Until the barrier is answered, nothing is trusted: an error that precedes the answer may be a
// copy of an earlier one, and doesn't show that this request has not run.
ResponseReader::Verdict ResponseReader::synchronize(const pg::Message& message, WallTime newest) {
  if (state_ == State::unsynchronized) {
    if (message.type != 'I') return skip(message);
    state_ = State::barrierAnswered;
    return Verdict::drop;
  }
  switch (message.type) {
    case 'S':
      onParameter(message.payload, newest);
      return Verdict::drop;
    case 'N':
      return Verdict::drop;
    case 'Z':
      state_ = State::initial;
      return Verdict::drop;
    default:
      return Verdict::malformed;
  }
}

// Parameters and notices may arrive at any time, so they don't count as skipped.
ResponseReader::Verdict ResponseReader::skip(const pg::Message& message) {
  if (message.type == 'S' || message.type == 'N') return Verdict::drop;
  skippedBytes_ += message.whole.size();
  return skippedBytes_ > maxSkippedBytes_ ? Verdict::malformed : Verdict::drop;
}

ResponseReader::Verdict ResponseReader::advance(State from, State to) {
  if (state_ != from) return Verdict::malformed;
  state_ = to;
  return Verdict::keep;
}

ResponseReader::Verdict ResponseReader::onRow(std::string_view payload, WallTime newest) {
  bool isProbe = request_.statement < 0;
  if (isProbe)
    if (std::optional<std::string_view> value = pg::firstColumn(payload))
      request_.report = request::parseStoreReport(*value, newest);
  return advance(State::described, State::row);
}

ResponseReader::Verdict ResponseReader::onError(const pg::Message& message) {
  bool isAllowed = !isComplete() && !hasFailed();
  state_ = State::failed;
  std::string_view sqlState = pg::errorField(message.payload, 'C');
  request_.response.bytes = message.whole;
  request_.outcome = outcomeOf(sqlState);
  if (isLogged(sqlState) && request_.statement >= 0)
    log::line("store_error", "store=%d code=%.5s", request_.store, std::string(sqlState).c_str());
  return isAllowed ? Verdict::drop : Verdict::malformed;
}

void ResponseReader::onParameter(std::string_view payload, WallTime newest) {
  std::optional<std::string_view> name = pg::takeString(payload);
  std::optional<std::string_view> value = pg::takeString(payload);
  if (!name || !value) return;
  if (*name == "server_role") request_.role = request::parseStoreRole(*value);
  if (*name == "usage") request_.report = request::parseStoreReport(*value, newest);
  if (*name == "commit_clock")
    if (std::optional<WallTime> position = request::parseStorePosition(*value, newest))
      request_.position = position;
}

}  // namespace reedchute::protocols::postgres
