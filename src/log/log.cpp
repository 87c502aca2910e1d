#include "log/log.h"

#include <fcntl.h>
#include <sys/stat.h>

#include <array>
#include <cstdarg>
#include <cstdio>
#include <cstring>

namespace reedchute::log {
namespace {

constexpr int kEvents = 64;     // distinct names; beyond them lines share the last place
constexpr int kPerSecond = 10;  // lines a second of one event

struct EventLimiter {
  const char* event = nullptr;
  std::int64_t second = 0;
  int written = 0;
  std::uint64_t left = 0;
};

std::array<EventLimiter, kEvents> limiters;
WallTime logTime{};

EventLimiter& limiterOf(const char* event) {
  for (EventLimiter& m : limiters) {
    if (m.event == nullptr) m.event = event;
    if (std::strcmp(m.event, event) == 0) return m;
  }
  return limiters.back();
}

}  // namespace

void neverBlock() {
  struct stat s {};
  // A terminal or file stays as it is: its flags may be shared with other programs.
  if (fstat(2, &s) == 0 && (S_ISFIFO(s.st_mode) || S_ISSOCK(s.st_mode)))
    fcntl(2, F_SETFL, fcntl(2, F_GETFL) | O_NONBLOCK);
}

void clock(WallTime now) {
  logTime = now;
}

void line(const char* event, const char* format, ...) {
  EventLimiter& m = limiterOf(event);
  std::int64_t second = logTime.us / 1'000'000;
  if (second != m.second) m.second = second, m.written = 0;
  if (m.written >= kPerSecond) {
    ++m.left;
    return;
  }
  ++m.written;
  char text[480];
  va_list args;
  va_start(args, format);
  std::vsnprintf(text, sizeof text, format, args);
  va_end(args);
  for (char& c : text) {
    if (c == '\0') break;
    if (static_cast<unsigned char>(c) < ' ') c = '?';
  }
  if (m.left > 0)
    std::fprintf(stderr, "%lld %s %s left_out=%llu\n", static_cast<long long>(logTime.us / 1000),
                 event, text, static_cast<unsigned long long>(m.left));
  else
    std::fprintf(stderr, "%lld %s %s\n", static_cast<long long>(logTime.us / 1000), event, text);
  m.left = 0;
}

void flushCounts() {
  for (EventLimiter& m : limiters) {
    if (m.event == nullptr || m.left == 0) continue;
    std::fprintf(stderr, "%lld %s left_out=%llu\n", static_cast<long long>(logTime.us / 1000),
                 m.event, static_cast<unsigned long long>(m.left));
    m.left = 0;
  }
}

}  // namespace reedchute::log
