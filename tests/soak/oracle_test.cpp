// Checks that the soak's oracle reports each kind of violation. Each case plants one violation in
// the events of a valid run and prints the rules that the oracle finds violated.
#include "oracle.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "peers.h"

using namespace soak;

namespace {

constexpr std::int64_t kSent = 10'000'000;
constexpr int kClientPort = 5000, kStorePort = 6000;

std::int64_t at(int ms) {
  return kSent + ms * 1000;
}

// Returns the events of a valid run: one statement of `workload` with a deadline of 1 s, one
// attempt at store 0, answered after 10 ms.
std::vector<Event> validRun(int workload) {
  return {
      {.at = at(-1000), .kind = Kind::storeStarted, .store = 0, .port = kStorePort, .value = 1},
      {.at = at(-1000), .kind = Kind::frontStarted, .front = 0},
      {.at = at(-500), .kind = Kind::listTold, .front = 0, .value = 1},
      {.at = at(-10), .kind = Kind::frontAccepted, .front = 0, .port = kClientPort},
      {.at = at(0),
       .kind = Kind::clientSent,
       .statement = 1,
       .front = 0,
       .port = kClientPort,
       .code = workload,
       .value = 1,
       .deadline = at(1000),
       .offset = 100},
      {.at = at(1),
       .kind = Kind::attemptBegan,
       .statement = 1,
       .front = 0,
       .port = kStorePort,
       .value = 999},
      {.at = at(1), .kind = Kind::attemptWhole, .statement = 1, .front = 0, .port = kStorePort},
      {.at = at(2), .kind = Kind::storeReceived, .statement = 1, .store = 0},
      {.at = at(4), .kind = Kind::storeRan, .statement = 1, .store = 0},
      {.at = at(5), .kind = Kind::storeReplied, .statement = 1, .store = 0},
      {.at = at(10), .kind = Kind::clientAnswered, .statement = 1, .front = 0, .port = kClientPort},
      {.at = at(3000), .kind = Kind::frontTerminated, .front = 0},
      {.at = at(3500), .kind = Kind::frontClosed, .front = 0, .port = kClientPort, .value = 100},
      {.at = at(4000), .kind = Kind::frontExited, .front = 0},
  };
}

using Events = std::vector<Event>;

void removeAll(Events& all, Kind kind) {
  std::erase_if(all, [&](const Event& e) { return e.kind == kind; });
}
Event& first(Events& all, Kind kind) {
  return *std::find_if(all.begin(), all.end(), [&](const Event& e) { return e.kind == kind; });
}
// Adds another attempt, which the store runs.
void addSecondAttempt(Events& all, int ms) {
  all.push_back({.at = at(ms),
                 .kind = Kind::attemptBegan,
                 .statement = 1,
                 .front = 0,
                 .port = kStorePort,
                 .value = 1});
  all.push_back(
      {.at = at(ms), .kind = Kind::attemptWhole, .statement = 1, .front = 0, .port = kStorePort});
  all.push_back({.at = at(ms + 1), .kind = Kind::storeRan, .statement = 1, .store = 0});
}

void printViolations(const char* what, int workload, const std::function<void(Events&)>& change) {
  Events all = validRun(workload);
  change(all);
  std::stable_sort(all.begin(), all.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  std::set<std::string> rules;
  for (const Violation& v : judge(all, {}).violations) rules.insert(v.rule);
  std::printf("%s:", what);
  for (const std::string& rule : rules) std::printf(" %s", rule.c_str());
  std::printf("\n");
}

constexpr int kAny = 0, kNear = 1, kWrite = 2, kOnce = 3;

}  // namespace

int main() {
  for (int workload : {kAny, kNear, kWrite, kOnce})
    printViolations("in order", workload, [](Events&) {});
  printViolations("answered twice", kAny,
                  [](Events& e) { e.push_back(first(e, Kind::clientAnswered)); });
  printViolations("answered 0.7 s late", kAny,
                  [](Events& e) { first(e, Kind::clientAnswered).at = at(1700); });
  printViolations("never answered", kAny, [](Events& e) {
    removeAll(e, Kind::clientAnswered);
    e.push_back({.at = at(1800),
                 .kind = Kind::clientLeft,
                 .statement = 1,
                 .front = 0,
                 .port = kClientPort});
  });
  auto closeUnanswered = [](Events& e) {
    removeAll(e, Kind::clientAnswered);
    e.push_back({.at = at(20),
                 .kind = Kind::clientSawEnd,
                 .statement = 1,
                 .front = 0,
                 .port = kClientPort});
    first(e, Kind::frontClosed).at = at(19);
  };
  printViolations("read, and the connection ended", kAny, closeUnanswered);
  printViolations("the same, not read", kAny,
                  [&](Events& e) { closeUnanswered(e), first(e, Kind::frontClosed).value = 50; });
  // The front accepted it after it was sent, and had read more of the connection before.
  auto useClosedPortAgain = [&](Events& e) {
    closeUnanswered(e), first(e, Kind::frontAccepted).at = at(-200);
    e.push_back(
        {.at = at(-100), .kind = Kind::frontClosed, .front = 0, .port = kClientPort, .value = 400});
    e.push_back({.at = at(1), .kind = Kind::frontAccepted, .front = 0, .port = kClientPort});
  };
  printViolations("the same, read, on a port used before", kAny, useClosedPortAgain);
  printViolations("the same, not read, on a port used before", kAny, [&](Events& e) {
    useClosedPortAgain(e), first(e, Kind::frontClosed).value = 50;
  });
  printViolations("closed before it was sent, and the port used again later", kAny, [&](Events& e) {
    closeUnanswered(e),
        first(e, Kind::frontClosed) = {
            .at = at(-5), .kind = Kind::frontClosed, .front = 0, .port = kClientPort, .value = 50};
    e.push_back({.at = at(500), .kind = Kind::frontAccepted, .front = 0, .port = kClientPort});
    e.push_back(
        {.at = at(900), .kind = Kind::frontClosed, .front = 0, .port = kClientPort, .value = 400});
  });
  printViolations("read, and its front killed", kAny, [&](Events& e) {
    closeUnanswered(e), removeAll(e, Kind::frontTerminated);
    e.push_back({.at = at(18), .kind = Kind::frontKilled, .front = 0});
    first(e, Kind::frontExited).at = at(18);
  });
  printViolations("the same, never accepted", kAny, [&](Events& e) {
    closeUnanswered(e), removeAll(e, Kind::frontAccepted), removeAll(e, Kind::frontClosed);
  });
  printViolations("refused, though it ran", kWrite, [](Events& e) {
    first(e, Kind::clientAnswered).code = static_cast<int>(Answer::refused);
  });
  printViolations("sent again after its answer", kAny, [](Events& e) { addSecondAttempt(e, 200); });
  printViolations("sent again after its time", kAny, [](Events& e) {
    first(e, Kind::clientAnswered).at = at(1400), addSecondAttempt(e, 1300);
  });
  printViolations("sent for who has gone", kAny, [](Events& e) {
    removeAll(e, Kind::clientAnswered);
    e.push_back(
        {.at = at(50), .kind = Kind::clientLeft, .statement = 1, .front = 0, .port = kClientPort});
    addSecondAttempt(e, 170);
  });
  printViolations("told 0.3 s too much", kAny,
                  [](Events& e) { first(e, Kind::attemptBegan).value = 1300; });
  printViolations("sent to one that drains", kAny, [](Events& e) {
    e.push_back({.at = at(-900), .kind = Kind::storeDraining, .store = 0, .value = 1});
  });
  printViolations("once, run twice", kOnce, [](Events& e) {
    first(e, Kind::clientAnswered).at = at(300), addSecondAttempt(e, 200);
  });
  printViolations("marked, again within its window", kWrite, [](Events& e) {
    first(e, Kind::clientAnswered).at = at(300), addSecondAttempt(e, 200);
  });
  printViolations("marked, again after its window", kWrite, [](Events& e) {
    first(e, Kind::clientSent).deadline = at(2000), first(e, Kind::clientAnswered).at = at(1300),
             addSecondAttempt(e, 1200);
  });
  printViolations("a bounded read of old data", kNear,
                  [](Events& e) { first(e, Kind::storeReceived).value = 1'300'000; });
  printViolations("kept waiting in the middle of a message", kAny, [](Events& e) {
    e.push_back({.at = at(0),
                 .kind = Kind::clientStopped,
                 .statement = 2,
                 .front = 0,
                 .port = kClientPort + 1});
    e.push_back({.at = at(3600),
                 .kind = Kind::clientLeft,
                 .statement = 2,
                 .front = 0,
                 .port = kClientPort + 1});
  });
  printViolations("a front that ends unasked", kAny, [](Events& e) {
    removeAll(e, Kind::frontTerminated), first(e, Kind::frontExited).code = 11;
  });
  printViolations("a front that doesn't end", kAny, [](Events& e) {
    removeAll(e, Kind::frontExited);
    e.push_back({.at = at(8000), .kind = Kind::frontKilled, .front = 0, .code = 1});
  });
  // The front sends no answer after SIGTERM and is killed.
  auto killAfterSigterm = [](Events& e, int sentMs) {
    removeAll(e, Kind::clientAnswered), removeAll(e, Kind::frontExited),
        removeAll(e, Kind::frontClosed);
    first(e, Kind::frontTerminated).at = at(-sentMs);
    e.push_back({.at = at(2200 - sentMs), .kind = Kind::frontKilled, .front = 0, .code = 1});
    e.push_back({.at = at(2201 - sentMs),
                 .kind = Kind::clientSawEnd,
                 .statement = 1,
                 .front = 0,
                 .port = kClientPort});
  };
  printViolations("killed, asked 0.5 s after SIGTERM", kAny,
                  [&](Events& e) { killAfterSigterm(e, 500); });
  printViolations("killed, asked 0.8 s after SIGTERM", kAny,
                  [&](Events& e) { killAfterSigterm(e, 800); });
  printViolations("a cold store that is overrun", kAny, [](Events& e) {
    e.push_back({.at = at(500),
                 .kind = Kind::storeStarted,
                 .store = 1,
                 .port = kStorePort + 1,
                 .value = 0,
                 .offset = 1});
    for (int k = 0; k < 40; ++k)
      e.push_back({.at = at(600 + k),
                   .kind = Kind::attemptWhole,
                   .statement = 1,
                   .front = 0,
                   .port = kStorePort + 1});
  });
  // The warm member gets twice as many, but can execute only 1000 in a second.
  printViolations("a cold store that is overrun with its whole group", kAny, [](Events& e) {
    e.push_back({.at = at(500),
                 .kind = Kind::storeStarted,
                 .store = 1,
                 .port = kStorePort + 1,
                 .value = 0,
                 .offset = 1});
    for (int k = 0; k < 3000; ++k)
      e.push_back({.at = at(600) + k * 100,
                   .kind = Kind::attemptWhole,
                   .statement = 1,
                   .front = 0,
                   .port = kStorePort + (k % 3 == 0)});
  });
}
