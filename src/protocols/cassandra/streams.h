// The streams of one connection to a store. Tracks which request uses each stream and whether it is
// parked, being prepared or sent, and which streams are orphaned: their request has ended, but the
// response may still arrive. No I/O, no clock.
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
    parked,     // its request waits until another request has prepared a text, or until the
                // preparation limit allows preparing it
    preparing,  // a text is being prepared for its request
    sent,       // its request is queued for writing or written
    orphan,     // its request has ended; the response may still arrive
  };
  struct Stream {
    State state = State::free;
    request::UpstreamRequest* request = nullptr;
    std::string preparingId;            // the proxy's id of the text that is being prepared
    bool holdsPreparationSlot = false;  // counted by the store's PreparationLimiter
    std::uint64_t endOffset = 0;  // where the request ends in the connection's output, in bytes
    int repreparations = 0;       // number of Unprepared errors handled
  };

  explicit Streams(std::size_t capacity);

  bool isFull() const { return free_.empty(); }
  // Streams in use, by requests or as orphans.
  std::size_t usedCount() const { return streams_.size() - free_.size(); }
  std::size_t requestCount() const { return requestCount_; }
  std::size_t orphanCount() const { return usedCount() - requestCount_; }

  // Assigns a free stream to a request. There must be one: check isFull() first.
  int assign(request::UpstreamRequest* request);
  Stream& at(int stream) { return streams_[static_cast<std::size_t>(stream)]; }
  const Stream& at(int stream) const { return streams_[static_cast<std::size_t>(stream)]; }
  bool isValid(int stream) const {
    return stream >= 0 && static_cast<std::size_t>(stream) < streams_.size();
  }
  // Detaches the request from the stream. If `responseMayCome`, the stream is orphaned until
  // release(), otherwise it is free.
  void endRequest(int stream, bool responseMayCome);
  // Frees an orphaned stream, whose response has arrived.
  void release(int stream);
  // The streams that have a request, in ascending order.
  std::vector<int> streamsWithRequest() const;
  // The streams whose state is `parked`, in ascending order.
  std::vector<int> parkedStreams() const;

  // Whether this text is being prepared on this connection. `id`: the proxy's id of the text.
  bool isPreparing(const std::string& id) const { return preparing_.contains(id); }
  void beginPreparing(int stream, const std::string& id);
  // The stream is parked again.
  void endPreparing(int stream);

 private:
  std::vector<Stream> streams_;
  std::deque<int> free_;  // the one released longest ago is assigned first
  std::set<std::string> preparing_;
  std::size_t requestCount_ = 0;
};

}  // namespace reedchute::protocols::cassandra
