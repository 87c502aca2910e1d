#include "client/session_writer.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace reedchute::client {

runtime::Task<bool> SessionWriter::flush() {
  bool isWritten = true;
  session_.isWriting = true;
  while (isWritten && !session_.queued.bytes.empty()) {
    // The bytes being written must stay in place, so output queued meanwhile gets another buffer.
    session_.sending = std::exchange(session_.queued, {});
    isWritten = co_await writeSending();
    if (isWritten) countResponses();
  }
  reuseBuffer(isWritten);
  session_.isWriting = false;
  co_return isWritten;
}

runtime::Task<bool> SessionWriter::writeSending() {
  std::string_view unsent = session_.sending.bytes;
  TimePoint until = kNever;
  for (;;) {
    std::optional<std::string_view> rest = session_.socket.write(unsent);
    if (!rest) {
      if (session_.socket.isOpen()) session_.hasClientEnded = true;
      co_return false;
    }
    if (rest->empty()) co_return true;
    if (rest->size() < unsent.size() || until == kNever) until = writeDeadline();
    if (context_.registry.isDraining()) until = std::min(until, drainDeadline());
    unsent = *rest;
    bool isWritable = co_await waitUntilWritable(until);
    if (!isWritable) co_return false;
  }
}

// A client may read slowly: it gets writeProgressTimeout after each part that it reads. It is also
// given until the latest deadline of its responses, limited to messageTimeout from now.
TimePoint SessionWriter::writeDeadline() const {
  TimePoint now = context_.scheduler.now();
  return std::max(now + context_.limits.writeProgressTimeout,
                  std::min(lastResponseDeadline(), now + context_.limits.messageTimeout));
}

// While the proxy drains, a slow client has until the latest deadline of its responses, and at
// least kDrainLinger from the beginning of the drain.
TimePoint SessionWriter::drainDeadline() const {
  return std::max(lastResponseDeadline(), context_.registry.drainingSince() + kDrainLinger);
}

TimePoint SessionWriter::lastResponseDeadline() const {
  TimePoint last = kNever;
  for (TimePoint deadline : session_.sending.responseDeadlines) last = std::max(last, deadline);
  return last;
}

// A client that doesn't read occupies a connection, so after writeProgressTimeout without progress
// its session may be closed to make room.
runtime::Task<bool> SessionWriter::waitUntilWritable(TimePoint until) {
  runtime::Event& writable = session_.socket.writable;
  TimePoint evictableFrom = std::min(
      until, context_.scheduler.now() + context_.limits.writeProgressTimeout);
  bool isWritable = co_await writable.wait(evictableFrom);
  if (!isWritable && evictableFrom < until)
    isWritable = co_await context_.registry.wait(session_, writable, WaitFor::close, until);
  if (isWritable) co_return true;
  // If all deadlines have passed, the unsent responses count as abandoned by the client.
  if (areResponsesOverdue()) session_.hasClientEnded = true;
  session_.close(CloseReason::writeFailed);
  co_return false;
}

bool SessionWriter::areResponsesOverdue() const {
  auto areOverdue = [&](const std::vector<TimePoint>& deadlines) {
    return std::all_of(deadlines.begin(), deadlines.end(),
                       [&](TimePoint deadline) { return deadline <= context_.scheduler.now(); });
  };
  return areOverdue(session_.sending.responseDeadlines) &&
         areOverdue(session_.queued.responseDeadlines);
}

void SessionWriter::countResponses() {
  std::vector<TimePoint>& deadlines = session_.sending.responseDeadlines;
  context_.counters.answered += deadlines.size();
  for (TimePoint deadline : deadlines) {
    bool isLate = context_.scheduler.now() > deadline + request::kLateAnswerGrace;
    if (isLate) ++context_.counters.answeredLate;
  }
  deadlines.clear();
}

void SessionWriter::reuseBuffer(bool isWritten) {
  std::string& written = session_.sending.bytes;
  if (written.capacity() > kReadAheadBytes) {
    std::string().swap(written);
  } else if (isWritten) {
    session_.queued.bytes = std::exchange(written, {});
    session_.queued.bytes.clear();
  }
}

}  // namespace reedchute::client
