// The kinds of wire::Notice: what the ledger noticed and totals may depend on.
#pragma once

#include <cstdint>

namespace reedchute::ledger {

enum class NoticeKind : std::uint32_t {
  entriesLost = 1,
  clockJumped = 2,
  tornTailCut = 3,
  restarted = 4
};

}  // namespace reedchute::ledger
