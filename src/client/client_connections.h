// The clients of one door: its listening socket and a session for each connection. What is spoken
// on it is its protocol's ClientCodec; the session has the socket, the buffers, the time and the
// room.
#pragma once

#include <array>
#include <list>
#include <memory>

#include "client/acceptor.h"
#include "client/client_protocol.h"
#include "client/session.h"
#include "request/request_counters.h"

namespace reedchute::client {

class ClientConnections : private AcceptorHost {
 public:
  struct Limits {
    std::size_t maxSessions = 0;
    Duration linger;                // that a refused client is given to read why
    Duration writeProgressTimeout;  // that a client is given to read a part of what was said
    Duration firstRequestGrace;     // within which one that has just come is likely to speak
    Duration
        messageTimeout;    // that a client is given to say what it wants, and to finish a message
    Duration idleTimeout;  // after which an idle connection goes where many are held
    std::size_t maxIdle = 0;         // connections that are kept between two queries
    std::size_t maxBufferBytes = 0;  // that the buffers of all sessions together may hold
  };

  ClientConnections(runtime::Scheduler& s, ClientProtocol& protocol,
                    request::RequestCounters& account, Limits limits);
  ~ClientConnections() override;

  // Returns the port; throws where the address can't be had. Whoever comes waits in the kernel
  // until open(); from then on they are accepted until stopListening().
  int listen(const sockaddr_in& address);
  void startAccepting();
  runtime::Task<> stopListening();
  // From now on sessions end when they are idle, at once or after their answer.
  void drain();
  std::size_t sessionCount() const { return sessions_.size(); }
  std::size_t responsesBeingWritten()
      const;  // answers to statements that the kernel has not taken whole yet
  // Connections that have ended since the start.
  std::uint64_t closedCount(CloseReason why) const { return ended_[static_cast<std::size_t>(why)]; }

 private:
  void onAccepted(int fd, TimePoint waitedSince) override;
  std::optional<TimePoint> pauseUntil() override;
  void onDescriptorsExhausted() override;
  runtime::Task<> serve(std::unique_ptr<Session> s, bool turnAway);
  runtime::Task<> converse(Session& s);
  void settle(Session& s);
  void noteEnd(Session& s);
  runtime::Task<bool> readMore(Session& s);  // false: the session is over
  runtime::Task<> answerOwed(Session& s);    // until it takes messages again
  runtime::Task<> endAfterLastWord(Session& s);
  runtime::Task<> endAtRest(Session& s);
  runtime::Task<bool> waitAtRest(Session& s);
  runtime::Task<bool> waitForMessage(Session& s);
  runtime::Task<bool> wait(Session& s, runtime::Event& on, std::list<Session*>& among,
                           TimePoint until);
  runtime::Task<bool> flush(Session& s);
  bool evictIdle();
  // The one that has waited longest of those that have sent nothing meanwhile; false where there is
  // none.
  bool closeLongest(std::list<Session*>& among);
  bool atRest(const Session& s) const;
  std::size_t held() const;                       // bytes, in the buffers of all sessions
  std::size_t mostAhead(const Session& s) const;  // bytes, read while answers are still owed

  runtime::Scheduler& scheduler_;
  ClientProtocol& protocol_;
  request::RequestCounters& counters_;
  Limits limits_;
  Acceptor acceptor_;
  std::list<Session*> sessions_;
  // Those that wait for their client, the one that has waited longest first: between two queries;
  // before its first or in the middle of a message; to have its last word read.
  std::list<Session*> idle_, awaitingFirstRequest_, closing_;
  bool away_ = false;
  std::size_t rejecting_ = 0;  // clients that are being turned away
  std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count)> ended_{};
};

}  // namespace reedchute::client
