// The streams of one connection to a store, and what may be done on them: who waits to be written,
// to be prepared, to be answered, and which streams belong to nobody any more until their answer
// comes. No I/O, no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "protocols/cassandra/prepared_statements.h"
#include "request/upstream_request.h"

namespace reedchute::protocols::cassandra {

class Streams {
 public:
  enum class State {
    free,
    parked,     // its job waits until a text is prepared by another, or may be prepared
    preparing,  // a text is being prepared for its job
    asked,      // its job is being written or has been
    orphan,     // its job has ended; the answer may still come
  };
  struct Stream {
    State state = State::free;
    request::UpstreamRequest* job = nullptr;
    std::string preparing;        // the front's id of that text
    bool paced = false;           // it counts in the pace of preparations
    std::uint64_t writtenAt = 0;  // bytes that are written once its last one is
    int again = 0;                // times that the store said it isn't prepared
  };

  explicit Streams(std::size_t most);

  bool full() const { return free_.empty(); }
  // Streams that are taken, by jobs or by answers that are still to come.
  std::size_t taken() const { return streams_.size() - free_.size(); }
  std::size_t jobs() const { return jobs_; }
  std::size_t orphans() const { return taken() - jobs_; }

  // A stream for a job; there is a free one.
  int begin(request::UpstreamRequest* job);
  Stream& at(int stream) { return streams_[static_cast<std::size_t>(stream)]; }
  const Stream& at(int stream) const { return streams_[static_cast<std::size_t>(stream)]; }
  bool known(int stream) const {
    return stream >= 0 && static_cast<std::size_t>(stream) < streams_.size();
  }
  // Its job has ended. `answerComes`: the stream isn't free before that.
  void end(int stream, bool answerComes);
  // An orphan's answer has come.
  void freed(int stream);
  // All that have a job, in order.
  std::vector<int> busy() const;
  std::vector<int> parked() const;

  // Is this text being prepared on this connection?
  bool preparing(const std::string& id) const { return preparing_.contains(id); }
  void prepares(int stream, const std::string& id);
  void prepared(int stream);

 private:
  std::vector<Stream> streams_;
  std::deque<int> free_;  // the one freed longest ago is taken first
  std::set<std::string> preparing_;
  std::size_t jobs_ = 0;
};

}  // namespace reedchute::protocols::cassandra
