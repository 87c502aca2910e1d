// When the bytes of one connection came, for those that are not done with yet. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/time.h"

namespace reedchute::client {

class ArrivalTimes {
 public:
  // `count` bytes more, none of which came before `at`.
  void append(std::size_t count, TimePoint at) {
    if (count == 0) return;
    end_ += count;
    if (!marks_.empty() && marks_.back().at >= at)
      marks_.back().end = end_;
    else
      marks_.push_back({end_, at});
    // Danger: one that sends a byte at a time would have a mark for each. The two that lie closest
    // become one, and the earlier time holds for both: a clock that starts too early is harmless.
    if (marks_.size() <= kMostMarks) return;
    std::size_t closest = 1;
    for (std::size_t k = 2; k < marks_.size(); ++k)
      if (marks_[k].at - marks_[k - 1].at < marks_[closest].at - marks_[closest - 1].at)
        closest = k;
    marks_[closest - 1].end = marks_[closest].end;
    marks_.erase(marks_.begin() + static_cast<std::ptrdiff_t>(closest));
  }
  // The first `count` bytes are done with.
  void consume(std::size_t count) {
    begin_ += count;
    auto first = std::find_if(marks_.begin(), marks_.end(),
                              [&](const Mark& m) { return m.end > begin_; });
    marks_.erase(marks_.begin(), first);
    if (begin_ == end_) begin_ = end_ = 0;
  }
  // When the last of the first `count` bytes came; there are so many, and at least one.
  TimePoint arrivalOf(std::size_t count) const {
    auto mark = std::find_if(marks_.begin(), marks_.end(),
                             [&](const Mark& m) { return m.end >= begin_ + count; });
    return mark == marks_.end() ? kNever : mark->at;
  }

 private:
  static constexpr std::size_t kMostMarks = 64;
  struct Mark {
    std::size_t
        end;  // of the bytes that had come by then, counted from the first that wasn't done with
    TimePoint at;
  };
  std::vector<Mark> marks_;
  std::size_t begin_ = 0, end_ = 0;
};

}  // namespace reedchute::client
