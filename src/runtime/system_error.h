// Helpers for errors of system calls.
#pragma once

#include <cerrno>
#include <system_error>

namespace reedchute::runtime {

// Throws std::system_error with the current errno. `what` describes the operation that failed.
[[noreturn]] inline void throwErrno(const char* what) {
  throw std::system_error(errno, std::generic_category(), what);
}

// Whether a call that failed with this error may succeed when it is retried.
inline bool isTransientError(const std::error_code& code) {
  switch (code.value()) {
    case EADDRINUSE:
    case EAGAIN:
    case EINTR:
    case EIO:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return true;
    default:
      return false;
  }
}

}  // namespace reedchute::runtime
