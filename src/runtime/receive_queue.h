// The state of the kernel's receive queue of one connection.
#pragma once

#include <cstddef>

namespace reedchute::runtime {

struct ReceiveQueue {
  std::size_t unreadBytes = 0;
  std::size_t bufferBytes = 0;  // SO_RCVBUF, which includes the kernel's bookkeeping overhead
};

}  // namespace reedchute::runtime
