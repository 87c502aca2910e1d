#include "protocols/cassandra/streams.h"

namespace reedchute::protocols::cassandra {

Streams::Streams(std::size_t capacity) : streams_(capacity) {
  for (std::size_t k = 0; k < capacity; ++k) free_.push_back(static_cast<int>(k));
}

int Streams::begin(request::UpstreamRequest* request) {
  int stream = free_.front();
  free_.pop_front();
  at(stream) = {};
  at(stream).state = State::parked;
  at(stream).request = request;
  ++requests_;
  return stream;
}

void Streams::end(int stream, bool responseMayCome) {
  Stream& here = at(stream);
  if (here.state == State::preparing) endPreparing(stream);
  here.request = nullptr;
  --requests_;
  here.state = responseMayCome ? State::orphan : State::free;
  if (!responseMayCome) free_.push_back(stream);
}

void Streams::release(int stream) {
  at(stream).state = State::free;
  free_.push_back(stream);
}

std::vector<int> Streams::withRequest() const {
  std::vector<int> all;
  for (std::size_t k = 0; k < streams_.size(); ++k)
    if (streams_[k].request) all.push_back(static_cast<int>(k));
  return all;
}

std::vector<int> Streams::parked() const {
  std::vector<int> all;
  for (std::size_t k = 0; k < streams_.size(); ++k)
    if (streams_[k].state == State::parked) all.push_back(static_cast<int>(k));
  return all;
}

void Streams::beginPreparing(int stream, const std::string& id) {
  Stream& here = at(stream);
  here.state = State::preparing;
  here.preparingId = id;
  preparing_.insert(id);
}

void Streams::endPreparing(int stream) {
  Stream& here = at(stream);
  preparing_.erase(here.preparingId);
  here.preparingId.clear();
  here.state = State::parked;
}

}  // namespace reedchute::protocols::cassandra
