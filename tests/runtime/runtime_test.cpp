// The scheduler: timers, events, descriptors. Prints what happened, in order.
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

void passes(
    Scheduler& s, int n, const std::function<void()>& ends = [] {}) {
  for (int k = 0; k < n; ++k) s.runOnce(s.now() + Duration{20'000}, ends);
}

void pair(int (&fds)[2]) {
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) < 0)
    throw std::runtime_error("no socketpair");
}

Task<> after(Scheduler& s, const char* name, double ms) {
  Event e(s);
  bool set = co_await e.wait(s.now() + Duration{static_cast<std::int64_t>(ms * 1000)});
  std::printf("%s: %s\n", name, set ? "set" : "its time came");
}

void timers() {
  Scheduler s;
  s.spawn(after(s, "third, 30 ms", 30));
  s.spawn(after(s, "second, 20 ms", 20));
  s.spawn(after(s, "first, 10 ms", 10));
  s.spawn(after(s, "fourth, 30 ms, begun later", 30));
  s.spawn(after(s, "none, 0 ms", 0));
  passes(s, 20);
}

Task<> waits(Event& e, const char* name, TimePoint until) {
  bool set = co_await e.wait(until);
  std::printf("%s: %s\n", name, set ? "set" : "its time came");
}

void events() {
  Scheduler s;
  Event kept(s), late(s);
  kept.set();
  s.spawn(waits(kept, "set before anyone waited", s.now() + Duration{1000}));
  passes(s, 1);
  s.spawn(waits(kept, "and not a second time", s.now() + Duration{1000}));
  passes(s, 3);
  s.spawn(waits(late, "set while it waits", s.now() + Duration{10'000'000}));
  passes(s, 1);
  late.set();
  passes(s, 1);
  std::printf("one that still waits is taken down with the scheduler\n");
  s.spawn(waits(late, "never", kForever));
  passes(s, 1);
}

Task<> reads(std::shared_ptr<Socket> d, const char* name) {
  bool woken = false;
  for (;;) {
    std::string in;
    Socket::ReadStatus got = d->read(in, 100);
    if (got == Socket::ReadStatus::data) woken = false;
    if (got == Socket::ReadStatus::data) std::printf("%s reads '%s'\n", name, in.c_str());
    if (got == Socket::ReadStatus::closed) break;
    if (got != Socket::ReadStatus::noData) continue;
    if (woken) std::printf("%s woke for nothing\n", name);
    co_await d->readable.wait();
    woken = true;
  }
  std::printf("%s ended\n", name);
}

// Danger: the events of one pass may name a descriptor that was closed earlier in it, and whose
// number is in use again.
void reused() {
  Scheduler s;
  int one[2], two[2], three[2];
  pair(one), pair(two);
  auto a = std::make_shared<Socket>(s, one[0]);
  auto b = std::make_shared<Socket>(s, two[0]);
  std::shared_ptr<Socket> c;
  auto closer = [&](std::shared_ptr<Socket> own, std::shared_ptr<Socket> other) -> Task<> {
    co_await own->readable.wait();
    std::printf("the first wakes and closes the second\n");
    int number = other->fd();
    other->close();
    pair(three);
    std::printf("its number is used again: %s\n", three[0] == number ? "yes" : "no");
    c = std::make_shared<Socket>(s, three[0]);
    s.spawn(reads(c, "the third"));
  };
  s.spawn(reads(b, "the second"));
  passes(s, 1);
  s.spawn(closer(a, b));
  a->readable.wait().await_ready(), b->readable.wait().await_ready();  // the edges of their birth
  passes(s, 1);
  send(one[1], "x", 1, 0);
  send(two[1], "for the second", 14, 0);
  passes(s, 3);
  send(three[1], "hello", 5, 0);
  passes(s, 3);
  ::close(three[1]);
  passes(s, 2);
  ::close(one[1]), ::close(two[1]);
}

Task<> throwsLate(Scheduler& s) {
  Event e(s);
  co_await e.wait(s.now() + Duration{1000});
  throw std::runtime_error("from inside a coroutine");
}

Task<int> gives(Scheduler& s, int n) {
  Event e(s);
  co_await e.wait(s.now() + Duration{1000});
  if (n < 0) throw std::runtime_error("no number");
  co_return n * 2;
}

Task<> asks(Scheduler& s) {
  int six = co_await gives(s, 3);
  std::printf("got %d\n", six);
  try {
    co_await gives(s, -1);
  } catch (const std::runtime_error& e) {
    std::printf("caught: %s\n", e.what());
  }
}

void tasks() {
  Scheduler s;
  s.spawn(throwsLate(s));
  s.spawn(asks(s));
  passes(s, 8);
  std::printf("the scheduler goes on\n");
}

void rounds() {
  Scheduler s;
  int n = 0;
  Event e(s);
  s.spawn(waits(e, "woken by the round's end, in the same round", kForever));
  s.runOnce(s.now(), [&] { e.set(); });
  std::printf("round over\n");
  s.requestAnotherRound();
  s.runOnce(kForever, [&] { ++n; });
  std::printf("asked for another: %d at once\n", n);
  TimePoint before = s.now();
  for (int k = 0; k < 1000; ++k) s.runOnce(s.now(), [] {});
  std::printf("the clock went back: %s\n", s.now() < before ? "yes" : "no");
}

Task<> talks(Scheduler& s, std::shared_ptr<Socket> to) {
  std::string much(4 * 1024 * 1024, 'x');
  bool done = co_await writeAll(*to, much, s.now() + Duration{20'000});
  std::printf("a reader that stands still: %s\n", done ? "all written" : "given up at its time");
  to->close();
  bool after = co_await writeAll(*to, "x", s.now() + Duration{20'000});
  std::printf("after closing: %s\n", after ? "written" : "broken");
  sockaddr_in nowhere = *parseAddress("127.0.0.1:1");
  Socket refused(s, startConnect(nowhere));
  bool up = co_await awaitConnected(refused, s.now() + Duration{1'000'000});
  std::printf("a port where nobody listens: %s\n", up ? "connected" : "refused");
  for (const char* text :
       {"127.0.0.1:80", "127.0.0.1:0", "127.0.0.1", "127.0.0.1:99999", "host:80", ":80", ""})
    std::printf("'%s' %s\n", text, parseAddress(text) ? "good" : "bad");
}

void sockets() {
  Scheduler s;
  int fds[2];
  pair(fds);
  s.spawn(talks(s, std::make_shared<Socket>(s, fds[0])));
  passes(s, 10);
  ::close(fds[1]);
}

const Case kCases[] = {{"timers", timers}, {"events", events}, {"reused", reused},
                       {"tasks", tasks},   {"rounds", rounds}, {"sockets", sockets}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}
