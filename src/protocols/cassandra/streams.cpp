#include "protocols/cassandra/streams.h"

namespace reedchute::protocols::cassandra {

Streams::Streams(std::size_t capacity) : streams_(capacity) {
  for (std::size_t k = 0; k < capacity; ++k) free_.push_back(static_cast<int>(k));
}

int Streams::assign(request::UpstreamRequest* request) {
  int stream = free_.front();
  free_.pop_front();
  at(stream) = {};
  at(stream).state = State::parked;
  at(stream).request = request;
  ++requestCount_;
  return stream;
}

void Streams::endRequest(int stream, bool responseMayCome) {
  Stream& entry = at(stream);
  if (entry.state == State::preparing) endPreparing(stream);
  entry.request = nullptr;
  --requestCount_;
  entry.state = responseMayCome ? State::orphan : State::free;
  if (!responseMayCome) free_.push_back(stream);
}

void Streams::release(int stream) {
  at(stream).state = State::free;
  free_.push_back(stream);
}

std::vector<int> Streams::streamsWithRequest() const {
  std::vector<int> all;
  for (std::size_t k = 0; k < streams_.size(); ++k)
    if (streams_[k].request) all.push_back(static_cast<int>(k));
  return all;
}

std::vector<int> Streams::parkedStreams() const {
  std::vector<int> all;
  for (std::size_t k = 0; k < streams_.size(); ++k)
    if (streams_[k].state == State::parked) all.push_back(static_cast<int>(k));
  return all;
}

void Streams::beginPreparing(int stream, const std::string& id) {
  Stream& entry = at(stream);
  entry.state = State::preparing;
  entry.preparingId = id;
  preparing_.insert(id);
}

void Streams::endPreparing(int stream) {
  Stream& entry = at(stream);
  preparing_.erase(entry.preparingId);
  entry.preparingId.clear();
  entry.state = State::parked;
}

}  // namespace reedchute::protocols::cassandra
