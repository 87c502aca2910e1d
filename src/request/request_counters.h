// Counts of statements by how they ended, over all client protocols.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace reedchute::request {

// Grace period after a statement's deadline. A response written after it counts as `answeredLate`,
// and a client that disconnects after it without a response doesn't count as `clientGone`.
inline constexpr Duration kLateAnswerGrace{500'000};

// Each received statement is either answered, or abandoned by its client, or outstanding. If the
// counts don't add up, a statement ended without its complete response.
struct RequestCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;      // responses passed to the kernel completely
  std::uint64_t clientGone = 0;    // disconnected before the response and within the grace
  std::uint64_t answeredLate = 0;  // those of `answered` written after the grace

  // The number of statements not accounted for. `outstanding`: statements that are open or whose
  // responses are being written.
  std::int64_t missing(std::size_t outstanding) const {
    return static_cast<std::int64_t>(received - answered - clientGone - outstanding);
  }
};

}  // namespace reedchute::request
