// The clients: the listening socket and a session for each connection.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "pg/messages.h"
#include "sched/socket.h"
#include "stages/statement.h"

namespace reedchute::peers {

// Where sessions bring their queries.
class Desk {
 public:
  virtual ~Desk() = default;
  // Takes a query. Either the answer is ready at once and is put into `reply`, or the statement's index is
  // returned and the asker gets its answer later.
  virtual int query(std::string_view text, stages::Asker& asker, std::string& reply) = 0;
  virtual void left(int stmt) = 0;  // the client went away in the middle
};

class Clients {
 public:
  struct Limits {
    std::size_t sessions = 0;
    Span linger;    // that a refused client is given to read why
    Span patience;  // that a client is given to read an answer
    Span grace;     // within which one that has just come is likely to speak
    Span silence;   // that a client is given to say what it wants, and to finish a message
    Span idle;      // after which an idle connection goes where many are held
    std::size_t idleMost = 0;  // connections that are kept between two queries
    std::size_t bytes = 0;  // that the buffers of all sessions together may hold
  };

  Clients(sched::Scheduler& s, Desk& desk, Limits limits);
  ~Clients();

  // Accepts until stopListening() and returns the port; throws where the address can't be had.
  int listen(const sockaddr_in& address);
  void stopListening();
  // From now on sessions end when they are idle, at once or after their answer.
  void sendAway();
  std::size_t sessions() const { return sessions_.size(); }

 private:
  class Session;

  sched::Task<> accept();
  sched::Task<> serve(std::unique_ptr<Session> s, bool turnAway);
  pg::Framed greet(Session& s);            // takes a startup message, if one is there
  sched::Task<bool> readMore(Session& s);  // false: the session is over, as with the next
  sched::Task<bool> take(Session& s, pg::Message m);
  sched::Task<> answerOwed(Session& s);  // returns at once where none is
  sched::Task<> letRead(Session& s);
  sched::Task<bool> wait(Session& s, std::list<Session*>& among, TimePoint until);
  bool makeRoom();
  void closeLongest(std::list<Session*>& among);  // the one that has waited longest; there is one
  std::size_t held() const;  // bytes, in the buffers of all sessions

  sched::Scheduler& scheduler_;
  Desk& desk_;
  Limits limits_;
  std::unique_ptr<sched::Descriptor> listener_;
  std::list<Session*> sessions_;
  // Those that wait for their client, the one that has waited longest first: between two queries; before its
  // first or in the middle of a message; to have its last word read.
  std::list<Session*> idle_, unheard_, dismissed_;
  bool away_ = false;
  std::size_t turning_ = 0;  // clients that are being turned away
};

}  // namespace reedchute::peers
