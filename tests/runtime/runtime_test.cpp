// Tests of the scheduler: timers, events, tasks, rounds and sockets. Each test prints what happens,
// in order.
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>

#include "runtime/socket.h"
#include "trace.h"

using namespace reedchute;
using test::Case;
using test::runCase;
using namespace reedchute::runtime;

namespace {

void runRounds(
    Scheduler& scheduler, int count, const std::function<void()>& onRoundEnd = [] {}) {
  for (int k = 0; k < count; ++k) scheduler.runOnce(scheduler.now() + Duration{20'000}, onRoundEnd);
}

void openSocketPair(int (&descriptors)[2]) {
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, descriptors) < 0)
    throw std::runtime_error("no socketpair");
}

Task<> sleepAndPrint(Scheduler& scheduler, const char* label, double ms) {
  Event event(scheduler);
  bool isSet =
      co_await event.wait(scheduler.now() + Duration{static_cast<std::int64_t>(ms * 1000)});
  std::printf("%s: %s\n", label, isSet ? "set" : "its time came");
}

void timers() {
  Scheduler scheduler;
  scheduler.spawn(sleepAndPrint(scheduler, "third, 30 ms", 30));
  scheduler.spawn(sleepAndPrint(scheduler, "second, 20 ms", 20));
  scheduler.spawn(sleepAndPrint(scheduler, "first, 10 ms", 10));
  scheduler.spawn(sleepAndPrint(scheduler, "fourth, 30 ms, begun later", 30));
  scheduler.spawn(sleepAndPrint(scheduler, "none, 0 ms", 0));
  runRounds(scheduler, 20);
}

Task<> waitAndPrint(Event& event, const char* label, TimePoint until) {
  bool isSet = co_await event.wait(until);
  std::printf("%s: %s\n", label, isSet ? "set" : "its time came");
}

void events() {
  Scheduler scheduler;
  Event setEarly(scheduler), setLater(scheduler);
  setEarly.set();
  scheduler.spawn(
      waitAndPrint(setEarly, "set before anyone waited", scheduler.now() + Duration{1000}));
  runRounds(scheduler, 1);
  scheduler.spawn(
      waitAndPrint(setEarly, "and not a second time", scheduler.now() + Duration{1000}));
  runRounds(scheduler, 3);
  scheduler.spawn(
      waitAndPrint(setLater, "set while it waits", scheduler.now() + Duration{10'000'000}));
  runRounds(scheduler, 1);
  setLater.set();
  runRounds(scheduler, 1);
  std::printf("one that still waits is taken down with the scheduler\n");
  scheduler.spawn(waitAndPrint(setLater, "never", kForever));
  runRounds(scheduler, 1);
}

Task<> readAndPrint(std::shared_ptr<Socket> socket, const char* label) {
  bool wasWoken = false;
  for (;;) {
    std::string input;
    Socket::ReadStatus status = socket->read(input, 100);
    if (status == Socket::ReadStatus::data) wasWoken = false;
    if (status == Socket::ReadStatus::data) std::printf("%s reads '%s'\n", label, input.c_str());
    if (status == Socket::ReadStatus::closed) break;
    if (status != Socket::ReadStatus::noData) continue;
    if (wasWoken) std::printf("%s woke for nothing\n", label);
    co_await socket->readable.wait();
    wasWoken = true;
  }
  std::printf("%s ended\n", label);
}

// An event may refer to a descriptor that was closed earlier in the same round and whose number has
// been reused. The new descriptor must not receive it.
void reused() {
  Scheduler scheduler;
  int firstFds[2], secondFds[2], thirdFds[2];
  openSocketPair(firstFds), openSocketPair(secondFds);
  auto firstSocket = std::make_shared<Socket>(scheduler, firstFds[0]);
  auto secondSocket = std::make_shared<Socket>(scheduler, secondFds[0]);
  std::shared_ptr<Socket> thirdSocket;
  auto closer = [&](std::shared_ptr<Socket> own, std::shared_ptr<Socket> other) -> Task<> {
    co_await own->readable.wait();
    std::printf("the first wakes and closes the second\n");
    int closedFd = other->fd();
    other->close();
    openSocketPair(thirdFds);
    std::printf("its number is used again: %s\n", thirdFds[0] == closedFd ? "yes" : "no");
    thirdSocket = std::make_shared<Socket>(scheduler, thirdFds[0]);
    scheduler.spawn(readAndPrint(thirdSocket, "the third"));
  };
  scheduler.spawn(readAndPrint(secondSocket, "the second"));
  runRounds(scheduler, 1);
  scheduler.spawn(closer(firstSocket, secondSocket));
  // Clears the events that the initial edges have set.
  firstSocket->readable.wait().await_ready(), secondSocket->readable.wait().await_ready();
  runRounds(scheduler, 1);
  send(firstFds[1], "x", 1, 0);
  send(secondFds[1], "for the second", 14, 0);
  runRounds(scheduler, 3);
  send(thirdFds[1], "hello", 5, 0);
  runRounds(scheduler, 3);
  ::close(thirdFds[1]);
  runRounds(scheduler, 2);
  ::close(firstFds[1]), ::close(secondFds[1]);
}

Task<> throwLater(Scheduler& scheduler) {
  Event event(scheduler);
  co_await event.wait(scheduler.now() + Duration{1000});
  throw std::runtime_error("from inside a coroutine");
}

Task<int> doubleLater(Scheduler& scheduler, int number) {
  Event event(scheduler);
  co_await event.wait(scheduler.now() + Duration{1000});
  if (number < 0) throw std::runtime_error("no number");
  co_return number * 2;
}

Task<> awaitTwice(Scheduler& scheduler) {
  int doubled = co_await doubleLater(scheduler, 3);
  std::printf("got %d\n", doubled);
  try {
    co_await doubleLater(scheduler, -1);
  } catch (const std::runtime_error& error) {
    std::printf("caught: %s\n", error.what());
  }
}

void tasks() {
  Scheduler scheduler;
  scheduler.spawn(throwLater(scheduler));
  scheduler.spawn(awaitTwice(scheduler));
  runRounds(scheduler, 8);
  std::printf("the scheduler goes on\n");
}

void rounds() {
  Scheduler scheduler;
  int roundEnds = 0;
  Event event(scheduler);
  scheduler.spawn(waitAndPrint(event, "woken by the round's end, in the same round", kForever));
  scheduler.runOnce(scheduler.now(), [&] { event.set(); });
  std::printf("round over\n");
  scheduler.requestAnotherRound();
  scheduler.runOnce(kForever, [&] { ++roundEnds; });
  std::printf("asked for another: %d at once\n", roundEnds);
  TimePoint before = scheduler.now();
  for (int k = 0; k < 1000; ++k) scheduler.runOnce(scheduler.now(), [] {});
  std::printf("the clock went back: %s\n", scheduler.now() < before ? "yes" : "no");
}

Task<> writeAndConnect(Scheduler& scheduler, std::shared_ptr<Socket> socket) {
  std::string data(4 * 1024 * 1024, 'x');
  bool isWritten = co_await writeAll(*socket, data, scheduler.now() + Duration{20'000});
  std::printf("a reader that stands still: %s\n",
              isWritten ? "all written" : "given up at its time");
  socket->close();
  bool isWrittenAfterClose = co_await writeAll(*socket, "x", scheduler.now() + Duration{20'000});
  std::printf("after closing: %s\n", isWrittenAfterClose ? "written" : "broken");
  sockaddr_in unusedPort = *parseAddress("127.0.0.1:1");
  Socket refused(scheduler, startConnect(unusedPort));
  bool isConnected = co_await awaitConnected(refused, scheduler.now() + Duration{1'000'000});
  std::printf("a port where nobody listens: %s\n", isConnected ? "connected" : "refused");
  for (const char* text :
       {"127.0.0.1:80", "127.0.0.1:0", "127.0.0.1", "127.0.0.1:99999", "host:80", ":80", ""})
    std::printf("'%s' %s\n", text, parseAddress(text) ? "good" : "bad");
}

void sockets() {
  Scheduler scheduler;
  int descriptors[2];
  openSocketPair(descriptors);
  scheduler.spawn(writeAndConnect(scheduler, std::make_shared<Socket>(scheduler, descriptors[0])));
  runRounds(scheduler, 10);
  ::close(descriptors[1]);
}

const Case kCases[] = {{"timers", timers}, {"events", events}, {"reused", reused},
                       {"tasks", tasks},   {"rounds", rounds}, {"sockets", sockets}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}
