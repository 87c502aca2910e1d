// Runs one session: reads requests, has them decoded, writes responses, and closes the connection
// in such a way that the client can still read the last output.
#pragma once

#include "client/session.h"
#include "client/session_context.h"
#include "client/session_writer.h"

namespace reedchute::client {

class SessionLoop {
 public:
  SessionLoop(Session& session, const SessionContext& context)
      : session_(session), context_(context), writer_(session, context) {}

  // Returns once the session has ended. May throw.
  runtime::Task<> run();
  // Withdraws the statements that are still pending, and counts each response that the client
  // didn't receive. To be called when the session has ended, also after an exception.
  void abandonResponses();

 private:
  runtime::Task<> serveRequests();
  bool isServing() const;
  bool decodeNext();
  bool shouldBatchResponses() const;
  runtime::Task<bool> readMore();  // false: the client has closed the connection
  runtime::Task<> waitForRequest();
  runtime::Task<> waitForMessage();
  runtime::Task<> waitForResponse();
  std::size_t maxMessageBytes() const;
  std::size_t maxReadAheadBytes() const;
  TimePoint messageDeadline() const;
  void disconnectSlowClient();
  void checkAllDecoded() const;
  TimePoint lingerDeadline(TimePoint lingerStart) const;
  runtime::Task<> closeAfterFinalMessage();
  runtime::Task<> closeLeavingInputUnread();
  runtime::Task<> yieldToOthers();

  Session& session_;
  const SessionContext& context_;
  SessionWriter writer_;
};

}  // namespace reedchute::client
