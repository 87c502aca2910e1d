// The clients of one door: its listening socket and a session for each connection. What is spoken on it is its
// protocol's Talk; the session has the socket, the buffers, the time and the room.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "exchange/exchange.h"
#include "peers/arrivals.h"
#include "sched/socket.h"

namespace reedchute::peers {

// Why a client is told its last word.
enum class Parting {
  fullHouse,   // there is no room for one more
  noMemory,    // its message is too long for what is left
  noStartup,   // it didn't say in time who it is
  unfinished,  // it left a message unfinished
};

// Where a talk says something; a session.
class Line {
 public:
  virtual ~Line() = default;
  virtual void say(std::string bytes) = 0;  // to the client, in order
  // The whole answer to one statement, whose client waits for it until then; in the same order.
  virtual void answer(std::string bytes, TimePoint until) = 0;
  virtual void end() = 0;                   // what was said was the last; it is given time to read it
  virtual void cut() = 0;                   // closes at once
};

// One client's connection in its protocol: takes messages off what came and says what is to be answered. No I/O.
class Talk {
 public:
  virtual ~Talk() = default;
  // Takes one message off the beginning of `bytes`, of which `used` are then done with: none where it is full by now.
  // False where none is whole yet. A garbled one is answered and the line ended. `came`: when each of the bytes did.
  virtual bool take(std::string_view bytes, const Arrivals& came, std::size_t& used) = 0;
  virtual bool greeted() const = 0;
  virtual std::size_t owed() const = 0;  // answers to statements
  virtual bool full() const = 0;         // takes no message before an answer has gone
  virtual std::size_t kept() const { return 0; }  // whole answers to statements that wait for their turn
  virtual void part(Parting why) = 0;    // says the last word
  virtual void left() = 0;               // its client has gone: what is owed is wanted no more
};

// A protocol's unit for its clients.
class Door {
 public:
  virtual ~Door() = default;
  virtual std::unique_ptr<Talk> talk(Line& line) = 0;
  virtual std::size_t mostMessage() const = 0;  // bytes that may have to be gathered
};

class Clients {
 public:
  struct Limits {
    std::size_t sessions = 0;
    Span linger;    // that a refused client is given to read why
    Span patience;  // that a client is given to read a part of what was said
    Span grace;     // within which one that has just come is likely to speak
    Span silence;   // that a client is given to say what it wants, and to finish a message
    Span idle;      // after which an idle connection goes where many are held
    std::size_t idleMost = 0;  // connections that are kept between two queries
    std::size_t bytes = 0;  // that the buffers of all sessions together may hold
  };

  Clients(sched::Scheduler& s, Door& door, exchange::Account& account, Limits limits);
  ~Clients();

  // Returns the port; throws where the address can't be had. Whoever comes waits in the kernel until open(); from
  // then on they are accepted until stopListening().
  int listen(const sockaddr_in& address);
  void open();
  void stopListening();
  // From now on sessions end when they are idle, at once or after their answer.
  void sendAway();
  std::size_t sessions() const { return sessions_.size(); }
  std::size_t saying() const;  // answers to statements that the kernel has not taken whole yet

 private:
  class Session;

  sched::Task<> accept();
  void begin(int fd, TimePoint since);
  sched::Task<> serve(std::unique_ptr<Session> s, bool turnAway);
  sched::Task<> converse(Session& s);
  void settle(Session& s);
  sched::Task<bool> readMore(Session& s);  // false: the session is over
  sched::Task<> answerOwed(Session& s);    // until it takes messages again
  sched::Task<> letRead(Session& s);
  sched::Task<bool> wait(Session& s, sched::Event& on, std::list<Session*>& among, TimePoint until);
  sched::Task<bool> flush(Session& s);
  bool makeRoom();
  void closeLongest(std::list<Session*>& among);  // the one that has waited longest; there is one
  std::size_t held() const;  // bytes, in the buffers of all sessions
  std::size_t mostAhead(const Session& s) const;  // bytes, read while answers are still owed

  sched::Scheduler& scheduler_;
  Door& door_;
  exchange::Account& account_;
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
