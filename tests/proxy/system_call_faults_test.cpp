// Tests of a proxy whose system calls fail occasionally, in the ways that Linux documents: the
// guarantees to its clients still hold. tests/soak/faulty_machine.cpp makes the calls fail.
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
using test::edits;
using test::FaultyMachine;
using test::yes;

namespace {

// accept returns the pending network errors of the connection that it would return; they don't
// concern the next connection.
void acceptAlone() {
  FaultyMachine machine;
  Drive d(1);
  for (int error : {ECONNABORTED, EINTR, EPROTO, EPERM, ENETDOWN, ENETUNREACH, EHOSTUNREACH,
                    ETIMEDOUT, ENFILE, ENOBUFS}) {
    machine.fails(Call::accept, error);
    Client client(d, false);
    client.send(pg::startup("web", "orders") + pg::query(Client::read("a")));
    std::printf("accept fails with %d: %s\n", error, client.get(2).c_str());
  }
}

// If accept briefly lacks a descriptor or memory, no other client loses its connection.
void acceptMoment() {
  FaultyMachine machine;
  Drive d(1);
  std::vector<std::unique_ptr<Client>> idle;
  for (int k = 0; k < 8; ++k)
    idle.push_back(std::make_unique<Client>(d)), idle.back()->ask(Client::read("a"));
  for (int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    machine.fails(Call::accept, error);
    Client newcomer(d);
    std::printf("accept fails with %d: the one that comes: %s\n", error,
                newcomer.ask(Client::read("b")).c_str());
  }
  int open = 0;
  for (auto& c : idle) open += c->ask(Client::read("c")).find("row") != std::string::npos;
  std::printf("of eight others that rest, still there: %d\n", open);
}

// A connection that is in the kernel's accept queue when the listener is about to close is
// accepted, even if accept fails once.
void acceptLeaving() {
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  for (int error : {EPROTO, ENFILE}) {
    FaultyMachine machine;
    Drive d(1);
    d.toy.setListUnresponsive(true), d.awaitsList = false;
    d.killAndStart();
    machine.fails(Call::accept, error);
    Client client(d, false);
    client.send(pg::startup("web", "orders") + pg::query(Client::read("a")));
    d.signal(SIGTERM);
    std::printf("accept fails with %d as the listener closes: %s\n", error, client.get(2).c_str());
    client.socket->close();
    d.printExitCode();
  }
}

// send and recv briefly lack memory for a packet: the bytes are sent or received a moment later.
void memoryLacks() {
  FaultyMachine machine;
  Drive d(1);
  Client c(d);
  c.ask(Client::read("a"));
  for (int error : {ENOBUFS, ENOMEM}) {
    // The first call that fails sends the statement to the store or the answer to the client.
    for (int times : {1, 2}) {
      machine.fails(Call::send, error, times);
      std::printf("sending fails with %d, %d times: %s\n", error, times,
                  c.ask(Client::write("b", 3000, "once")).c_str());
    }
    machine.fails(Call::receive, error, 2);
    std::printf("receiving fails with %d, twice: %s\n", error,
                c.ask(Client::write("c", 3000, "once")).c_str());
  }
}

// A descriptor that can't be registered for events is registered a moment later.
void watchLacks() {
  FaultyMachine machine;
  Drive d(1);
  for (int error : {ENOMEM, ENOSPC}) {
    machine.fails(Call::registerEvents, error);
    Client newcomer(d, false);
    newcomer.send(pg::startup("web", "orders") + pg::query(Client::read("a")));
    std::printf("a client's descriptor can't be watched, %d: %s\n", error, newcomer.get(2).c_str());
  }
  Client c(d);
  d.toy.closeIdle(0);
  d.until("none is open", [&] { return d.toy.connections(0) == 0; });
  machine.fails(Call::registerEvents, ENOSPC);
  std::printf("a store's: %s\n", c.ask(Client::write("b", 3000, "once")).c_str());
}

// A connect that is interrupted or briefly lacks memory still leads to a connection, and doesn't
// count against the store.
void connectInterrupted() {
  FaultyMachine machine;
  Drive d(1);
  Client c(d);
  c.ask(Client::read("a"));
  for (int error : {EINTR, ENOMEM}) {
    d.toy.closeIdle(0);
    d.until("none is open", [&] { return d.toy.connections(0) == 0; });
    machine.fails(Call::connect, error);
    std::printf("connect fails with %d: %s\n", error,
                c.ask(Client::write("b", 3000, "once")).c_str());
  }
}

// A signal is handled even if reading it is interrupted (EINTR) twice.
void signalsInterrupted() {
  FaultyMachine machine;
  Drive d(1);
  Client c(d);
  machine.fails(Call::read, EINTR, 2);
  d.signal(SIGHUP);
  std::printf("SIGHUP is read: %s\n",
              yes(d.until("it is told", [&] { return d.logged("reload "); })));
  machine.fails(Call::read, EINTR, 2);
  d.signal(SIGTERM);
  std::printf("SIGTERM is read: %s\n",
              yes(d.until("it is told", [&] { return d.logged("phase=leaving"); })));
  c.socket->close();
}

// A resource that the proxy can't get at its start is acquired a moment later.
void startLacks() {
  for (const auto& [what, call, error] : {std::tuple{"its listening socket", Call::socket, ENFILE},
                                          {"its address", Call::bind, EADDRINUSE},
                                          {"its signals", Call::createSignalFd, ENFILE},
                                          {"its configuration", Call::open, EMFILE}}) {
    FaultyMachine machine;
    machine.fails(call, error);
    Drive d(1);
    Client c(d);
    std::printf("starts without %s at first: %s\n", what, c.ask(Client::read("a")).c_str());
    c.socket->close();
  }
}

// A signal arrives while the proxy's shared libraries are being loaded.
void startSignalled() {
  for (int number : {SIGHUP, SIGTERM}) {
    FaultyMachine machine;
    setenv("SOAK_SIGNAL", std::to_string(number).c_str(), 1);
    Drive d(1);
    unsetenv("SOAK_SIGNAL");
    Client c(d, false);
    c.send(pg::startup("web", "orders") + pg::query(Client::read("a")));
    std::printf("signal %d as it begins: %s\n", number, c.get(2).c_str());
    c.socket->close();
  }
}

// A configuration that can't be read when SIGHUP arrives is read a moment later.
void reloadLacks() {
  FaultyMachine machine;
  Drive d(1);
  toy::Toy moved(d.s);
  moved.addStore(true, 7);
  int port = moved.serveList();
  d.configure(port);
  machine.fails(Call::open, EMFILE);
  d.signal(SIGHUP);
  std::printf("no descriptor for it: moved %s\n",
              yes(d.until("moved", [&] { return moved.hasWatchers(); })));
  toy::Toy again(d.s);
  again.addStore(true, 7);
  int next = again.serveList();
  d.configure(next, "t", 200);  // cut off after 200 bytes
  d.signal(SIGHUP);
  d.until("it is refused", [&] { return d.logged("reload_bad"); });
  d.configure(next);
  std::printf("half of it at first: moved %s\n",
              yes(d.until("moved", [&] { return again.hasWatchers(); })));
}

const Case kCases[] = {{"acceptAlone", acceptAlone},
                       {"acceptMoment", acceptMoment},
                       {"acceptLeaving", acceptLeaving},
                       {"memoryLacks", memoryLacks},
                       {"watchLacks", watchLacks},
                       {"connectInterrupted", connectInterrupted},
                       {"signalsInterrupted", signalsInterrupted},
                       {"startLacks", startLacks},
                       {"startSignalled", startSignalled},
                       {"reloadLacks", reloadLacks}};

}  // namespace

// faults PROGRAM LIBRARY CASE
int main(int argc, char** argv) {
  return test::runOnFaultyFront(kCases, argc, argv);
}
