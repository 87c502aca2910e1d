// Arrival times of the buffered bytes of one connection. Does no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/time.h"

namespace reedchute::client {

class ArrivalTimes {
 public:
  // Appends `count` bytes, none of which arrived before `at`.
  void append(std::size_t count, TimePoint at) {
    if (count == 0) return;
    end_ += count;
    if (!segments_.empty() && segments_.back().arrivedAt >= at)
      segments_.back().end = end_;
    else
      segments_.push_back({end_, at});
    if (segments_.size() > kMaxSegments) mergeClosest();
  }
  // Removes the first `count` bytes.
  void consume(std::size_t count) {
    begin_ += count;
    auto first = std::find_if(segments_.begin(), segments_.end(),
                              [&](const Segment& segment) { return segment.end > begin_; });
    segments_.erase(segments_.begin(), first);
    if (begin_ != end_) return;
    begin_ = 0;
    end_ = 0;
  }
  // Returns when the last of the first `count` bytes arrived. `count` is at least 1 and at most the
  // number of bytes held.
  TimePoint arrivalOf(std::size_t count) const {
    auto segment = std::find_if(segments_.begin(), segments_.end(),
                                [&](const Segment& one) { return one.end >= begin_ + count; });
    return segment == segments_.end() ? kNever : segment->arrivedAt;
  }

 private:
  static constexpr std::size_t kMaxSegments = 64;
  struct Segment {
    std::size_t end;  // byte offset; starts over at 0 whenever all bytes are consumed
    TimePoint arrivedAt;
  };

  // Bounds the memory used for a client that sends single bytes (test arrivals). The merged segment
  // gets the earlier time of the two, as a timeout that starts too early does no harm.
  void mergeClosest() {
    auto gapBefore = [&](std::size_t k) {
      return segments_[k].arrivedAt - segments_[k - 1].arrivedAt;
    };
    std::size_t closest = 1;
    for (std::size_t k = 2; k < segments_.size(); ++k)
      if (gapBefore(k) < gapBefore(closest)) closest = k;
    segments_[closest - 1].end = segments_[closest].end;
    segments_.erase(segments_.begin() + static_cast<std::ptrdiff_t>(closest));
  }

  std::vector<Segment> segments_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace reedchute::client
