#include "record.h"

#include <fcntl.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <filesystem>
#include <stdexcept>

namespace soak {
namespace {

constexpr std::array kNames = {
    "client_sent",    "client_answered", "client_left",   "client_saw_end", "client_stopped",
    "front_accepted", "front_closed",    "attempt_began", "attempt_whole",  "list_told",
    "store_received", "store_ran",       "store_replied", "store_started",  "store_killed",
    "store_draining", "store_primary",   "store_failed",  "front_started",  "front_terminated",
    "front_killed",   "front_exited",    "trouble"};

std::int64_t readClock(clockid_t clock) {
  timespec now{};
  syscall(SYS_clock_gettime, clock, &now);
  return now.tv_sec * 1'000'000 + now.tv_nsec / 1000;
}

}  // namespace

std::int64_t monotonicUs() {
  return readClock(CLOCK_MONOTONIC);
}
std::int64_t wallUs() {
  return readClock(CLOCK_REALTIME);
}

const char* nameOf(Kind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

Recorder::Recorder(const std::string& path)
    // Uses the system call, because the fault library replaces the C library's open.
    : file_(static_cast<int>(syscall(SYS_openat, AT_FDCWD, path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))) {
  if (file_ < 0) throw std::runtime_error("cannot open event file " + path);
}

void Recorder::add(Event e) const {
  if (e.at == 0) e.at = monotonicUs();
  char line[256];
  int size = std::snprintf(line, sizeof line,
                           "%" PRId64 " %d %" PRIu64 " %d %d %d %d %" PRId64 " %" PRId64 " %" PRId64
                           "\n",
                           e.at, static_cast<int>(e.kind), e.statement, e.front, e.store, e.port,
                           e.code, e.value, e.deadline, e.offset);
  while (syscall(SYS_write, file_, line, static_cast<std::size_t>(size)) < 0) {
  }
}

std::vector<Event> readEvents(const std::string& folder) {
  std::vector<Event> all;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".events") continue;
    std::FILE* file = std::fopen(entry.path().c_str(), "r");
    if (!file) continue;
    char line[256];
    while (std::fgets(line, sizeof line, file)) {
      Event e;
      int kind = 0;
      int got = std::sscanf(
          line, "%" SCNd64 " %d %" SCNu64 " %d %d %d %d %" SCNd64 " %" SCNd64 " %" SCNd64, &e.at,
          &kind, &e.statement, &e.front, &e.store, &e.port, &e.code, &e.value, &e.deadline,
          &e.offset);
      if (got != 10) continue;  // incomplete line of a process that was killed while writing it
      e.kind = static_cast<Kind>(kind);
      all.push_back(e);
    }
    std::fclose(file);
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  return all;
}

std::string describe(const Event& e) {
  char text[256];
  std::snprintf(text, sizeof text,
                "%10.4f %-16s statement=%" PRIu64
                " front=%d store=%d port=%d code=%d value=%" PRId64,
                static_cast<double>(e.at % 100'000'000'000) / 1e6, nameOf(e.kind), e.statement,
                e.front, e.store, e.port, e.code, e.value);
  return text;
}

}  // namespace soak
