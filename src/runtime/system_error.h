// Errors of system calls as exceptions.
#pragma once

#include <cerrno>
#include <system_error>

namespace reedchute::runtime {

// Throws std::system_error with the current errno; `what` says what could not be done.
[[noreturn]] inline void throwErrno(const char* what) {
  throw std::system_error(errno, std::generic_category(), what);
}

}  // namespace reedchute::runtime
