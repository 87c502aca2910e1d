#include "protocols/cassandra/streams.h"

#include <utility>

namespace reedchute::protocols::cassandra {

int Streams::assign(request::UpstreamRequest* request) {
  int stream = nextId_++;
  streams_[stream].request = request;
  ++requestCount_;
  return stream;
}

int Streams::renew(int stream) {
  if (nextId_ >= kIdCount) return -1;
  int renewed = nextId_++;
  streams_[renewed] = std::move(at(stream));
  streams_.erase(stream);
  return renewed;
}

void Streams::endRequest(int stream, bool responseMayCome) {
  Stream& entry = at(stream);
  if (entry.state == State::preparing) endPreparing(stream);
  entry.request = nullptr;
  --requestCount_;
  entry.state = State::orphan;
  if (!responseMayCome) release(stream);
}

std::vector<int> Streams::streamsWithRequest() const {
  std::vector<int> all;
  for (const auto& [id, stream] : streams_)
    if (stream.request) all.push_back(id);
  return all;
}

std::vector<int> Streams::parkedStreams() const {
  std::vector<int> all;
  for (const auto& [id, stream] : streams_)
    if (stream.state == State::parked) all.push_back(id);
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
