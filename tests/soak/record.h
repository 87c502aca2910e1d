// Event log of a soak run. Each process appends one line per event, with the time of the monotonic
// clock, which all processes of a machine share.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace soak {

// Microseconds of the monotonic clock. Uses the system call directly, because the fault library
// replaces the C library's clock functions.
std::int64_t monotonicUs();
// Microseconds of the wall clock, without the shift that the fault library applies.
std::int64_t wallUs();

enum class Kind {
  // Recorded by clients.
  clientSent,      // a statement's last byte was written
  clientAnswered,  // code: an Answer
  clientLeft,      // the client closed its connection
  clientSawEnd,    // the front closed the connection
  clientStopped,   // the client stopped in the middle of a message and keeps the connection open
  // Recorded by the fault library at the system calls of a front.
  frontAccepted,
  frontClosed,   // value: bytes read from this client
  attemptBegan,  // value: the time left that was sent to the store, in ms
  attemptWhole,  // the last byte of the attempt was written
  // Recorded by the endpoint list service.
  listTold,  // value: the version of the endpoint list that was sent to the front
  // Recorded by stores.
  storeReceived,  // the whole statement was received; value: age of the store's data in us
  storeRan,
  storeReplied,  // code: an Answer; `failed`: the statement may have run
  // Recorded by the controller.
  storeStarted,  // code: its group; value: 0 if it starts cold; offset: the endpoint list version
                 // that contains the start
  storeKilled,
  storeDraining,  // value: the endpoint list version that contains the drain
  storePrimary,
  storeFailed,  // a cold store got more than it bears and ended; value: statements in its window
  frontStarted,
  frontTerminated,
  frontKilled,  // code: 1 if it had not exited in time after SIGTERM
  frontExited,  // code: its wait status
  trouble,      // value: index of the disruption (Troubles::kAll)
};

enum class Answer : int { served = 0, refused, failed, miss, garbage };

// Whether statements of a workload may run more than once.
enum class Effect : int { repeatable = 0, deduplicated, once };

struct Event {
  std::int64_t at = 0;
  Kind kind = Kind::trouble;
  std::uint64_t statement = 0;
  int front = -1;
  int store = -1;
  int port = 0;  // client events: the client's local port; attempts: the store's port
  int code = 0;
  std::int64_t value = 0;
  std::int64_t deadline = 0;  // clientSent: monotonic clock, us
  std::int64_t offset = 0;    // clientSent: bytes written by the client on this connection so far
};

const char* nameOf(Kind kind);

// Appends events to a file. Each line is a single write in append mode, so that lines of several
// threads, and of processes forked from this one, don't interleave.
class Recorder {
 public:
  // Throws std::runtime_error if the file can't be opened.
  explicit Recorder(const std::string& path);
  // Fills in the current time if `event.at` is 0.
  void add(Event event) const;

 private:
  int file_ = -1;
};

// Returns the events of all *.events files of a folder, ordered by time.
std::vector<Event> readEvents(const std::string& folder);
// Formats an event as one line of text.
std::string describe(const Event& event);

}  // namespace soak
