// The streams of one connection to a store: whose request waits to be written, to be prepared or to
// be answered, and which streams belong to nobody any more until their response comes. No I/O, no
// clock.
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
    parked,     // its request waits until a text is prepared by another, or may be prepared
    preparing,  // a text is being prepared for its request
    sent,       // its request is being written or has been
    orphan,     // its request has ended; the response may still come
  };
  struct Stream {
    State state = State::free;
    request::UpstreamRequest* request = nullptr;
    std::string preparingId;       // the proxy's id of the text that is being prepared
    bool isPaced = false;          // it counts in the pace of preparations
    std::uint64_t sentAtByte = 0;  // bytes that are written once the request's last one is
    int repreparations = 0;        // times that the store said the text isn't prepared
  };

  explicit Streams(std::size_t capacity);

  bool isFull() const { return free_.empty(); }
  // Streams that are taken, by requests or by responses that are still to come.
  std::size_t takenCount() const { return streams_.size() - free_.size(); }
  std::size_t requestCount() const { return requests_; }
  std::size_t orphanCount() const { return takenCount() - requests_; }

  // A stream for a request; there has to be a free one.
  int begin(request::UpstreamRequest* request);
  Stream& at(int stream) { return streams_[static_cast<std::size_t>(stream)]; }
  const Stream& at(int stream) const { return streams_[static_cast<std::size_t>(stream)]; }
  bool isValid(int stream) const {
    return stream >= 0 && static_cast<std::size_t>(stream) < streams_.size();
  }
  // The stream's request has ended. `responseMayCome`: the stream isn't free before that.
  void end(int stream, bool responseMayCome);
  // An orphan's response has come.
  void release(int stream);
  // The streams that have a request, in order.
  std::vector<int> withRequest() const;
  std::vector<int> parked() const;

  // Is this text being prepared on this connection?
  bool isPreparing(const std::string& id) const { return preparing_.contains(id); }
  void beginPreparing(int stream, const std::string& id);
  void endPreparing(int stream);

 private:
  std::vector<Stream> streams_;
  std::deque<int> free_;  // the one released longest ago is taken first
  std::set<std::string> preparing_;
  std::size_t requests_ = 0;
};

}  // namespace reedchute::protocols::cassandra
