// Loaded into the front by tests/machine.cpp. SHIFTED_CLOCK names a file whose eight bytes are microseconds
// by which the wall clock is shifted; the monotonic clock stays as it is, as it does where somebody sets a
// machine's clock. With WAIT_REFUSED epoll_pwait2 is refused, as by a filter that doesn't know it.
#include <fcntl.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>

namespace {

const std::atomic<std::int64_t>* shift() {
  static const std::atomic<std::int64_t>* at = [] {
    const char* path = std::getenv("SHIFTED_CLOCK");
    int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    void* map = fd < 0 ? MAP_FAILED : mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, fd, 0);
    if (fd >= 0) close(fd);
    return map == MAP_FAILED ? nullptr : static_cast<const std::atomic<std::int64_t>*>(map);
  }();
  return at;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* t) noexcept {
  int failed = static_cast<int>(syscall(SYS_clock_gettime, clock, t));
  if (failed || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE) || !shift()) return failed;
  std::int64_t ns = t->tv_nsec + shift()->load() * 1000;
  std::int64_t s = ns / 1'000'000'000 - (ns % 1'000'000'000 < 0);
  t->tv_sec += s, t->tv_nsec = ns - s * 1'000'000'000;
  return 0;
}

int gettimeofday(timeval* __restrict t, void*) noexcept {
  timespec now{};
  if (clock_gettime(CLOCK_REALTIME, &now) != 0) return -1;
  t->tv_sec = now.tv_sec, t->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* to) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (to) *to = now.tv_sec;
  return now.tv_sec;
}

int epoll_pwait2(int epoll, epoll_event* events, int most, const timespec* left, const sigset_t* signals) {
  if (!std::getenv("WAIT_REFUSED"))
    return static_cast<int>(syscall(SYS_epoll_pwait2, epoll, events, most, left, signals, _NSIG / 8));
  errno = EPERM;
  return -1;
}
}
