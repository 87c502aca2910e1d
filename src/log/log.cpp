#include "log/log.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <utility>

namespace reedchute::log {
namespace {

constexpr int kMaxEvents = 64;          // distinct event names; all others share the last limiter
constexpr int kMaxLinesPerSecond = 10;  // per event
constexpr std::size_t kMaxLineLength = 480;  // bytes of fields; longer text is truncated

struct EventLimiter {
  const char* event = nullptr;
  std::int64_t second = 0;
  int written = 0;
  std::uint64_t suppressed = 0;

  // Counts one line at `now`, in seconds. Returns whether to write it; otherwise it counts as
  // suppressed.
  bool admit(std::int64_t now) {
    if (now != second) {
      second = now;
      written = 0;
    }
    bool mayWrite = written < kMaxLinesPerSecond;
    if (mayWrite)
      ++written;
    else
      ++suppressed;
    return mayWrite;
  }
};

std::array<EventLimiter, kMaxEvents> limiters;
WallTime logTime{};

EventLimiter& limiterOf(const char* event) {
  for (EventLimiter& limiter : limiters) {
    if (limiter.event == nullptr) limiter.event = event;
    if (std::strcmp(limiter.event, event) == 0) return limiter;
  }
  return limiters.back();
}

long long logTimeMs() {
  return logTime.us / 1000;
}

void replaceControlCharacters(char* text) {
  for (; *text != '\0'; ++text)
    if (static_cast<unsigned char>(*text) < ' ') *text = '?';
}

[[gnu::format(printf, 2, 0)]] void write(const char* event, const char* format, va_list args,
                                         std::uint64_t suppressed) {
  char text[kMaxLineLength];
  std::vsnprintf(text, sizeof text, format, args);
  replaceControlCharacters(text);
  if (suppressed > 0)
    std::fprintf(stderr, "%lld %s %s left_out=%llu\n", logTimeMs(), event, text,
                 static_cast<unsigned long long>(suppressed));
  else
    std::fprintf(stderr, "%lld %s %s\n", logTimeMs(), event, text);
}

}  // namespace

void setNonBlocking() {
  struct stat status {};
  if (fstat(STDERR_FILENO, &status) < 0) return;
  // The flags of a terminal or file are left unchanged, as they may be shared with other programs.
  if (!S_ISFIFO(status.st_mode) && !S_ISSOCK(status.st_mode)) return;
  fcntl(STDERR_FILENO, F_SETFL, fcntl(STDERR_FILENO, F_GETFL) | O_NONBLOCK);
}

void setTime(WallTime now) {
  logTime = now;
}

void line(const char* event, const char* format, ...) {
  EventLimiter& limiter = limiterOf(event);
  if (!limiter.admit(logTime.us / 1'000'000)) return;
  va_list args;
  va_start(args, format);
  write(event, format, args, std::exchange(limiter.suppressed, 0));
  va_end(args);
}

void unlimitedLine(const char* event, const char* format, ...) {
  va_list args;
  va_start(args, format);
  write(event, format, args, 0);
  va_end(args);
}

void flushSuppressed() {
  for (EventLimiter& limiter : limiters) {
    if (limiter.event == nullptr || limiter.suppressed == 0) continue;
    std::fprintf(stderr, "%lld %s left_out=%llu\n", logTimeMs(), limiter.event,
                 static_cast<unsigned long long>(limiter.suppressed));
    limiter.suppressed = 0;
  }
}

}  // namespace reedchute::log
