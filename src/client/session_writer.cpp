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
    // More may be queued while this is written, which would move the bytes away.
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

// A client may read slowly, and has asked for its response within its own deadline: it has some
// time for each part that it takes, and at least until the last of its deadlines.
TimePoint SessionWriter::writeDeadline() const {
  TimePoint now = context_.scheduler.now();
  return std::max(now + context_.limits.writeProgressTimeout,
                  std::min(lastResponseDeadline(), now + context_.limits.messageTimeout));
}

// While the proxy drains, a client that reads slowly has what it has asked for, and no more.
TimePoint SessionWriter::drainDeadline() const {
  return std::max(lastResponseDeadline(), context_.registry.drainingSince() + kDrainLinger);
}

TimePoint SessionWriter::lastResponseDeadline() const {
  TimePoint last = kNever;
  for (TimePoint deadline : session_.sending.responseDeadlines) last = std::max(last, deadline);
  return last;
}

// A client that reads nothing holds a place: once it has made no progress for a while it may be
// closed to make room.
runtime::Task<bool> SessionWriter::waitUntilWritable(TimePoint until) {
  runtime::Event& writable = session_.socket.writable;
  TimePoint evictableFrom = std::min(
      until, context_.scheduler.now() + context_.limits.writeProgressTimeout);
  bool isWritable = co_await writable.wait(evictableFrom);
  if (!isWritable && evictableFrom < until)
    isWritable = co_await context_.registry.wait(session_, writable, WaitFor::close, until);
  if (isWritable) co_return true;
  // A client that didn't read in its time has gone, as far as its responses go.
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
    written = {};
  } else if (isWritten) {
    session_.queued.bytes = std::exchange(written, {});
    session_.queued.bytes.clear();
  }
}

}  // namespace reedchute::client
