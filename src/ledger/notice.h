// The kinds of wire::Notice, which are events that may affect the totals.
#pragma once

#include <cstdint>

namespace reedchute::ledger {

enum class NoticeKind : std::uint32_t {
  entriesLost = 1,
  clockJumped = 2,
  tornTailTruncated = 3,
  restarted = 4
};

}  // namespace reedchute::ledger
