// Bad orders of events, made to happen each time on real connections: the front is stopped, both
// events are sent to it, and it goes on; or a peer acts on what it has seen. docs/races.md names
// each pair. Nothing here waits for a time to pass but where the time is what is tested.
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "pg_client.h"

using namespace reedchute;
using test::Case;
using test::Client;
using test::Drive;
using test::edits;
using test::ms;
using test::Seen;
using test::waitUntilArrived;
using test::waitUntilStoreReceives;
using test::yes;

namespace {

// A front whose client has had an answer.
struct Served : Drive {
  explicit Served(int stores) : Drive(stores), c(*this) { c.ask(Client::read("a")); }
  Client c;
};

// The front stands still, with the list's word unread that a store drains.
void drainUnread(
    Drive& d, int store, const std::function<void()>& before = [] {}) {
  d.until("watched", [&] { return d.toy.watched(); });
  d.stop();
  before();
  d.toy.setState(store, "draining");
  waitUntilArrived(d, [&] { return d.countSockets(d.listPort()).unread > 0; });
}

// A request and its client's going come together: it has gone before the front read what it asked.
void goesAtOnce() {
  for (bool resets : {false, true}) {
    Served d(1);
    Client leaves(d);
    Seen its(d, "b");
    d.stop();
    leaves.send(pg::query(Client::read("b")));
    resets ? leaves.reset() : leaves.socket->close();
    waitUntilArrived(d, [&] {
      return resets ? d.countSockets(d.port, true).open == 1
                    : d.countSockets(d.port, true).ended > 0;
    });
    d.resume();
    d.c.ask(Client::read("c"));
    std::printf("one that asks and %s at once: %d sent of it\n", resets ? "resets" : "closes",
                its.times);
  }
}

// More than the front reads ahead stands before the end.
void goesBehindMuch() {
  Drive d(1);
  Client other(d), leaves(d);
  int before = d.sent;
  std::string many = pg::query(Client::write("silent"));  // nothing goes beside a write
  for (int k = 0; k < 400; ++k) many += pg::query(Client::read("more" + std::to_string(k)));
  leaves.send(many);
  waitUntilStoreReceives(d, before);
  leaves.socket->close();
  bool left = d.until("it is withdrawn", [&] { return d.logged("sessions=1 "); });
  std::printf("400 statements behind one that is out, and gone: withdrawn %s, %d sent\n", yes(left),
              d.sent - before);
  other.asks("another one's", Client::read("a"));
}

// Its client leaves while a statement waits for room, for a connection, or for its next execution.
void goesWaiting() {
  {
    Served d(1);
    Client leaves(d);
    d.blockConnections(0);
    Seen its(d, "b");
    leaves.send(pg::query(Client::read("b")));
    d.until("the connection is dialled", [&] { return d.toy.holdsBack(0); });
    leaves.socket->close();
    d.c.ask("");
    d.toy.hold(0, false);
    d.c.ask(Client::read("c"));
    std::printf("gone while its connection was dialled: %d sent of it\n", its.times);
  }
  Drive d(1);
  Client other(d), leaves(d);
  int before = d.sent;
  Seen its(d, "slow50-ok");
  leaves.send(pg::query(Client::read("slow50-ok")));
  waitUntilStoreReceives(d, before);
  d.stop();
  d.toy.kill(0);
  d.toy.revive(0);
  leaves.socket->close();
  waitUntilArrived(d, [&] {
    return d.countSockets(d.toy.port(0)).ended > 0 && d.countSockets(d.port, true).ended > 0;
  });
  d.resume();
  d.until("another's is completed",
          [&] { return other.ask(Client::read("c")).find("row") != std::string::npos; });
  std::printf("gone as its execution's connection broke: %d sent of it after that\n",
              its.times - 1);
}

// A repeat within its window whose connection comes up after the window.
void windowEdge() {
  edits = {{"\"repeat_window\":3000000", "\"repeat_window\":400000"},
           {"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Served d(1);
  // What else is open there must not take the repeat.
  Seen its(d, "break-ok", [&] { d.toy.hold(0, true), d.toy.closeIdle(0); });
  d.toy.closeIdle(0);
  d.c.send(pg::query(Client::write("break-ok", 6000)));
  d.until("it was taken",
          [&] { return its.times > 0; });  // and its connection ended in the same step
  d.until("the repeat's connection is dialled", [&] { return d.toy.holdsBack(0); });
  d.pass(600);
  d.toy.hold(0, false);
  std::string got = d.c.get();
  std::printf("a repeat whose connection came up too late: %s; %d sent\n", got.c_str(), its.times);
}

// A bounded read waits for its connection to the primary; meanwhile an answer tells that it is none
// any more.
void roleLost() {
  // The SLO time is long: the read waits until the new primary is found, however slow this machine
  // is.
  edits = {{"\"lag_allowed\":[0,20000000", "\"lag_allowed\":[0,200000"},
           {"\"near\",\"repeat\":\"repeatable\",\"slo\":500000",
            "\"near\",\"repeat\":\"repeatable\",\"slo\":5000000"},
           {"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Drive d(2);
  d.toy.lag(1, ms(60'000));
  Client c(d), other(d);
  c.ask(Client::write("a"));
  d.until("bounded reads go to the primary", [&] {
    int had = d.toy.executions(0);
    c.ask(Client::read("b", 3000, "near"));
    return d.toy.executions(0) > had;
  });
  d.toy.promote(1), d.toy.lag(0, ms(60'000)), d.toy.lag(1, ms(0));
  Seen its(d, "slow300");
  c.send(pg::query(Client::read("slow300", 3000, "near")));
  d.until("one is out there", [&] { return its.times > 0; });
  d.toy.hold(0, true), d.toy.closeIdle(0);
  d.until("no connection rests there", [&] { return d.toy.connections(0) == 1; });
  d.toy.seen = [](int store, const std::string& text) {
    if (text.find("'waits'") != std::string::npos) std::printf("store %d sees it\n", store);
  };
  other.send(pg::query(Client::read("waits", 12'000, "near")));
  d.until("its connection is dialled", [&] { return d.toy.holdsBack(0); });
  c.get();                    // by which it is a replica, and its connection is free
  c.ask(Client::write("c"));  // finds the new one
  std::string got = other.get();
  std::printf("a bounded read whose primary lost the role meanwhile: %s\n", got.c_str());
}

// The last bytes of an idle connection come with its end, as a statement comes that must not run
// twice.
void endsWithWord() {
  for (const auto& [what, bytes] : {std::pair<const char*, std::string>{"nothing", ""},
                                    {"a parameter", pg::parameter("server_role", "writer")},
                                    {"half a line", std::string("S\0\0", 3)}}) {
    Served d(1);
    int before = d.sent;
    d.stop();
    int open = static_cast<int>(d.toy.connections(0));
    d.toy.closeIdle(0, bytes);
    waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(0)).ended >= open; });
    d.c.send(pg::query(Client::write("b", 3000, "once")));
    d.resume();
    std::string got = d.c.get();
    std::printf("an idle connection that ends with %s: %s; %d sent\n", what, got.c_str(),
                d.sent - before);
  }
}

// SIGTERM between a request's coming and its sending, and while its connection is dialled.
void termBetween() {
  {
    Served d(1);
    d.stop();
    d.c.send(pg::query(Client::write("b", 3000, "once")));
    waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread > 0; });
    d.signal(SIGTERM);
    d.resume();
    std::printf("SIGTERM with a request unread: %s\n", d.c.get().c_str());
    d.printExitCode();
  }
  Served d(1);
  d.blockConnections(0);
  d.c.send(pg::query(Client::write("b", 3000, "once")));
  d.until("the connection is dialled", [&] { return d.toy.holdsBack(0); });
  d.signal(SIGTERM);
  d.until("it is told", [&] { return d.logged("phase=leaving"); });
  d.toy.hold(0, false);
  std::printf("SIGTERM while its connection is dialled: %s\n", d.c.get().c_str());
  d.printExitCode();
}

// One that is owed an answer asks again long after SIGTERM: it is told so, as it could lose what it
// asked.
void termAsksAgain() {
  Drive d(1);
  Client c(d);
  int before = d.sent;
  c.send(pg::query(Client::read("slow1500", 5000)));
  waitUntilStoreReceives(d, before);
  d.signal(SIGTERM);
  d.until("it closes", [&] { return d.logged("phase=closing"); });
  d.pass(300);
  c.send(pg::query(Client::write("b", 3000, "once")));
  std::printf("owed as it closes, and asked again behind it: %s\n", c.get(2).c_str());
  std::printf("then: %s\n", c.get().c_str());
  c.socket->close();
  d.printExitCode();
}

// A request on a resting connection in the moment in which that is shut; one that came before is
// answered.
void restingShut() {
  Drive d(1);
  Client early(d), late(d);
  early.ask(Client::read("a")), late.ask(Client::read("b"));
  d.signal(SIGTERM);
  d.until("leaving", [&] { return d.logged("phase=leaving"); });
  d.stop();
  d.pass(700);  // the time to close has come while it stood still
  early.send(pg::query(Client::read("c")));
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread > 0; });
  Seen its(d, "d");
  d.resume();
  std::string got = early.get(1);
  bool one = got == "row 'value of c', ready" || got == "ERROR 53300, ready" ||
             got == "FATAL 57P03, closed";
  std::printf("asked before it was shut: %s\n", one ? "one answer" : got.c_str());
  std::printf("then: %s\n", early.get(1).c_str());
  std::printf("one that rests: %s\n", late.get(1).c_str());
  late.send(pg::query(Client::read("d")));
  d.pass(50);
  int error = -1;
  socklen_t size = sizeof error;
  getsockopt(late.socket->fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  std::printf("asked as it was shut: %d sent, reset %s\n", its.times, yes(error != 0));
  late.socket->close(), early.socket->close();
  d.printExitCode();
}

// What a watch has brought counts as told, though a signal moves the list elsewhere in the same
// moment.
void moves() {
  for (bool silent : {true, false}) {
    Served d(2);
    toy::Toy moved(d.s);
    moved.addStore(true, 7);
    int port = moved.serveList();
    moved.silenceList(silent);
    // The signal comes before the watch's answer, so that it is taken first.
    drainUnread(d, 1, [&] { d.configure(port), d.signal(SIGHUP); });
    d.resume();
    bool told = d.until("the change is heard",
                        [&] { return d.logged("id=toy-1 group=7 state=draining"); });
    std::printf("SIGHUP while a watch brings a drain, the new service %s: heard %s\n",
                silent ? "silent" : "answers", yes(told));
    if (silent) {
      d.toy.setState(1, "removed");
      std::printf("the old watch goes on meanwhile: %s\n",
                  yes(d.until("heard", [&] { return d.logged("state=gone"); })));
      moved.silenceList(false);
    }
    std::printf("the new one is heard in the end: %s\n",
                yes(d.until("heard", [&] { return d.logged("full=1 entries=1"); })));
  }
}

// All times of the list stand far apart but for the grace, so that only calls made at once are in
// time.
void slowButForGrace() {
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":8000000"},
           {"\"ask_every\"", "\"stop_sending_within\":500000,\"ask_every\""}};
}

void watchReset() {
  slowButForGrace();
  Served d(2);
  d.until("watched", [&] { return d.toy.watched(); });
  d.stop();
  d.toy.resetList();
  waitUntilArrived(d, [&] { return d.countSockets(d.listPort()).open == 0; });
  d.toy.setState(1, "draining");
  TimePoint since = d.s.now();
  d.resume();
  d.until("told", [&] { return d.logged("state=draining"); });
  std::printf("a drain right behind a reset of the watch: told %s\n",
              d.s.now() - since < ms(3000) ? "at once" : "late");
}

void listAway() {
  slowButForGrace();
  Drive d(2);
  int port = d.listPort();
  d.toy.closeList();
  d.until("it is noticed", [&] { return d.logged("discovery_unreachable"); });
  d.pass(700);
  d.toy.setState(1, "draining");
  TimePoint since = d.s.now();
  d.toy.serveList(static_cast<std::uint16_t>(port));
  d.until("told", [&] { return d.logged("state=draining"); });
  std::printf("the service was away, and has a drain at its return: told %s\n",
              d.s.now() - since < ms(3000) ? "at once" : "late");
}

// The service takes calls and stays silent, and has a drain as it speaks again.
void listSilent() {
  slowButForGrace();
  Drive d(2);
  d.until("watched", [&] { return d.toy.watched(); });
  d.toy.silenceList(true);
  d.toy.resetList();
  TimePoint since = d.s.now();
  d.pass(300);
  d.toy.setState(1, "draining");
  d.toy.silenceList(false);
  d.until("told", [&] { return d.logged("state=draining"); });
  std::printf("calls of its silent time stay open; the next ones: told %s\n",
              d.s.now() - since < ms(6000) ? "before that counts" : "late");
}

void noLength() {
  Drive d(2);
  d.toy.spoilList("HTTP/1.0 200 OK\r\n\r\n{\"version\":9,\"full\":true,\"servers\":[]}");
  d.toy.setState(1, "draining");
  d.until("refused", [&] { return d.logged("discovery_invalid_response"); });
  d.until("the next call", [&] { return d.logged("state=draining"); });
  std::printf("an answer without length that is reset is taken for whole: %s\n",
              yes(d.logged("version=9")));
}

void endlessList() {
  for (const char* kind :
       {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    Drive d(2);
    std::string many = kind;
    bool interim = many.find("100") != std::string::npos;
    for (std::string one = interim ? many : "1;" + std::string(1000, 'x') + "\r\n{\r\n";
         many.size() < (8u << 20);)
      many += one;
    Client c(d);
    d.toy.spoilList(many);
    d.toy.setState(1, "draining");
    c.asks("while the list's answer does not end", Client::read("a"));
    d.until("given up", [&] {
      return d.logged("discovery_invalid_response") || d.logged("discovery_timeout");
    });
    std::printf("and the next call: %s\n",
                yes(d.until("told", [&] { return d.logged("state=draining"); })));
  }
}

void endlessAnswer() {
  Drive d(1);
  Client c(d), other(d);
  TimePoint since = d.s.now();
  int before = d.sent;
  c.send(pg::query(Client::write("endless", 20'000, "once")));
  waitUntilStoreReceives(d, before);
  other.asks("while a store's answer does not end", Client::read("a"));
  std::printf("an answer without end: %s, ", c.get().c_str());
  std::printf("%s\n", d.s.now() - since < ms(10'000) ? "long before its client's time" : "late");
  c.asks("and the next", Client::read("b"));
  std::printf("logged: %s\n", yes(d.logged("upstream_protocol_error")));
}

// A connection that comes up late, or never.
void dials() {
  Drive d(2);
  Client c(d);
  for (int k = 0; k < 40; ++k) c.ask(Client::read("ok"));
  d.blockConnections(1);
  int completed = 0;
  for (int k = 0; k < 10; ++k)
    completed += c.ask(Client::read("a")).find("row") != std::string::npos;
  std::printf("a replica whose connections never come up: %d of 10 completed\n", completed);
  std::printf("connections that wait there: %s\n", d.toy.connections(1) < 4 ? "few" : "many");
  d.pass(1500);
  d.toy.hold(1, false);
  int had = d.toy.executions(1);
  bool back = d.until("it is used again",
                      [&] { return c.ask(Client::read("b")), d.toy.executions(1) > had; });
  std::printf("once they come up: used again %s\n", yes(back));
}

// A drain comes together with what would bring a statement to that store.
void drainsEverywhere() {
  {
    Drive d(2);
    Client c(d);
    while (d.toy.executions(1) == 0) c.ask(Client::read("a"));
    int had = d.toy.executions(1);
    drainUnread(d, 1);
    c.send(pg::query(Client::read("b")));
    d.resume();
    c.get();
    std::printf("a drain and a request, a connection in the pool: %d sent there\n",
                d.toy.executions(1) - had);
  }
  {
    Drive d(2);
    Client c(d), other(d);
    while (d.toy.executions(1) == 0) c.ask(Client::read("a"));
    int had = d.toy.executions(1), before = d.sent;
    // One is out at each store; the replica's connection breaks as it drains, and its statement
    // needs another.
    other.send(pg::query(Client::read("slow300-slow300")));
    c.send(pg::query(Client::read("slow300-ok")));
    d.until("both are out", [&] { return d.sent >= before + 2; });
    int out = d.toy.executions(1) - had;
    drainUnread(d, 1);
    d.toy.kill(1), d.toy.revive(1);
    waitUntilArrived(d, [&] {
      return d.countSockets(d.toy.port(1)).ended > 0 && d.countSockets(d.toy.port(1)).open == 0;
    });
    d.resume();
    c.get(), other.get();
    std::printf("a drain between two executions: %d more sent there\n",
                d.toy.executions(1) - had - out);
  }
  Served d(1);
  d.blockConnections(0);
  int had = d.toy.executions(0);
  d.c.send(pg::query(Client::write("b", 1500, "once")));
  d.until("the connection is dialled", [&] { return d.toy.holdsBack(0); });
  drainUnread(d, 0);
  d.toy.hold(0, false);
  waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(0)).unread > 0; });
  d.resume();
  std::printf("a drain as the connection comes up: %s", d.c.get().c_str());
  std::printf("; %d sent there\n", d.toy.executions(0) - had);
}

// The answer and the end of its client's time come together: one final answer, and the next
// statement gets its own.
void answerAtDeadline() {
  Served d(1);
  int before = d.sent;
  d.c.send(pg::query(Client::write("slow100", 600, "once")));
  waitUntilStoreReceives(d, before);
  d.stop();
  waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(0)).unread > 0; });
  d.pass(700);
  d.resume();
  std::string got = d.c.get();
  bool one = got == "row 'value of slow100', ready" || got == "ERROR 57014, ready";
  std::printf("an answer at the end of its time: %s\n", one ? "one" : got.c_str());
  d.c.asks("the next one gets its own", Client::read("b"));
}

// Much stands unread as a client is told its last word.
void lastWord() {
  Drive d(1);
  Client c(d);
  c.send(std::string("Q\x7f\0\0\0", 5) + std::string(40'000, 'x'));
  std::printf("garbled, with much behind it: %s", c.get().c_str());
  std::printf(", reset %s\n", yes(c.socket->wasReset()));
  Client other(d);
  other.asks("another one's", Client::read("a"));
}

// A client that reads slowly has its answer for as long as it waits; one that reads nothing holds
// its place no longer.
void readsSlowly() {
  Drive d(1, 256, "automatic", "", false, 64,
          "600000");  // connections rest shorter than clients wait
  Client slow(d, true, true), never(d, true, true);
  int before = d.sent;
  slow.send(pg::query(Client::read("big700000")));
  waitUntilStoreReceives(d, before);
  d.pass(1200);  // twice that
  std::string got = slow.get();
  std::printf("it reads after twice that time: %s\n", got.substr(0, 8).c_str());
  never.send(pg::query(Client::read("big700000", 900)));
  bool ended = d.until("it is ended", [&] { return d.logged("sessions=1 "); });
  std::printf("one that reads nothing is ended: %s\n", yes(ended));
}

// The rest of a request comes behind a client for whom there is no room but its own.
void roomForOne() {
  Drive d(1, 64);
  Client slow(d);
  slow.ask(Client::read("a"));
  std::string text = pg::query(Client::write("b", 3000, "once"));
  slow.send(text.substr(0, 20));
  std::vector<std::unique_ptr<Client>> silent;
  for (int k = 0; k < 26; ++k) silent.push_back(std::make_unique<Client>(d));
  d.pass(100);  // all have been silent for long enough
  d.stop();
  Client last(d, false);
  last.send(pg::startup("web", "orders") + pg::query(Client::read("c")));
  slow.send(text.substr(20));
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread > 0; });
  d.resume();
  std::printf("the rest of a request, behind one that needs room: %s\n", slow.get().c_str());
  std::printf("that one: %s\n", last.get(2).c_str());
}

// Connections that the kernel has taken in and the front has not, as it is told to end: they wait
// for the list.
void termUnaccepted() {
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Drive d(1);
  d.toy.silenceList(true), d.awaitsList = false;
  d.killAndStart();
  Client asks(d, false), silent(d, false);
  asks.send(pg::startup("web", "orders") + pg::query(Client::write("b", 3000, "once")));
  silent.send(pg::startup("web", "orders"));
  d.signal(SIGTERM);
  std::printf("one that has asked: %s\n", asks.get(2).c_str());
  std::printf("one that has not: %s\n", silent.get(2).c_str());
  d.printExitCode();
}

// A process that starts waits for its first list; the time of its clients runs meanwhile.
void startsUnheard() {
  constexpr int kDeadlineMs = 300;
  constexpr int kStillOwedMs = 500;  // after its time an answer earns nothing; later it is lost
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Drive d(1);
  d.toy.silenceList(true), d.awaitsList = false;
  d.killAndStart();
  int before = d.sent;
  Client hurried(d, false), patient(d, false);
  TimePoint asked = d.s.now();
  hurried.send(pg::startup("web", "orders") + pg::query(Client::read("a", kDeadlineMs)));
  patient.send(pg::startup("web", "orders") + pg::query(Client::write("b", 9'000, "once")));
  std::string got = hurried.get(2);
  bool inTime = d.s.now() - asked <= ms(kDeadlineMs + kStillOwedMs);
  std::printf("asked for 0.3 s, the list silent: %s, in time %s, %d sent\n", test::outcomeOf(got),
              yes(inTime), d.sent - before);
  d.toy.silenceList(false);
  std::printf("asked for 9 s: %s\n", patient.get(2).c_str());
}

// Idle clients hold all places while the list's service is away; it and the stores are reached all
// the same.
void fullHouse() {
  Drive d(2, 64);
  Client first(d);
  first.ask(Client::read("a"));
  int port = d.listPort();
  d.toy.closeList();
  d.until("it is noticed", [&] { return d.logged("discovery_unreachable"); });
  std::vector<std::unique_ptr<Client>> idle;
  for (int k = 0; k < 40; ++k) idle.push_back(std::make_unique<Client>(d));
  std::printf("it says so: %s\n",
              yes(d.until("logged", [&] { return d.logged("client_limit_reached"); })));
  d.toy.closeIdle(0), d.toy.closeIdle(1);
  idle.back()->asks("all places taken, connections to stores closed", Client::read("b"));
  d.toy.setState(1, "draining");
  d.toy.serveList(static_cast<std::uint16_t>(port));
  std::printf("the service is heard at its return: %s\n",
              yes(d.until("told", [&] { return d.logged("state=draining"); })));
  int had = d.toy.executions(1);
  idle.back()->ask(Client::read("c"));
  std::printf("and heeded: %d sent to the one that drains\n", d.toy.executions(1) - had);
}

const Case kCases[] = {{"goesAtOnce", goesAtOnce},
                       {"goesBehindMuch", goesBehindMuch},
                       {"goesWaiting", goesWaiting},
                       {"windowEdge", windowEdge},
                       {"roleLost", roleLost},
                       {"endsWithWord", endsWithWord},
                       {"termBetween", termBetween},
                       {"restingShut", restingShut},
                       {"termAsksAgain", termAsksAgain},
                       {"moves", moves},
                       {"watchReset", watchReset},
                       {"listAway", listAway},
                       {"listSilent", listSilent},
                       {"noLength", noLength},
                       {"endlessList", endlessList},
                       {"endlessAnswer", endlessAnswer},
                       {"dials", dials},
                       {"drainsEverywhere", drainsEverywhere},
                       {"answerAtDeadline", answerAtDeadline},
                       {"lastWord", lastWord},
                       {"readsSlowly", readsSlowly},
                       {"termUnaccepted", termUnaccepted},
                       {"startsUnheard", startsUnheard},
                       {"roomForOne", roomForOne},
                       {"fullHouse", fullHouse}};

}  // namespace

// races PROGRAM CASE
int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}
