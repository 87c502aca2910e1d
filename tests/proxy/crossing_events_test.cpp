// Two or three rare events at once, in the order that hurts, on real connections: found by going
// through the rules path by path (docs/incidents). The front is stopped, by the test or by itself
// before one of its system calls (tests/soak/faulty_machine.cpp); what is to cross is sent; it goes
// on.
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

// Leaves a connection that rests at each store.
void usesAll(Client& c) {
  std::string many;
  for (int k = 0; k < 8; ++k) many += pg::query(Client::read("slow100"));
  c.send(many);
  c.get(8);
}

// Clients that ask again in the moment in which they are answered, as the front is told to end.
void termBusy() {
  FaultyMachine machine;
  Drive d(2);
  struct Busy {
    std::unique_ptr<Client> client;
    bool waits = false, over = false;
  };
  std::vector<Busy> all(24);
  for (Busy& b : all) b.client = std::make_unique<Client>(d);
  int asked = 0, answered = 0, lost = 0;
  auto turn = [&](Busy& b) {
    if (b.over) return;
    Client& c = *b.client;
    bool ended = c.socket->read(c.in, 1 << 20) == runtime::Socket::ReadStatus::closed;
    std::string words = test::describeMessages(c.in);
    bool last = words.find("FATAL") != std::string::npos;
    if (last || words.find("ready") != std::string::npos) answered += b.waits, b.waits = false;
    b.over = last;
    if (ended) lost += b.waits, b.over = true;
    if (b.over || b.waits) return;
    c.send(pg::query(Client::read("a")));
    ++asked, b.waits = true;
  };
  TimePoint told = d.s.now() + test::ms(200);
  bool signalled = false;
  d.until("all have ended", [&] {
    bool over = true;
    for (Busy& b : all) turn(b), over = over && b.over;
    if (!signalled && d.s.now() >= told) d.signal(SIGTERM), signalled = true;
    return over;
  });
  std::printf(
      "24 clients that ask again at once: over a hundred asked %s, unanswered %d, without an "
      "answer at the "
      "end %d\n",
      yes(asked > 100), asked - answered - lost, lost);
  std::printf("read after the end of a connection: %ld bytes\n", machine.readAndDropped());
  d.printExitCode();
}

// A request crosses the end of a connection that rests: it is not read, so that its client asks it
// elsewhere.
void termRests() {
  FaultyMachine machine;
  Drive d(1);
  Client rests(d);
  rests.ask(Client::read("a"));
  d.signal(SIGTERM);
  std::printf("one that rests: %s\n", rests.get().c_str());
  rests.send(pg::query(Client::read("b")));
  d.printExitCode();
  std::printf("what it asked as it was ended: %ld bytes of it read\n", machine.readAndDropped());
}

// The connection that a statement waits for comes up, then its client leaves; the front sees both
// together, later than an attempt may begin for it.
void leavesAsItComesUp() {
  Drive d(1);
  Client c(d), leaves(d);
  c.ask(Client::read("a"));
  d.blockConnections(0);
  Seen its(d, "b");
  leaves.send(pg::query(Client::read("b")));
  d.until("the connection is dialled", [&] { return d.toy.holdsBack(0); });
  d.stop();
  d.toy.hold(0, false);
  waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(0)).unread > 0; });
  leaves.socket->close();
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).ended > 0; });
  d.pass(130);
  d.resume();
  c.ask(Client::read("c"));
  std::printf("gone as its connection came up: %d sent of it\n", its.times);
}

// Sends a statement of which the first execution gets no answer; the store that has it.
int sendSilent(Drive& d, Client& by) {
  int at = -1;
  auto before = d.toy.seen;
  d.toy.seen = [&](int store, const std::string& text) {
    before(store, text);
    if (text.find("'silent-ok'") != std::string::npos) at = store;
  };
  by.send(pg::query(Client::read("silent-ok")));
  d.until("it is out", [&] { return at >= 0; });
  d.toy.seen = before;
  return at;
}

// The front is held up in the middle of a round, and a client leaves before its next attempt is
// written: as the front reads that the first one broke, or before it looks at its clock.
void leavesHeldUp(Call where, const char* what) {
  FaultyMachine machine;
  Drive d(2);
  Client c(d), leaves(d);
  usesAll(c);
  Seen its(d, "silent-ok");
  int at = sendSilent(d, leaves);
  d.pass(20);
  machine.stopsAt(where);
  d.toy.closeBusy(at);
  d.until("the front stands", [&] { return d.isStopped(); });
  leaves.socket->close();
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).ended > 0; });
  d.pass(130);
  d.resume();
  c.ask(Client::read("c"));
  std::printf("gone while the front was held up %s: %d sent of it after that\n", what,
              its.times - 1);
}

void leavesInRound() {
  leavesHeldUp(Call::receive, "in a round");
}
void leavesAfterWait() {
  leavesHeldUp(Call::wait, "behind its wait");
}

// A client's end stands behind more events than one wait brings.
void leavesBehindMany() {
  Drive d(2, 1024, "automatic", "", false, 128);
  std::vector<std::unique_ptr<Client>> many;
  for (int k = 0; k < 320; ++k) many.push_back(std::make_unique<Client>(d));
  Client c(d), leaves(d);
  usesAll(c);
  Seen its(d, "silent-ok");
  int at = sendSilent(d, leaves);
  d.stop();
  d.toy.closeBusy(at);
  waitUntilArrived(d, [&] { return d.countSockets(d.toy.port(at)).ended > 0; });
  for (auto& one : many) one->send("Q");
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread >= 320; });
  leaves.socket->close();
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).ended > 0; });
  d.pass(130);
  d.resume();
  c.ask(Client::read("c"));
  std::printf("gone behind 320 other events: %d sent of it after that\n", its.times - 1);
}

// Somebody needs a place, and all who could make room have just asked.
void roomOfNone() {
  Drive d(1, 64);
  std::vector<std::unique_ptr<Client>> all;
  for (int k = 0; k < 27; ++k) all.push_back(std::make_unique<Client>(d));
  d.pass(100);  // all have been silent for long enough
  d.stop();
  Client last(d, false);
  last.send(pg::startup("web", "orders") + pg::query(Client::read("b")));
  for (auto& c : all) c->send(pg::query(Client::read("a")));
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread >= 27; });
  d.resume();
  int answered = 0;
  for (auto& c : all) answered += c->get().find("ready") != std::string::npos;
  std::printf("of 27 that asked as one more came: %d answered\n", answered);
  std::string got = last.get(2);
  std::printf("that one: %s\n",
              got.find("53300") != std::string::npos || got.find("row") != std::string::npos
                  ? "one answer"
                  : got.c_str());
}

// The same where several come in one round: what was read of a client as room was made for the
// first must not be forgotten as room is made for the next.
void roomForSeveral() {
  constexpr int kPlaces = 27;
  Drive d(1, 64);
  std::vector<std::unique_ptr<Client>> all;
  for (int k = 0; k < kPlaces; ++k) all.push_back(std::make_unique<Client>(d));
  d.pass(100);  // all have been silent for long enough
  d.stop();
  std::vector<std::unique_ptr<Client>> newcomers;
  for (int k = 0; k < 4; ++k) {
    newcomers.push_back(std::make_unique<Client>(d, false));
    newcomers.back()->send(pg::startup("web", "orders") + pg::query(Client::read("b")));
  }
  for (auto& c : all) c->send(pg::query(Client::read("a")));
  waitUntilArrived(d, [&] { return d.countSockets(d.port, true).unread >= kPlaces; });
  d.resume();
  int answered = 0;
  for (auto& c : all) answered += c->get().find("ready") != std::string::npos;
  std::printf("of 27 that asked as four more came: %d answered\n", answered);
  int one = 0;
  for (auto& c : newcomers) {
    std::string got = c->get(2);
    one += got.find("53300") != std::string::npos || got.find("row") != std::string::npos;
  }
  std::printf("of the four: %d answered\n", one);
}

// A client for whom there is no place sends more behind its first request, as it is told so.
void rejectedPipeline() {
  constexpr int kPlaces = 27;
  FaultyMachine machine;
  Drive d(4, 64);
  std::vector<std::unique_ptr<Client>> all;
  std::string half = pg::query(Client::read("a")).substr(0, 20);
  for (int k = 0; k < kPlaces; ++k) {
    all.push_back(std::make_unique<Client>(d));
    all.back()->send(pg::query(Client::read("slow700", 5000)) + half);
  }
  d.pass(100);
  Client rejected(d, false);
  rejected.send(pg::startup("web", "orders"));
  std::string got = rejected.get(1);
  for (int k = 0; k < 3; ++k) rejected.send(pg::query(Client::read("b")));
  d.pass(50);
  std::printf("one too many: %s; %ld bytes of what it asked then were read\n", got.c_str(),
              machine.readAndDropped());
}

// Several clients wait in the kernel while nobody can be accepted: the time of each runs from when
// it asked, also where what it sent is read in pieces.
void waitsToBeAccepted() {
  for (bool inPieces : {false, true}) {
    FaultyMachine machine;
    Drive d(1);
    machine.failsOften(Call::accept, ENFILE, 1024);
    if (inPieces) machine.failsOften(Call::shortReceive, 0, 1024);
    int before = d.sent;
    std::vector<std::unique_ptr<Client>> all;
    for (int k = 0; k < 4; ++k) {
      all.push_back(std::make_unique<Client>(d, false));
      all.back()->send(pg::startup("web", "orders") + pg::query(Client::write("a", 400, "once")));
    }
    d.pass(700);
    machine.failsOften(Call::accept, ENFILE, 0);
    int refused = 0;
    for (auto& c : all) refused += c->get(2).find("ERROR 53300") != std::string::npos;
    std::printf("four that waited longer than they would%s: %d refused, %d sent\n",
                inPieces ? ", read in pieces" : "", refused, d.sent - before);
  }
}

// SIGTERM is seen late, as the front was held up: what comes later than 0.7 s after it may find no
// answer before SIGKILL.
void termSeenLate() {
  Drive d(1);
  Client c(d);
  int before = d.sent;
  c.send(pg::query(Client::read("slow1500", 5000)));
  waitUntilStoreReceives(d, before);
  d.stop();
  d.signal(SIGTERM);
  TimePoint at = d.s.now();
  d.pass(140);
  d.resume();
  d.until("it is told", [&] { return d.logged("phase=leaving"); });
  d.until("it is late", [&] { return d.s.now() >= at + test::ms(720); });
  c.send(pg::query(Client::read("b")));
  std::string got = c.get(2);
  std::printf("asked 0.72 s after SIGTERM: %s\n",
              got.find("value of b") == std::string::npos ? "refused" : "taken");
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
