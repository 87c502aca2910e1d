// Writes a session's output to its client, at the client's pace, and counts the responses that the
// kernel has taken whole.
#pragma once

#include "client/session.h"
#include "client/session_context.h"

namespace reedchute::client {

class SessionWriter {
 public:
  SessionWriter(Session& session, const SessionContext& context)
      : session_(session), context_(context) {}

  // Writes all that is queued, also what is queued meanwhile. False where the client didn't take it
  // in time, or the connection has ended.
  runtime::Task<bool> flush();

 private:
  runtime::Task<bool> writeSending();
  runtime::Task<bool> waitUntilWritable(TimePoint until);
  TimePoint writeDeadline() const;
  TimePoint drainDeadline() const;
  TimePoint lastResponseDeadline() const;
  bool areResponsesOverdue() const;
  void countResponses();
  void reuseBuffer(bool isWritten);

  Session& session_;
  const SessionContext& context_;
};

}  // namespace reedchute::client
