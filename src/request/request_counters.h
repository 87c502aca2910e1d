// Counts of statements by what became of them, over all client protocols.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace reedchute::request {

// A response up to so long after its deadline counts as answered, if late; a later one as lost.
inline constexpr Duration kLateAnswerGrace{500'000};

// Each statement that was received is answered, or its client went before, or it is outstanding.
// Where the sum doesn't close, a statement ended without its whole response.
struct RequestCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;      // to the last byte handed to the kernel
  std::uint64_t clientGone = 0;    // before the response and before the deadline
  std::uint64_t answeredLate = 0;  // of the answered, those past their grace

  // `outstanding`: statements that are open, or whose responses are being written.
  std::int64_t missing(std::size_t outstanding) const {
    return static_cast<std::int64_t>(received - answered - clientGone - outstanding);
  }
};

}  // namespace reedchute::request
