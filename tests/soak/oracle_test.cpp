// The soak's oracle finds what it is there for: one broken rule after the other, planted in an
// orderly run.
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

// A statement of this workload: sent with 1 s, one attempt at store 0, answered after 10 ms.
std::vector<Event> orderly(int workload) {
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

void drop(Events& all, Kind kind) {
  std::erase_if(all, [&](const Event& e) { return e.kind == kind; });
}
Event& the(Events& all, Kind kind) {
  return *std::find_if(all.begin(), all.end(), [&](const Event& e) { return e.kind == kind; });
}
// Another attempt, which its store runs.
void again(Events& all, int ms) {
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

void tell(const char* what, int workload, const std::function<void(Events&)>& change) {
  Events all = orderly(workload);
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
  for (int workload : {kAny, kNear, kWrite, kOnce}) tell("in order", workload, [](Events&) {});
  tell("answered twice", kAny, [](Events& e) { e.push_back(the(e, Kind::clientAnswered)); });
  tell("answered 0.7 s late", kAny, [](Events& e) { the(e, Kind::clientAnswered).at = at(1700); });
  tell("never answered", kAny, [](Events& e) {
    drop(e, Kind::clientAnswered);
    e.push_back({.at = at(1800),
                 .kind = Kind::clientLeft,
                 .statement = 1,
                 .front = 0,
                 .port = kClientPort});
  });
  auto ends = [](Events& e) {
    drop(e, Kind::clientAnswered);
    e.push_back({.at = at(20),
                 .kind = Kind::clientSawEnd,
                 .statement = 1,
                 .front = 0,
                 .port = kClientPort});
    the(e, Kind::frontClosed).at = at(19);
  };
  tell("read, and the connection ended", kAny, ends);
  tell("the same, not read", kAny,
       [&](Events& e) { ends(e), the(e, Kind::frontClosed).value = 50; });
  tell("the same, its front killed", kAny, [&](Events& e) {
    ends(e), drop(e, Kind::frontTerminated);
    e.push_back({.at = at(18), .kind = Kind::frontKilled, .front = 0});
    the(e, Kind::frontExited).at = at(18);
  });
  tell("the same, never accepted", kAny,
       [&](Events& e) { ends(e), drop(e, Kind::frontAccepted), drop(e, Kind::frontClosed); });
  tell("refused, though it ran", kWrite,
       [](Events& e) { the(e, Kind::clientAnswered).code = static_cast<int>(Answer::refused); });
  tell("sent again after its answer", kAny, [](Events& e) { again(e, 200); });
  tell("sent again after its time", kAny,
       [](Events& e) { the(e, Kind::clientAnswered).at = at(1400), again(e, 1300); });
  tell("sent for who has gone", kAny, [](Events& e) {
    drop(e, Kind::clientAnswered);
    e.push_back(
        {.at = at(50), .kind = Kind::clientLeft, .statement = 1, .front = 0, .port = kClientPort});
    again(e, 170);
  });
  tell("told 0.3 s too much", kAny, [](Events& e) { the(e, Kind::attemptBegan).value = 1300; });
  tell("sent to one that drains", kAny, [](Events& e) {
    e.push_back({.at = at(-900), .kind = Kind::storeDraining, .store = 0, .value = 1});
  });
  tell("once, run twice", kOnce,
       [](Events& e) { the(e, Kind::clientAnswered).at = at(300), again(e, 200); });
  tell("marked, again within its window", kWrite,
       [](Events& e) { the(e, Kind::clientAnswered).at = at(300), again(e, 200); });
  tell("marked, again after its window", kWrite, [](Events& e) {
    the(e, Kind::clientSent).deadline = at(2000), the(e, Kind::clientAnswered).at = at(1300),
           again(e, 1200);
  });
  tell("a bounded read of old data", kNear,
       [](Events& e) { the(e, Kind::storeReceived).value = 1'300'000; });
  tell("kept waiting in the middle of a message", kAny, [](Events& e) {
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
  tell("a front that ends unasked", kAny,
       [](Events& e) { drop(e, Kind::frontTerminated), the(e, Kind::frontExited).code = 11; });
  tell("a front that doesn't end", kAny, [](Events& e) {
    drop(e, Kind::frontExited);
    e.push_back({.at = at(8000), .kind = Kind::frontKilled, .front = 0, .code = 1});
  });
  // Told to end, the front answers nothing more, and is killed.
  auto killed = [](Events& e, int sentMs) {
    drop(e, Kind::clientAnswered), drop(e, Kind::frontExited), drop(e, Kind::frontClosed);
    the(e, Kind::frontTerminated).at = at(-sentMs);
    e.push_back({.at = at(2200 - sentMs), .kind = Kind::frontKilled, .front = 0, .code = 1});
    e.push_back({.at = at(2201 - sentMs),
                 .kind = Kind::clientSawEnd,
                 .statement = 1,
                 .front = 0,
                 .port = kClientPort});
  };
  tell("killed, asked 0.5 s after SIGTERM", kAny, [&](Events& e) { killed(e, 500); });
  tell("killed, asked 0.8 s after SIGTERM", kAny, [&](Events& e) { killed(e, 800); });
  tell("a cold store that is overrun", kAny, [](Events& e) {
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
}
