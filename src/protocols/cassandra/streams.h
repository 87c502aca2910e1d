// The streams of one connection to a store. Tracks which request uses each stream and whether it is
// parked, being prepared or sent, and which streams are orphaned: their request has ended, but the
// response may still arrive. No I/O, no clock.
//
// Each stream id is used for one frame only, so a response that arrives late or a second time can't
// be mistaken for the response to another frame. When most ids are used up, the connection has to
// be replaced.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocols/cassandra/prepared_statements.h"
#include "request/upstream_request.h"

namespace reedchute::protocols::cassandra {

class Streams {
 public:
  enum class State {
    parked,     // its request waits until another request has prepared a text, or until the
                // preparation limit allows preparing it
    preparing,  // a text is being prepared for its request
    sent,       // its request is queued for writing or written
    orphan,     // its request has ended; the response may still arrive
  };
  struct Stream {
    State state = State::parked;
    request::UpstreamRequest* request = nullptr;
    std::string preparingId;            // the proxy's id of the text that is being prepared
    bool holdsPreparationSlot = false;  // counted by the store's PreparationLimiter
    std::uint64_t endOffset = 0;  // where the request ends in the connection's output, in bytes
    int repreparations = 0;       // number of Unprepared errors handled
  };

  // Ids 0 to 32767 of the protocol.
  static constexpr int kIdCount = 32'768;
  // Of the ids, those left to requests that are on the connection when it stops taking new ones.
  static constexpr int kReservedIds = kIdCount / 2;

  // `capacity`: the maximum number of streams in use.
  explicit Streams(std::size_t capacity) : capacity_(capacity) {}

  bool isFull() const { return streams_.size() >= capacity_; }
  // Whether the connection should take no further requests, ever.
  bool isUsedUp() const { return nextId_ >= kIdCount - kReservedIds; }
  // Streams in use, by requests or as orphans.
  std::size_t usedCount() const { return streams_.size(); }
  std::size_t requestCount() const { return requestCount_; }
  std::size_t orphanCount() const { return usedCount() - requestCount_; }

  // Assigns a new stream to a request. There must be one: check isFull() first.
  int assign(request::UpstreamRequest* request);
  // Moves a request to a new stream and returns its id, or -1 if all ids are used up. To be called
  // once a response to a frame has arrived and the request needs another frame.
  int renew(int stream);
  // A stream in use.
  Stream& at(int stream) { return streams_.at(stream); }
  const Stream& at(int stream) const { return streams_.at(stream); }
  bool isInUse(int stream) const { return streams_.contains(stream); }
  // Whether the stream was in use and is no more.
  bool hasEnded(int stream) const { return stream >= 0 && stream < nextId_ && !isInUse(stream); }
  // Detaches the request from the stream. If `responseMayCome`, the stream is orphaned until
  // release(), otherwise it has ended.
  void endRequest(int stream, bool responseMayCome);
  // Ends an orphaned stream, whose response has arrived.
  void release(int stream) { streams_.erase(stream); }
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
  const std::size_t capacity_;
  int nextId_ = 0;
  std::map<int, Stream> streams_;  // in use, by id
  std::set<std::string> preparing_;
  std::size_t requestCount_ = 0;
};

}  // namespace reedchute::protocols::cassandra
