// Errors of system calls.
#pragma once

#include <cerrno>
#include <system_error>

namespace reedchute::runtime {

// Throws std::system_error with the current errno; `what` says what could not be done.
[[noreturn]] inline void throwErrno(const char* what) {
  throw std::system_error(errno, std::generic_category(), what);
}

// Whether the call that failed with this error may succeed when it is made again.
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
