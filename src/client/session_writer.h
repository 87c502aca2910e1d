// Writes a session's output as fast as the client reads it, and counts the responses that have been
// written completely to the kernel.
#pragma once

#include "client/session.h"
#include "client/session_context.h"

namespace reedchute::client {

class SessionWriter {
 public:
  SessionWriter(Session& session, const SessionContext& context)
      : session_(session), context_(context) {}

  // Writes all queued output, including output queued meanwhile. False if the client didn't read it
  // in time or the connection has ended.
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
