// Tests of two or three rare events that coincide in the most harmful order, on real connections.
// The cases were found by reviewing the rules path by path (docs/incidents). The proxy is stopped,
// by the test or by itself before one of its system calls (tests/soak/faulty_machine.cpp); the
// events are sent to it; it continues and sees them together.
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "faulty.h"
#include "pg_client.h"

using namespace reedchute;
using soak::Call;
using test::Case;
using test::Client;
using test::Drive;
using test::FaultyMachine;
using test::Seen;
using test::waitUntilArrived;
using test::waitUntilStoreReceives;
using test::yes;

namespace {

// Sends eight slow reads at once, which leave an idle connection to each store.
void openIdleConnections(Client& c) {
  std::string queries;
  for (int k = 0; k < 8; ++k) queries += pg::query(Client::read("slow100"));
  c.send(queries);
  c.get(8);
}

// SIGTERM while clients send their next request as soon as they have an answer.
void termBusy() {
  FaultyMachine machine;
  Drive d(2);
  struct BusyClient {
    std::unique_ptr<Client> client;
    bool isWaiting = false, hasEnded = false;
  };
  std::vector<BusyClient> clients(24);
  for (BusyClient& b : clients) b.client = std::make_unique<Client>(d);
  int requests = 0, answered = 0, lost = 0;
  auto advance = [&](BusyClient& b) {
    if (b.hasEnded) return;
    Client& c = *b.client;
    bool isClosed = c.socket->read(c.in, 1 << 20) == runtime::Socket::ReadStatus::closed;
    std::string received = test::describeMessages(c.in);
    bool isFatal = received.find("FATAL") != std::string::npos;
    if (isFatal || received.find("ready") != std::string::npos)
      answered += b.isWaiting, b.isWaiting = false;
    b.hasEnded = isFatal;
    if (isClosed) lost += b.isWaiting, b.hasEnded = true;
    if (b.hasEnded || b.isWaiting) return;
    c.send(pg::query(Client::read("a")));
    ++requests, b.isWaiting = true;
  };
  TimePoint signalAt = d.s.now() + test::ms(200);
  bool isSignalled = false;
  d.until("all have ended", [&] {
    bool haveAllEnded = true;
    for (BusyClient& b : clients) advance(b), haveAllEnded = haveAllEnded && b.hasEnded;
    if (!isSignalled && d.s.now() >= signalAt) d.signal(SIGTERM), isSignalled = true;
    return haveAllEnded;
  });
  std::printf(
      "24 clients that ask again at once: over a hundred asked %s, unanswered %d, without an "
      "answer at the "
      "end %d\n",
      yes(requests > 100), requests - answered - lost, lost);
  std::printf("read after the end of a connection: %ld bytes\n", machine.readAndDropped());
  d.printExitCode();
}

// A request crosses the closing of its idle connection: the proxy doesn't read it, so that the
// client sends it to another proxy.
void termRests() {
  FaultyMachine machine;
  Drive d(1);
  Client idle(d);
  idle.ask(Client::read("a"));
  d.signal(SIGTERM);
  std::printf("one that rests: %s\n", idle.get().c_str());
  idle.send(pg::query(Client::read("b")));
  d.printExitCode();
  std::printf("what it asked as it was ended: %ld bytes of it read\n", machine.readAndDropped());
}

// The connection that a statement waits for is established, then its client disconnects. The proxy
// sees both at once, when it is too late to begin an attempt for the statement.
void leavesAsItComesUp() {
  Drive d(1);
  Client c(d), leaving(d);
  c.ask(Client::read("a"));
  d.blockConnections(0);
  Seen executions(d, "b");
  leaving.send(pg::query(Client::read("b")));
  d.until("the connection is dialled", [&] { return d.toy.holdsGreeting(0); });
  d.stop();
  d.toy.hold(0, false);
  waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(0)).unread > 0; });
  leaving.socket->close();
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).ended > 0; });
  d.pass(130);
  d.resume();
  c.ask(Client::read("c"));
  std::printf("gone as its connection came up: %d sent of it\n", executions.times);
}

// Sends a statement whose first execution gets no answer. Returns the store that received it.
int sendUnanswered(Drive& d, Client& client) {
  int receiver = -1;
  auto observer = d.toy.onStatement;
  d.toy.onStatement = [&](int store, const std::string& text) {
    observer(store, text);
    if (text.find("'silent-ok'") != std::string::npos) receiver = store;
  };
  client.send(pg::query(Client::read("silent-ok")));
  d.until("it is out", [&] { return receiver >= 0; });
  d.toy.onStatement = observer;
  return receiver;
}

// The proxy stalls in the middle of a round, and a client disconnects before its next attempt is
// written. The proxy stalls at `stopCall`: before it reads that the first attempt's connection
// broke, or between its wait and reading the clock.
void disconnectDuringStall(Call stopCall, const char* moment) {
  FaultyMachine machine;
  Drive d(2);
  Client c(d), leaving(d);
  openIdleConnections(c);
  Seen executions(d, "silent-ok");
  int store = sendUnanswered(d, leaving);
  d.pass(20);
  machine.stopsAt(stopCall);
  d.toy.closeBusy(store);
  d.until("the front stands", [&] { return d.isStopped(); });
  leaving.socket->close();
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).ended > 0; });
  d.pass(130);
  d.resume();
  c.ask(Client::read("c"));
  std::printf("gone while the front was held up %s: %d sent of it after that\n", moment,
              executions.times - 1);
}

void leavesInRound() {
  disconnectDuringStall(Call::receive, "in a round");
}
void leavesAfterWait() {
  disconnectDuringStall(Call::wait, "behind its wait");
}

// A client's disconnect is queued behind more events than one wait call returns.
void leavesBehindMany() {
  Drive d(2, 1024, "automatic", "", false, 128);
  std::vector<std::unique_ptr<Client>> others;
  for (int k = 0; k < 320; ++k) others.push_back(std::make_unique<Client>(d));
  Client c(d), leaving(d);
  openIdleConnections(c);
  Seen executions(d, "silent-ok");
  int store = sendUnanswered(d, leaving);
  d.stop();
  d.toy.closeBusy(store);
  waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(store)).ended > 0; });
  for (auto& other : others) other->send("Q");
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread >= 320; });
  leaving.socket->close();
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).ended > 0; });
  d.pass(130);
  d.resume();
  c.ask(Client::read("c"));
  std::printf("gone behind 320 other events: %d sent of it after that\n", executions.times - 1);
}

// A new client needs a session when all are in use, and every idle client that could be closed for
// it has just sent a request.
void roomOfNone() {
  Drive d(1, 64);
  std::vector<std::unique_ptr<Client>> clients;
  for (int k = 0; k < 27; ++k) clients.push_back(std::make_unique<Client>(d));
  d.pass(100);  // all have been idle for long enough to be closed
  d.stop();
  Client newcomer(d, false);
  newcomer.send(pg::startup("web", "orders") + pg::query(Client::read("b")));
  for (auto& c : clients) c->send(pg::query(Client::read("a")));
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread >= 27; });
  d.resume();
  int answered = 0;
  for (auto& c : clients) answered += c->get().find("ready") != std::string::npos;
  std::printf("of 27 that asked as one more came: %d answered\n", answered);
  std::string answer = newcomer.get(2);
  std::printf("that one: %s\n",
              answer.find("53300") != std::string::npos || answer.find("row") != std::string::npos
                  ? "one answer"
                  : answer.c_str());
}

// The same with several new clients in one round: what was read from a client while room was made
// for the first must not be lost while room is made for the next.
void roomForSeveral() {
  constexpr int kSessions = 27;
  Drive d(1, 64);
  std::vector<std::unique_ptr<Client>> clients;
  for (int k = 0; k < kSessions; ++k) clients.push_back(std::make_unique<Client>(d));
  d.pass(100);  // all have been idle for long enough to be closed
  d.stop();
  std::vector<std::unique_ptr<Client>> newcomers;
  for (int k = 0; k < 4; ++k) {
    newcomers.push_back(std::make_unique<Client>(d, false));
    newcomers.back()->send(pg::startup("web", "orders") + pg::query(Client::read("b")));
  }
  for (auto& c : clients) c->send(pg::query(Client::read("a")));
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread >= kSessions; });
  d.resume();
  int answered = 0;
  for (auto& c : clients) answered += c->get().find("ready") != std::string::npos;
  std::printf("of 27 that asked as four more came: %d answered\n", answered);
  int newcomersAnswered = 0;
  for (auto& c : newcomers) {
    std::string answer = c->get(2);
    newcomersAnswered += answer.find("53300") != std::string::npos ||
                         answer.find("row") != std::string::npos;
  }
  std::printf("of the four: %d answered\n", newcomersAnswered);
}

// A client that is rejected because all sessions are in use pipelines more requests after the
// rejection.
void rejectedPipeline() {
  constexpr int kSessions = 27;
  FaultyMachine machine;
  Drive d(4, 64);
  std::vector<std::unique_ptr<Client>> clients;
  std::string halfQuery = pg::query(Client::read("a")).substr(0, 20);
  for (int k = 0; k < kSessions; ++k) {
    clients.push_back(std::make_unique<Client>(d));
    clients.back()->send(pg::query(Client::read("slow700", 5000)) + halfQuery);
  }
  d.pass(100);
  Client rejected(d, false);
  rejected.send(pg::startup("web", "orders"));
  std::string answer = rejected.get(1);
  for (int k = 0; k < 3; ++k) rejected.send(pg::query(Client::read("b")));
  d.pass(50);
  std::printf("one too many: %s; %ld bytes of what it asked then were read\n", answer.c_str(),
              machine.readAndDropped());
}

// Several clients wait in the kernel's accept queue while accept fails with ENFILE: the deadline of
// each counts from when it sent its request, also if the request is read in pieces.
void waitsToBeAccepted() {
  for (bool inPieces : {false, true}) {
    FaultyMachine machine;
    Drive d(1);
    machine.failsOften(Call::accept, ENFILE, 1024);
    if (inPieces) machine.failsOften(Call::shortReceive, 0, 1024);
    int sentBefore = d.sent;
    std::vector<std::unique_ptr<Client>> clients;
    for (int k = 0; k < 4; ++k) {
      clients.push_back(std::make_unique<Client>(d, false));
      clients.back()->send(pg::startup("web", "orders") +
                           pg::query(Client::write("a", 400, "once")));
    }
    d.pass(700);
    machine.failsOften(Call::accept, ENFILE, 0);
    int refused = 0;
    for (auto& c : clients) refused += c->get(2).find("ERROR 53300") != std::string::npos;
    std::printf("four that waited longer than they would%s: %d refused, %d sent\n",
                inPieces ? ", read in pieces" : "", refused, d.sent - sentBefore);
  }
}

// The proxy stalls and sees SIGTERM late. Requests that arrive later than 0.7 s after the signal
// are refused, because they may not be answered before SIGKILL.
void termSeenLate() {
  Drive d(1);
  Client c(d);
  int sentBefore = d.sent;
  c.send(pg::query(Client::read("slow1500", 5000)));
  waitUntilStoreReceives(d, sentBefore);
  d.stop();
  d.signal(SIGTERM);
  TimePoint signalledAt = d.s.now();
  d.pass(140);
  d.resume();
  d.until("it is told", [&] { return d.logged("phase=leaving"); });
  d.until("it is late", [&] { return d.s.now() >= signalledAt + test::ms(720); });
  c.send(pg::query(Client::read("b")));
  std::string answer = c.get(2);
  std::printf("asked 0.72 s after SIGTERM: %s\n",
              answer.find("value of b") == std::string::npos ? "refused" : "taken");
  c.socket->close();
  d.printExitCode();
}

const Case kCases[] = {{"termBusy", termBusy},
                       {"termRests", termRests},
                       {"leavesAsItComesUp", leavesAsItComesUp},
                       {"leavesInRound", leavesInRound},
                       {"leavesAfterWait", leavesAfterWait},
                       {"leavesBehindMany", leavesBehindMany},
                       {"roomOfNone", roomOfNone},
                       {"roomForSeveral", roomForSeveral},
                       {"rejectedPipeline", rejectedPipeline},
                       {"waitsToBeAccepted", waitsToBeAccepted},
                       {"termSeenLate", termSeenLate}};

}  // namespace

// crossings PROGRAM LIBRARY CASE
int main(int argc, char** argv) {
  return test::runOnFaultyFront(kCases, argc, argv);
}
