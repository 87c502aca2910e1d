// Races between two events, reproduced deterministically on real connections: the proxy is stopped,
// both events are sent to it, and it continues; or a peer acts on what it has received.
// docs/races.md names each pair. The tests only wait for time to pass where the time itself is
// tested.
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

// A proxy and a client that has received an answer.
struct DriveWithClient : Drive {
  explicit DriveWithClient(int stores) : Drive(stores), c(*this) { c.ask(Client::read("a")); }
  Client c;
};

// Stops the proxy, then marks a store as draining. Returns once the update is in the proxy's
// receive buffer, unread. `before` runs after the stop and before the update.
void stopWithDrainUnread(
    Drive& d, int store, const std::function<void()>& before = [] {}) {
  d.until("watched", [&] { return d.toy.hasWatchers(); });
  d.stop();
  before();
  d.toy.setState(store, "draining");
  waitUntilArrived(d, [&] { return d.countSockets(d.listPort()).unread > 0; });
}

// A request and its client's disconnect arrive together: the client has disconnected before the
// proxy reads the request.
void goesAtOnce() {
  for (bool resets : {false, true}) {
    DriveWithClient d(1);
    Client leaving(d);
    Seen executions(d, "b");
    d.stop();
    leaving.send(pg::query(Client::read("b")));
    resets ? leaving.reset() : leaving.socket->close();
    waitUntilArrived(d, [&] {
      return resets ? d.countSockets(d.port, true).open == 1
                    : d.countSockets(d.port, true).ended > 0;
    });
    d.resume();
    d.c.ask(Client::read("c"));
    std::printf("one that asks and %s at once: %d sent of it\n", resets ? "resets" : "closes",
                executions.times);
  }
}

// A client's disconnect is behind more pipelined data than the proxy reads ahead.
void goesBehindMuch() {
  Drive d(1);
  Client other(d), leaving(d);
  int sentBefore = d.sent;
  std::string requests = pg::query(Client::write("silent"));  // no statement runs beside a write
  for (int k = 0; k < 400; ++k) requests += pg::query(Client::read("more" + std::to_string(k)));
  leaving.send(requests);
  waitUntilStoreReceives(d, sentBefore);
  leaving.socket->close();
  bool isWithdrawn = d.until("it is withdrawn", [&] { return d.logged("sessions=1 "); });
  std::printf("400 statements behind one that is out, and gone: withdrawn %s, %d sent\n",
              yes(isWithdrawn), d.sent - sentBefore);
  other.asks("another one's", Client::read("a"));
}

// A client disconnects while its statement waits for a connection, or for its next execution.
void goesWaiting() {
  {
    DriveWithClient d(1);
    Client leaving(d);
    d.blockConnections(0);
    Seen executions(d, "b");
    leaving.send(pg::query(Client::read("b")));
    d.until("the connection is dialled", [&] { return d.toy.holdsGreeting(0); });
    leaving.socket->close();
    d.c.ask("");
    d.toy.hold(0, false);
    d.c.ask(Client::read("c"));
    std::printf("gone while its connection was dialled: %d sent of it\n", executions.times);
  }
  Drive d(1);
  Client other(d), leaving(d);
  int sentBefore = d.sent;
  Seen executions(d, "slow50-ok");
  leaving.send(pg::query(Client::read("slow50-ok")));
  waitUntilStoreReceives(d, sentBefore);
  d.stop();
  d.toy.kill(0);
  d.toy.restart(0);
  leaving.socket->close();
  waitUntilArrived(d, [&] {
    return d.countSockets(d.toy.port(0)).ended > 0 && d.countSockets(d.port, true).ended > 0;
  });
  d.resume();
  d.until("another's is completed",
          [&] { return other.ask(Client::read("c")).find("row") != std::string::npos; });
  std::printf("gone as its execution's connection broke: %d sent of it after that\n",
              executions.times - 1);
}

// A retry begins within the deduplication window, and its connection is established after it.
void windowEdge() {
  edits = {{"\"repeat_window\":3000000", "\"repeat_window\":400000"},
           {"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  DriveWithClient d(1);
  // Other open connections to the store must not receive the retry.
  Seen executions(d, "break-ok", [&] { d.toy.hold(0, true), d.toy.closeIdle(0); });
  d.toy.closeIdle(0);
  d.c.send(pg::query(Client::write("break-ok", 6000)));
  d.until("it was taken",
          [&] { return executions.times > 0; });  // its connection was closed in the same step
  d.until("the repeat's connection is dialled", [&] { return d.toy.holdsGreeting(0); });
  d.pass(600);
  d.toy.hold(0, false);
  std::string answer = d.c.get();
  std::printf("a repeat whose connection came up too late: %s; %d sent\n", answer.c_str(),
              executions.times);
}

// A bounded read waits for its connection to the primary; meanwhile an answer reports that this
// store is no longer the primary.
void roleLost() {
  // The SLO is long, so that the read waits until the new primary is found even on a slow machine.
  edits = {{"\"lag_allowed\":[0,20000000", "\"lag_allowed\":[0,200000"},
           {"\"near\",\"repeat\":\"repeatable\",\"slo\":500000",
            "\"near\",\"repeat\":\"repeatable\",\"slo\":5000000"},
           {"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Drive d(2);
  d.toy.setLag(1, ms(60'000));
  Client c(d), other(d);
  c.ask(Client::write("a"));
  d.until("bounded reads go to the primary", [&] {
    int executionsBefore = d.toy.executions(0);
    c.ask(Client::read("b", 3000, "near"));
    return d.toy.executions(0) > executionsBefore;
  });
  d.toy.promote(1), d.toy.setLag(0, ms(60'000)), d.toy.setLag(1, ms(0));
  Seen executions(d, "slow300");
  c.send(pg::query(Client::read("slow300", 3000, "near")));
  d.until("one is out there", [&] { return executions.times > 0; });
  d.toy.hold(0, true), d.toy.closeIdle(0);
  d.until("no connection rests there", [&] { return d.toy.connections(0) == 1; });
  d.toy.onStatement = [](int store, const std::string& text) {
    if (text.find("'waits'") != std::string::npos) std::printf("store %d sees it\n", store);
  };
  other.send(pg::query(Client::read("waits", 12'000, "near")));
  d.until("its connection is dialled", [&] { return d.toy.holdsGreeting(0); });
  c.get();                    // reports that store 0 is a replica; its connection is free
  c.ask(Client::write("c"));  // finds the new primary
  std::string answer = other.get();
  std::printf("a bounded read whose primary lost the role meanwhile: %s\n", answer.c_str());
}

// A store closes an idle connection, with or without last bytes, as a statement arrives that must
// not run twice.
void endsWithWord() {
  for (const auto& [what, bytes] : {std::pair<const char*, std::string>{"nothing", ""},
                                    {"a parameter", pg::parameter("server_role", "writer")},
                                    {"half a line", std::string("S\0\0", 3)}}) {
    DriveWithClient d(1);
    int sentBefore = d.sent;
    d.stop();
    int openBefore = static_cast<int>(d.toy.connections(0));
    d.toy.closeIdle(0, bytes);
    waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(0)).ended >= openBefore; });
    d.c.send(pg::query(Client::write("b", 3000, "once")));
    d.resume();
    std::string answer = d.c.get();
    std::printf("an idle connection that ends with %s: %s; %d sent\n", what, answer.c_str(),
                d.sent - sentBefore);
  }
}

// SIGTERM after a request has arrived and before it is sent, and while its connection is dialled.
void termBetween() {
  {
    DriveWithClient d(1);
    d.stop();
    d.c.send(pg::query(Client::write("b", 3000, "once")));
    waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread > 0; });
    d.signal(SIGTERM);
    d.resume();
    std::printf("SIGTERM with a request unread: %s\n", d.c.get().c_str());
    d.printExitCode();
  }
  DriveWithClient d(1);
  d.blockConnections(0);
  d.c.send(pg::query(Client::write("b", 3000, "once")));
  d.until("the connection is dialled", [&] { return d.toy.holdsGreeting(0); });
  d.signal(SIGTERM);
  d.until("it is told", [&] { return d.logged("phase=leaving"); });
  d.toy.hold(0, false);
  std::printf("SIGTERM while its connection is dialled: %s\n", d.c.get().c_str());
  d.printExitCode();
}

// A client with a pending answer sends another request long after SIGTERM: the request is refused
// explicitly, because it could otherwise be lost.
void termAsksAgain() {
  Drive d(1);
  Client c(d);
  int sentBefore = d.sent;
  c.send(pg::query(Client::read("slow1500", 5000)));
  waitUntilStoreReceives(d, sentBefore);
  d.signal(SIGTERM);
  d.until("it closes", [&] { return d.logged("phase=closing"); });
  d.pass(300);
  c.send(pg::query(Client::write("b", 3000, "once")));
  std::printf("owed as it closes, and asked again behind it: %s\n", c.get(2).c_str());
  std::printf("then: %s\n", c.get().c_str());
  c.socket->close();
  d.printExitCode();
}

// A request arrives on an idle connection just as the proxy shuts it; a request that arrived before
// is answered.
void restingShut() {
  Drive d(1);
  Client early(d), late(d);
  early.ask(Client::read("a")), late.ask(Client::read("b"));
  d.signal(SIGTERM);
  d.until("leaving", [&] { return d.logged("phase=leaving"); });
  d.stop();
  d.pass(700);  // the time to close passes while the proxy is stopped
  early.send(pg::query(Client::read("c")));
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread > 0; });
  Seen executions(d, "d");
  d.resume();
  std::string answer = early.get(1);
  bool isOneAnswer = answer == "row 'value of c', ready" || answer == "ERROR 53300, ready" ||
                     answer == "FATAL 57P03, closed";
  std::printf("asked before it was shut: %s\n", isOneAnswer ? "one answer" : answer.c_str());
  std::printf("then: %s\n", early.get(1).c_str());
  std::printf("one that rests: %s\n", late.get(1).c_str());
  late.send(pg::query(Client::read("d")));
  d.pass(50);
  int error = -1;
  socklen_t size = sizeof error;
  getsockopt(late.socket->fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  std::printf("asked as it was shut: %d sent, reset %s\n", executions.times, yes(error != 0));
  late.socket->close(), early.socket->close();
  d.printExitCode();
}

// An update that a watch has returned counts as received, even if SIGHUP moves the endpoint list to
// another address at the same moment.
void moves() {
  for (bool isSilent : {true, false}) {
    DriveWithClient d(2);
    toy::Toy moved(d.s);
    moved.addStore(true, 7);
    int port = moved.serveList();
    moved.setListUnresponsive(isSilent);
    // The signal is sent before the watch's answer, so that it is handled first.
    stopWithDrainUnread(d, 1, [&] { d.configure(port), d.signal(SIGHUP); });
    d.resume();
    bool isReceived = d.until("the change is heard",
                              [&] { return d.logged("id=toy-1 group=7 state=draining"); });
    std::printf("SIGHUP while a watch brings a drain, the new service %s: heard %s\n",
                isSilent ? "silent" : "answers", yes(isReceived));
    if (isSilent) {
      d.toy.setState(1, "removed");
      std::printf("the old watch goes on meanwhile: %s\n",
                  yes(d.until("heard", [&] { return d.logged("state=gone"); })));
      moved.setListUnresponsive(false);
    }
    std::printf("the new one is heard in the end: %s\n",
                yes(d.until("heard", [&] { return d.logged("full=1 entries=1"); })));
  }
}

// Makes all times for fetching the endpoint list long except for stop_sending_within, so that only
// a call that is made at once is in time.
void lengthenListTimes() {
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":8000000"},
           {"\"ask_every\"", "\"stop_sending_within\":500000,\"ask_every\""}};
}

void watchReset() {
  lengthenListTimes();
  DriveWithClient d(2);
  d.until("watched", [&] { return d.toy.hasWatchers(); });
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
  lengthenListTimes();
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

// The list service accepts calls without answering; when it answers again, it reports a drain.
void listSilent() {
  lengthenListTimes();
  Drive d(2);
  d.until("watched", [&] { return d.toy.hasWatchers(); });
  d.toy.setListUnresponsive(true);
  d.toy.resetList();
  TimePoint since = d.s.now();
  d.pass(300);
  d.toy.setState(1, "draining");
  d.toy.setListUnresponsive(false);
  d.until("told", [&] { return d.logged("state=draining"); });
  std::printf("calls of its silent time stay open; the next ones: told %s\n",
              d.s.now() - since < ms(6000) ? "before that counts" : "late");
}

void noLength() {
  Drive d(2);
  d.toy.overrideListResponse("HTTP/1.0 200 OK\r\n\r\n{\"version\":9,\"full\":true,\"servers\":[]}");
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
    std::string response = kind;
    bool isInterim = response.find("100") != std::string::npos;
    for (std::string part = isInterim ? response : "1;" + std::string(1000, 'x') + "\r\n{\r\n";
         response.size() < (8u << 20);)
      response += part;
    Client c(d);
    d.toy.overrideListResponse(response);
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
  int sentBefore = d.sent;
  c.send(pg::query(Client::write("endless", 20'000, "once")));
  waitUntilStoreReceives(d, sentBefore);
  other.asks("while a store's answer does not end", Client::read("a"));
  std::printf("an answer without end: %s, ", c.get().c_str());
  std::printf("%s\n", d.s.now() - since < ms(10'000) ? "long before its client's time" : "late");
  c.asks("and the next", Client::read("b"));
  std::printf("logged: %s\n", yes(d.logged("upstream_protocol_error")));
}

// Connections to a store that are established late or never.
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
  int executionsBefore = d.toy.executions(1);
  bool isUsedAgain = d.until("it is used again", [&] {
    return c.ask(Client::read("b")), d.toy.executions(1) > executionsBefore;
  });
  std::printf("once they come up: used again %s\n", yes(isUsedAgain));
}

// A drain arrives together with an event that would send a statement to that store.
void drainsEverywhere() {
  {
    Drive d(2);
    Client c(d);
    while (d.toy.executions(1) == 0) c.ask(Client::read("a"));
    int executionsBefore = d.toy.executions(1);
    stopWithDrainUnread(d, 1);
    c.send(pg::query(Client::read("b")));
    d.resume();
    c.get();
    std::printf("a drain and a request, a connection in the pool: %d sent there\n",
                d.toy.executions(1) - executionsBefore);
  }
  {
    Drive d(2);
    Client c(d), other(d);
    while (d.toy.executions(1) == 0) c.ask(Client::read("a"));
    int executionsBefore = d.toy.executions(1), sentBefore = d.sent;
    // One statement is in flight at each store. The replica's connection breaks as the replica
    // drains, and its statement needs another execution.
    other.send(pg::query(Client::read("slow300-slow300")));
    c.send(pg::query(Client::read("slow300-ok")));
    d.until("both are out", [&] { return d.sent >= sentBefore + 2; });
    int inFlight = d.toy.executions(1) - executionsBefore;
    stopWithDrainUnread(d, 1);
    d.toy.kill(1), d.toy.restart(1);
    waitUntilArrived(d, [&] {
      return d.countSockets(d.toy.port(1)).ended > 0 && d.countSockets(d.toy.port(1)).open == 0;
    });
    d.resume();
    c.get(), other.get();
    std::printf("a drain between two executions: %d more sent there\n",
                d.toy.executions(1) - executionsBefore - inFlight);
  }
  DriveWithClient d(1);
  d.blockConnections(0);
  int executionsBefore = d.toy.executions(0);
  d.c.send(pg::query(Client::write("b", 1500, "once")));
  d.until("the connection is dialled", [&] { return d.toy.holdsGreeting(0); });
  stopWithDrainUnread(d, 0);
  d.toy.hold(0, false);
  waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(0)).unread > 0; });
  d.resume();
  std::printf("a drain as the connection comes up: %s", d.c.get().c_str());
  std::printf("; %d sent there\n", d.toy.executions(0) - executionsBefore);
}

// The store's answer and the deadline coincide: the client gets one final answer, and the next
// statement gets its own.
void answerAtDeadline() {
  DriveWithClient d(1);
  int sentBefore = d.sent;
  d.c.send(pg::query(Client::write("slow100", 600, "once")));
  waitUntilStoreReceives(d, sentBefore);
  d.stop();
  waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(0)).unread > 0; });
  d.pass(700);
  d.resume();
  std::string answer = d.c.get();
  bool isOneAnswer = answer == "row 'value of slow100', ready" || answer == "ERROR 57014, ready";
  std::printf("an answer at the end of its time: %s\n", isOneAnswer ? "one" : answer.c_str());
  d.c.asks("the next one gets its own", Client::read("b"));
}

// The time that a statement tells its store, in milliseconds.
int timeTold(const std::string& text) {
  return std::atoi(text.c_str() + text.find(",d=") + 3);
}

// A statement that arrives while the proxy is held up, on a new connection or an open one: its time
// runs from when it arrived, and its store is told no more than what is left.
void toldAfterHold() {
  constexpr int kDeadlineMs = 3000, kSlackMs = 150;
  for (int heldMs : {200, 500, 1500}) {
    DriveWithClient d(1);
    int toldMs = 0;
    TimePoint receivedAt;
    d.toy.onStatement = [&](int, const std::string& text) {
      toldMs = timeTold(text), receivedAt = d.s.now();
    };
    for (bool isNew : {false, true}) {
      d.pass(100);  // the proxy is idle
      d.stop();
      Client newcomer(d, false);
      std::string request = pg::query(Client::read("b", kDeadlineMs));
      TimePoint sentAt = d.s.now();
      isNew ? newcomer.send(pg::startup("web", "orders") + request) : d.c.send(request);
      d.pass(heldMs);
      d.resume();
      std::string answer = isNew ? newcomer.get(2) : d.c.get();
      Duration left = ms(kDeadlineMs) - (receivedAt - sentAt);
      std::printf("held up for %d ms, %s connection: no more told than is left %s; %s\n", heldMs,
                  isNew ? "a new" : "an open", yes(ms(toldMs) <= left + ms(kSlackMs)),
                  answer.c_str());
    }
  }
}

// Clients that send nothing take all places while the proxy is held up, and a statement waits
// behind them in the accept queue, where the proxy leaves it for a while: its time runs from when
// it arrived.
void toldAfterFullHouse() {
  constexpr int kDeadlineMs = 3000, kSlackMs = 150, kHeldMs = 400, kMaxDescriptors = 64;
  Drive d(1, kMaxDescriptors);
  Client(d).ask(Client::read("a"));
  int toldMs = 0;
  TimePoint receivedAt;
  d.toy.onStatement = [&](int, const std::string& text) {
    toldMs = timeTold(text), receivedAt = d.s.now();
  };
  d.pass(100);  // the proxy is idle
  d.stop();
  std::vector<std::unique_ptr<Client>> silent;
  for (int k = 0; k < kMaxDescriptors; ++k) silent.push_back(std::make_unique<Client>(d, false));
  Client newcomer(d, false);
  TimePoint sentAt = d.s.now();
  newcomer.send(pg::startup("web", "orders") + pg::query(Client::read("b", kDeadlineMs)));
  d.pass(kHeldMs);
  d.resume();
  std::string answer = newcomer.get(2);
  Duration left = ms(kDeadlineMs) - (receivedAt - sentAt);
  std::printf("all places were taken %s; no more told than is left %s; %s\n",
              yes(d.logged("client_limit_reached")), yes(ms(toldMs) <= left + ms(kSlackMs)),
              answer.c_str());
}

// The proxy sends a fatal error and closes while much of the client's data is unread: the client
// receives the error, without a reset.
void lastWord() {
  Drive d(1);
  Client c(d);
  c.send(std::string("Q\x7f\0\0\0", 5) + std::string(40'000, 'x'));
  std::printf("garbled, with much behind it: %s", c.get().c_str());
  std::printf(", reset %s\n", yes(c.socket->wasReset()));
  Client other(d);
  other.asks("another one's", Client::read("a"));
}

// A client that reads slowly gets its answer until its deadline; a client that reads nothing is
// closed after its deadline.
void readsSlowly() {
  Drive d(1, 256, "automatic", "", false, 64,
          "600000");  // the keepalive is shorter than the clients' deadlines
  Client slow(d, true, true), nonReading(d, true, true);
  int sentBefore = d.sent;
  slow.send(pg::query(Client::read("big700000")));
  waitUntilStoreReceives(d, sentBefore);
  d.pass(1200);  // twice the keepalive
  std::string answer = slow.get();
  std::printf("it reads after twice that time: %s\n", answer.substr(0, 8).c_str());
  nonReading.send(pg::query(Client::read("big700000", 900)));
  bool isClosed = d.until("it is ended", [&] { return d.logged("sessions=1 "); });
  std::printf("one that reads nothing is ended: %s\n", yes(isClosed));
}

// The rest of a request arrives behind a new client that only fits if the sender of that request is
// closed.
void roomForOne() {
  Drive d(1, 64);
  Client slow(d);
  slow.ask(Client::read("a"));
  std::string request = pg::query(Client::write("b", 3000, "once"));
  slow.send(request.substr(0, 20));
  std::vector<std::unique_ptr<Client>> idle;
  for (int k = 0; k < 26; ++k) idle.push_back(std::make_unique<Client>(d));
  d.pass(100);  // all have been idle for long enough to be closed
  d.stop();
  Client newcomer(d, false);
  newcomer.send(pg::startup("web", "orders") + pg::query(Client::read("c")));
  slow.send(request.substr(20));
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread > 0; });
  d.resume();
  std::printf("the rest of a request, behind one that needs room: %s\n", slow.get().c_str());
  std::printf("that one: %s\n", newcomer.get(2).c_str());
}

// SIGTERM while connections that the kernel has established are not yet accepted by the proxy,
// which waits for its first endpoint list.
void termUnaccepted() {
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Drive d(1);
  d.toy.setListUnresponsive(true), d.awaitsList = false;
  d.killAndStart();
  Client requesting(d, false), silent(d, false);
  requesting.send(pg::startup("web", "orders") + pg::query(Client::write("b", 3000, "once")));
  silent.send(pg::startup("web", "orders"));
  d.signal(SIGTERM);
  std::printf("one that has asked: %s\n", requesting.get(2).c_str());
  std::printf("one that has not: %s\n", silent.get(2).c_str());
  d.printExitCode();
}

// A process that starts waits for its first endpoint list; the deadlines of its clients run
// meanwhile.
void startsUnheard() {
  constexpr int kDeadlineMs = 300;
  // An answer after the deadline has no value; one that is later than this counts as lost.
  constexpr int kLossDelayMs = 500;
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Drive d(1);
  d.toy.setListUnresponsive(true), d.awaitsList = false;
  d.killAndStart();
  int sentBefore = d.sent;
  Client hurried(d, false), patient(d, false);
  TimePoint sentAt = d.s.now();
  hurried.send(pg::startup("web", "orders") + pg::query(Client::read("a", kDeadlineMs)));
  patient.send(pg::startup("web", "orders") + pg::query(Client::write("b", 9'000, "once")));
  std::string answer = hurried.get(2);
  bool isInTime = d.s.now() - sentAt <= ms(kDeadlineMs + kLossDelayMs);
  std::printf("asked for 0.3 s, the list silent: %s, in time %s, %d sent\n",
              test::outcomeOf(answer), yes(isInTime), d.sent - sentBefore);
  d.toy.setListUnresponsive(false);
  std::printf("asked for 9 s: %s\n", patient.get(2).c_str());
}

// SIGHUP is pending as the process starts, and the list service is silent: a single task polls it.
void reloadAtStart() {
  Drive d(1);
  d.toy.setListUnresponsive(true), d.awaitsList = false;
  d.signalAtStart = SIGHUP;
  d.killAndStart();
  d.until("the poll is given up", [&] { return d.logged(" discovery_timeout "); });
  d.toy.setListUnresponsive(false);
  d.until("the list is read", [&] { return d.logged(" endpoints_updated "); });
  Client c(d);
  c.asks("SIGHUP at the start, and a silent list service", Client::read("a"));
  d.signal(SIGTERM);
  d.printExitCode();
}

// Idle clients use all client connections while the list service is unreachable: the proxy still
// connects to the service and to the stores.
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
  int executionsBefore = d.toy.executions(1);
  idle.back()->ask(Client::read("c"));
  std::printf("and heeded: %d sent to the one that drains\n",
              d.toy.executions(1) - executionsBefore);
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
                       {"toldAfterHold", toldAfterHold},
                       {"toldAfterFullHouse", toldAfterFullHouse},
                       {"reloadAtStart", reloadAtStart},
                       {"termUnaccepted", termUnaccepted},
                       {"startsUnheard", startsUnheard},
                       {"roomForOne", roomForOne},
                       {"fullHouse", fullHouse}};

}  // namespace

// races PROGRAM CASE
int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}
