// Fault library, preloaded into the fronts of the soak. It makes system calls fail at random with
// errors that Linux documents, shifts the wall clock, and records what the front does on its
// connections at the system call itself. Environment: SOAK_FAULTS is the path of the file with the
// front's FrontControl, SOAK_EVENTS the path of its event file, SOAK_FRONT its index, and
// SOAK_SIGNAL the number of a signal that is raised before main.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string_view>

#include "faults.h"
#include "record.h"

namespace {

using soak::Kind;

constexpr int kDescriptors = 4096;
constexpr unsigned kRateScale = 1024;  // CallFaults::rate is out of so many calls

struct Descriptor {
  bool accepted = false, shut = false;
  int port = 0;  // of the peer
  std::int64_t read = 0;
  std::uint64_t statement = 0;  // statement that is being written
  std::size_t unwritten = 0;    // its bytes that aren't written yet
};

struct Machine {
  soak::FrontControl* faults = nullptr;
  std::unique_ptr<soak::Recorder> recorder;
  int front = -1;
  std::array<Descriptor, kDescriptors> descriptors;
  std::uint64_t random = 88172645463325252ULL;

  Machine() {
    if (const char* number = std::getenv("SOAK_FRONT")) front = std::atoi(number);
    if (const char* path = std::getenv("SOAK_EVENTS"))
      recorder = std::make_unique<soak::Recorder>(path);
    random ^= static_cast<std::uint64_t>(soak::monotonicUs()) << 16;
    const char* path = std::getenv("SOAK_FAULTS");
    int file = path ? static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC, 0))
                    : -1;
    if (file < 0) return;
    void* map = mmap(nullptr, sizeof(soak::FrontControl), PROT_READ | PROT_WRITE, MAP_SHARED, file,
                     0);
    syscall(SYS_close, file);
    if (map != MAP_FAILED) faults = static_cast<soak::FrontControl*>(map);
  }
  unsigned draw() {
    random ^= random << 13, random ^= random >> 7, random ^= random << 17;
    return static_cast<unsigned>(random >> 24);
  }
  // Whether this call is to fail. Sets `error` to the configured errno, or to 0 if any will do.
  bool shouldFail(soak::Call call, int& error) {
    if (!faults) return false;
    soak::CallFaults& f = faults->of(call);
    if (f.stops.load(std::memory_order_relaxed) > 0) --f.stops, raise(SIGSTOP);
    int left = f.next.load(std::memory_order_relaxed),
        rate = f.rate.load(std::memory_order_relaxed);
    bool fails = left > 0 || (rate > 0 && draw() % kRateScale < static_cast<unsigned>(rate));
    if (!fails) return false;
    if (left > 0) --f.next;
    ++f.failed;
    error = f.error;
    return true;
  }
  bool shouldFail(soak::Call call) {
    int ignoredError = 0;
    return shouldFail(call, ignoredError);
  }
  void record(soak::Event e) {
    if (!recorder) return;
    e.front = front;
    recorder->add(e);
  }
  Descriptor* at(int fd) {
    return fd >= 0 && fd < kDescriptors ? &descriptors[static_cast<std::size_t>(fd)] : nullptr;
  }
};

Machine& machine() {
  static auto* instance = new Machine;
  return *instance;
}

template <class F>
F originalFunction(const char* name) {
  return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

int portOf(const sockaddr* address) {
  return address && address->sa_family == AF_INET
             ? ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port)
             : 0;
}

// Returns whether a call is to fail, and if so sets errno to the configured error or to a random
// one of `errors`.
template <std::size_t N>
bool fails(soak::Call call, const int (&errors)[N]) {
  int error = 0;
  if (!machine().shouldFail(call, error)) return false;
  errno = error != 0 ? error : errors[machine().draw() % N];
  return true;
}
bool failsWithEintr() {
  static const int errors[] = {EINTR};
  return fails(soak::Call::interrupt, errors);
}

std::uint64_t parseNumberAfter(std::string_view text, std::string_view name) {
  std::size_t at = text.find(name);
  if (at == std::string_view::npos) return 0;
  std::uint64_t value = 0;
  for (std::size_t k = at + name.size(); k < text.size() && text[k] >= '0' && text[k] <= '9'; ++k)
    value = value * 10 + static_cast<std::uint64_t>(text[k] - '0');
  return value;
}

// Records an attempt if `bytes`, which are about to be written to a store, begin a statement.
void recordAttempt(Descriptor& d, std::string_view bytes) {
  if (d.accepted || d.unwritten > 0 || bytes.empty() || bytes[0] != 'Q') return;
  std::size_t tail = bytes.rfind("/* id=");
  if (tail == std::string_view::npos) return;
  d.statement = parseNumberAfter(bytes.substr(tail), "id=");
  d.unwritten = bytes.size();
  machine().record(
      {.kind = Kind::attemptBegan,
       .statement = d.statement,
       .port = d.port,
       .value = static_cast<std::int64_t>(parseNumberAfter(bytes.substr(tail), ",d="))});
}

void recordWritten(Descriptor& d, ssize_t n) {
  if (d.unwritten == 0 || n <= 0) return;
  d.unwritten -= std::min(d.unwritten, static_cast<std::size_t>(n));
  if (d.unwritten == 0)
    machine().record({.kind = Kind::attemptWhole, .statement = d.statement, .port = d.port});
}

}  // namespace

// Raises the signal with the number SOAK_SIGNAL before main.
__attribute__((constructor)) void signalAtStart() {
  if (const char* number = std::getenv("SOAK_SIGNAL")) raise(std::atoi(number));
}

extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
  if (fails(soak::Call::socket, errors)) return -1;
  return static_cast<int>(syscall(SYS_socket, domain, type, protocol));
}

int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
  static const int errors[] = {EADDRINUSE};
  if (fails(soak::Call::bind, errors)) return -1;
  return static_cast<int>(syscall(SYS_bind, fd, address, size));
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const int errors[] = {ECONNABORTED, EINTR,        EMFILE,      ENFILE,
                               ENOBUFS,      ENOMEM,       EPROTO,      EPERM,
                               ENETDOWN,     EHOSTUNREACH, ENETUNREACH, ENONET,
                               ETIMEDOUT,    EOPNOTSUPP,   EHOSTDOWN,   ENOPROTOOPT};
  if (fails(soak::Call::accept, errors)) return -1;
  sockaddr_in from{};
  socklen_t addressSize = sizeof from;
  int got = static_cast<int>(syscall(SYS_accept4, fd, &from, &addressSize, flags));
  if (got < 0) return got;
  if (Descriptor* d = machine().at(got)) {
    *d = Descriptor{};
    d->accepted = true, d->port = portOf(reinterpret_cast<sockaddr*>(&from));
    machine().record({.kind = Kind::frontAccepted, .port = d->port});
  }
  if (address && size)
    std::memcpy(address, &from, std::min(*size, addressSize)), *size = addressSize;
  return got;
}

int connect(int fd, const sockaddr* to, socklen_t size) {
  static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH,  EHOSTUNREACH, ETIMEDOUT,
                               EAGAIN,        ECONNREFUSED, EINTR,        ENOBUFS};
  if (Descriptor* d = machine().at(fd)) *d = Descriptor{}, d->port = portOf(to);
  if (fails(soak::Call::connect, errors)) {
    // An interrupted connect(2) still establishes the connection asynchronously.
    if (errno == EINTR) syscall(SYS_connect, fd, to, size), errno = EINTR;
    return -1;
  }
  return static_cast<int>(syscall(SYS_connect, fd, to, size));
}

ssize_t recv(int fd, void* into, size_t size, int flags) {
  static const int errors[] = {ENOMEM, ENOBUFS};
  Machine& m = machine();
  if (failsWithEintr() || fails(soak::Call::receive, errors)) return -1;
  if (size > 64 && m.shouldFail(soak::Call::shortReceive)) size = 1 + m.draw() % 64;
  ssize_t n = syscall(SYS_recvfrom, fd, into, size, flags, nullptr, nullptr);
  Descriptor* d = m.at(fd);
  if (!d || n <= 0 || flags & MSG_PEEK) return n;
  d->read += n;
  if (d->accepted && d->shut && m.faults) m.faults->readAndDropped += n;
  return n;
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const int errors[] = {ENOBUFS, ENOMEM};
  Machine& m = machine();
  if (failsWithEintr() || fails(soak::Call::send, errors)) return -1;
  Descriptor* d = m.at(fd);
  if (d) recordAttempt(*d, {static_cast<const char*>(bytes), size});
  if (size > 1 && m.shouldFail(soak::Call::shortSend))
    size = 1 + m.draw() % std::min<std::size_t>(size, 64);
  ssize_t n = syscall(SYS_sendto, fd, bytes, size, flags, nullptr, 0);
  if (d) recordWritten(*d, n);
  return n;
}

int shutdown(int fd, int how) noexcept {
  if (Descriptor* d = machine().at(fd)) d->shut = true;
  return static_cast<int>(syscall(SYS_shutdown, fd, how));
}

int close(int fd) {
  if (Descriptor* d = machine().at(fd)) {
    if (d->accepted)
      machine().record({.kind = Kind::frontClosed, .port = d->port, .value = d->read});
    *d = Descriptor{};
  }
  return static_cast<int>(syscall(SYS_close, fd));
}

ssize_t read(int fd, void* into, size_t size) {
  static const int errors[] = {EINTR};
  if (fails(soak::Call::read, errors)) return -1;
  return syscall(SYS_read, fd, into, size);
}

int signalfd(int fd, const sigset_t* signals, int flags) noexcept {
  static const int errors[] = {EMFILE, ENFILE, ENOMEM};
  if (fails(soak::Call::createSignalFd, errors)) return -1;
  return static_cast<int>(syscall(SYS_signalfd4, fd, signals, _NSIG / 8, flags));
}

std::FILE* fopen(const char* path, const char* mode) {
  static const int errors[] = {EMFILE, ENFILE, EIO, EINTR};
  if (fails(soak::Call::open, errors)) return nullptr;
  return originalFunction<std::FILE* (*)(const char*, const char*)>("fopen")(path, mode);
}

std::FILE* fopen64(const char* path, const char* mode) {
  return fopen(path, mode);
}

int open(const char* path, int flags, ...) {
  static const int errors[] = {EMFILE, ENFILE, EIO, EINTR};
  va_list rest;
  va_start(rest, flags);
  unsigned mode = flags & O_CREAT ? va_arg(rest, unsigned) : 0;
  va_end(rest);
  if (fails(soak::Call::open, errors)) return -1;
  return static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

int epoll_ctl(int epoll, int what, int fd, epoll_event* event) noexcept {
  static const int errors[] = {ENOMEM, ENOSPC};
  if (what == EPOLL_CTL_ADD && fails(soak::Call::registerEvents, errors)) return -1;
  return static_cast<int>(syscall(SYS_epoll_ctl, epoll, what, fd, event));
}

int epoll_pwait2(int epoll, epoll_event* events, int most, const timespec* left,
                 const sigset_t* signals) {
  static const int errors[] = {EPERM};
  if (failsWithEintr() || fails(soak::Call::epollPwait2, errors)) return -1;
  int count =
      static_cast<int>(syscall(SYS_epoll_pwait2, epoll, events, most, left, signals, _NSIG / 8));
  // A process that is stopped here reads its clock long after the returned events occurred.
  if (count > 0) machine().shouldFail(soak::Call::wait);
  return count;
}

int clock_gettime(clockid_t clock, timespec* t) noexcept {
  int failed = static_cast<int>(syscall(SYS_clock_gettime, clock, t));
  if (failed || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE) || !machine().faults)
    return failed;
  std::int64_t us = t->tv_sec * 1'000'000 + t->tv_nsec / 1000 + machine().faults->clockShiftUs;
  t->tv_sec = us / 1'000'000, t->tv_nsec = us % 1'000'000 * 1000;
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
}
