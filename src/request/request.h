// What doors, stages and peers hand to each other: statements as they were taken, jobs for stores,
// and answers. It knows of no protocol; a protocol's own forms are behind StatementPayload and in
// an answer's bytes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "decision/engine.h"

namespace reedchute::upstream {
class UpstreamConnection;
}

namespace reedchute::request {

// In whose form a statement came: a small index into the stores' table of versions, where each
// version that can't be carried on another's connection is a version of its own.
using ProtocolVersion = int;

// A statement as its protocol has it. Its executions are worded from it when they are written.
class StatementPayload {
 public:
  virtual ~StatementPayload() = default;
  virtual std::size_t size() const = 0;  // bytes, for what memory allows
};

// The ids of statements that are owed an answer.
using OpenIds = std::unordered_set<std::string>;

// What a store gave: its own bytes, and what their protocol says of them beside (frame flags,
// opcode).
struct Answer {
  std::string bytes;
  unsigned form = 0;
};

// The client connection that a statement came on. It gets one of these for each, once; `requestId`
// is what it gave in with the statement.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // `by`: the store that gave the answer, `position` what it says of its data.
  virtual void completed(int requestId, Answer answer, int by,
                         std::optional<WallTime> position) = 0;
  virtual void rejected(int requestId, Duration retryAfter) = 0;
  virtual void aborted(int requestId) = 0;
  // Has it gone by now, with whatever it was to be told?
  virtual bool gone() const = 0;
};

inline constexpr std::size_t kMostTenant = 64;  // bytes of a tenant's name

// A statement that was understood. Its client's time runs from the moment in which its last byte
// came, however long it stood behind others.
struct ReceivedStatement {
  TimePoint came;
  Duration timeout;
  std::string id;  // empty: none was given
  ProtocolVersion version = 0;
  std::unique_ptr<StatementPayload> payload;
  Arrival arrival;
  std::string tenant;      // as it was told, also where the settings know no such one
  std::uint64_t mark = 0;  // a hash of tenant, group and mark; 0: it has none
};

// A statement's final answer, as use is counted.
struct UsageRecord {
  std::string_view tenant;
  int workload = -1;
  std::int64_t group = -1;  // as the list names it
  bool completed = false,
       rejected = false;  // neither: aborted, or an error that blames the statement
  std::uint64_t bytesIn = 0, bytesOut = 0, mark = 0;
  std::uint32_t executions = 0, protocol = 0;
};

// Whoever counts use. It is told before the answer goes to the client.
class UsageMeter {
 public:
  virtual ~UsageMeter() = default;
  virtual bool admits()
      const = 0;  // false: statements are to be refused, as they couldn't be counted
  virtual void answered(const UsageRecord& m) = 0;
};

// The hash that stands for a mark; never 0.
std::uint64_t markOf(std::string_view tenant, std::int64_t group, std::string_view mark);

// What became of all statements. Each that was taken is answered, or its client went before, or it
// is still open or being written: where the sum doesn't close, one ended without its whole answer.
struct RequestCounters {
  std::uint64_t taken = 0;     // by the handler, of every door
  std::uint64_t answered = 0;  // to the last byte handed to the kernel
  std::uint64_t gone = 0;      // their client went before that, and before its time was up
  std::uint64_t late = 0;      // of the answered, those that no client waited for any more

  // `owed`: those that are open or being written.
  std::int64_t missing(std::size_t owed) const {
    return static_cast<std::int64_t>(taken - answered - gone - owed);
  }
};

// STANDING: a request whose answer comes up to so long after its time earns nothing; later it is
// lost.
inline constexpr Duration kStillOwed{500'000};

// Where clients' connections bring what they were asked.
class StatementHandler {
 public:
  virtual ~StatementHandler() = default;
  // The statement's index; or -1, and the sink was told that it is rejected.
  virtual int admit(ReceivedStatement taken, ResponseSink& sink, int requestId) = 0;
  virtual void left(int statement) = 0;  // its client went away, or wants it no more
  // Is there room for more than one statement of a client at a time?
  virtual bool roomy() const = 0;
  // Is what came at that moment still taken, or is this process told to end?
  virtual bool takes(TimePoint came) const = 0;
};

// A load report as a store words it.
struct StoreReport {
  std::optional<WallTime> position;
  std::optional<bool> primary;
};

// As the log words it.
const char* nameOf(AttemptOutcome ending);

// One message to a store and what came of it: an execution of a statement, or a probe.
struct UpstreamRequest {
  int statement = -1;  // -1: a probe
  int execution = -1;
  int store = -1;
  ProtocolVersion version = 0;
  const StatementPayload* payload = nullptr;  // none: a probe
  TimePoint begun, until;
  TimePoint sendBy = kForever;  // not written at all later than this
  // How long the front will still wait for it, for protocols that say so. Danger: a connection
  // takes its time to come up; a store that is told what was left before works on for a client that
  // has gone.
  std::int64_t leftMs(TimePoint now) const {
    return std::max<std::int64_t>(0, (until - now).us / 1000);
  }
  upstream::UpstreamConnection* on = nullptr;  // the connection that it was given to
  std::size_t place = 0;                       // among all jobs
  TimePoint leftAt = kNever;                   // when it began to be written; kNever: it wasn't
  TimePoint wholeAt = kNever;                  // when its last byte was
  std::int64_t toldMs = 0;                     // how long it says that the front waits
  int returns = 0;  // connections that were of no use before it was written
  bool cancelled = false;
  bool unplaced = false;  // this process had no descriptor for its connection: no word on the store
  // what came back
  AttemptOutcome outcome = AttemptOutcome::neverSent;
  Answer answer;  // or an error in its place
  Role role = Role::unknown;
  std::optional<WallTime> position;
  StoreReport report;
};

// Whoever gave out the jobs.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  virtual bool wanted(const UpstreamRequest& job) const = 0;  // is its answer still waited for?
  // May it be written now? To be asked right before it is, and to be followed.
  virtual bool mayLeave(const UpstreamRequest& job, TimePoint now) = 0;
  virtual void ended(UpstreamRequest& job) = 0;  // exactly once a job
};

}  // namespace reedchute::request
