// The life of one session: reads requests, has them decoded, writes responses, and ends the
// connection so that the client sees what it was sent last.
#pragma once

#include "client/session.h"
#include "client/session_context.h"
#include "client/session_writer.h"

namespace reedchute::client {

class SessionLoop {
 public:
  SessionLoop(Session& session, const SessionContext& context)
      : session_(session), context_(context), writer_(session, context) {}

  // Returns once the session is over. May throw.
  runtime::Task<> run();
  // Withdraws the statements that are still pending, and accounts for each response that the
  // client didn't get. To be called when the session is over, however it ended.
  void settle();

 private:
  runtime::Task<> serveRequests();
  bool isServing() const;
  bool decodeNext();
  bool gathersResponses() const;
  runtime::Task<bool> readMore();  // false: the client has ended the connection
  runtime::Task<> waitForRequest();
  runtime::Task<> waitForMessage();
  runtime::Task<> waitForResponse();
  std::size_t maxReadAheadBytes() const;
  TimePoint messageDeadline() const;
  void disconnectSlowClient();
  TimePoint lingerDeadline(TimePoint begun) const;
  runtime::Task<> closeAfterFinalMessage();
  runtime::Task<> closeLeavingInputUnread();
  runtime::Task<> yieldToOthers();

  Session& session_;
  const SessionContext& context_;
  SessionWriter writer_;
};

}  // namespace reedchute::client
