// A front whose system calls fail now and then, as Linux documents that they do: what its clients
// were promised holds all the same. tests/soak/faulty_machine.cpp makes them fail.
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

// The network errors of a connection that waits are told by accept, and are no word on the next
// one.
void acceptAlone() {
  FaultyMachine machine;
  Drive d(1);
  for (int error : {ECONNABORTED, EINTR, EPROTO, EPERM, ENETDOWN, ENETUNREACH, EHOSTUNREACH,
                    ETIMEDOUT, ENFILE, ENOBUFS}) {
    machine.fails(Call::accept, error);
    Client alone(d, false);
    alone.send(pg::startup("web", "orders") + pg::query(Client::read("a")));
    std::printf("accept fails with %d: %s\n", error, alone.get(2).c_str());
  }
}

// A moment without a descriptor costs no other client its connection.
void acceptMoment() {
  FaultyMachine machine;
  Drive d(1);
  std::vector<std::unique_ptr<Client>> others;
  for (int k = 0; k < 8; ++k)
    others.push_back(std::make_unique<Client>(d)), others.back()->ask(Client::read("a"));
  for (int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    machine.fails(Call::accept, error);
    Client comes(d);
    std::printf("accept fails with %d: the one that comes: %s\n", error,
                comes.ask(Client::read("b")).c_str());
  }
  int open = 0;
  for (auto& c : others) open += c->ask(Client::read("c")).find("row") != std::string::npos;
  std::printf("of eight others that rest, still there: %d\n", open);
}

// Who stands in the kernel's queue as the listener is to close has been taken in.
void acceptLeaving() {
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  for (int error : {EPROTO, ENFILE}) {
    FaultyMachine machine;
    Drive d(1);
    d.toy.silenceList(true), d.awaitsList = false;
    d.killAndStart();
    machine.fails(Call::accept, error);
    Client asks(d, false);
    asks.send(pg::startup("web", "orders") + pg::query(Client::read("a")));
    d.signal(SIGTERM);
    std::printf("accept fails with %d as the listener closes: %s\n", error, asks.get(2).c_str());
    asks.socket->close();
    d.printExitCode();
  }
}

// No memory for a packet at this moment: the bytes are taken a moment later.
void memoryLacks() {
  FaultyMachine machine;
  Drive d(1);
  Client c(d);
  c.ask(Client::read("a"));
  for (int error : {ENOBUFS, ENOMEM}) {
    // The first call is the one to the store, or the answer to the client.
    for (int which : {1, 2}) {
      machine.fails(Call::send, error, which);
      std::printf("sending fails with %d, %d times: %s\n", error, which,
                  c.ask(Client::write("b", 3000, "once")).c_str());
    }
    machine.fails(Call::receive, error, 2);
    std::printf("receiving fails with %d, twice: %s\n", error,
                c.ask(Client::write("c", 3000, "once")).c_str());
  }
}

// A descriptor that can't be watched at this moment is watched a moment later.
void watchLacks() {
  FaultyMachine machine;
  Drive d(1);
  for (int error : {ENOMEM, ENOSPC}) {
    machine.fails(Call::registerEvents, error);
    Client comes(d, false);
    comes.send(pg::startup("web", "orders") + pg::query(Client::read("a")));
    std::printf("a client's descriptor can't be watched, %d: %s\n", error, comes.get(2).c_str());
  }
  Client c(d);
  d.toy.closeIdle(0);
  d.until("none is open", [&] { return d.toy.connections(0) == 0; });
  machine.fails(Call::registerEvents, ENOSPC);
  std::printf("a store's: %s\n", c.ask(Client::write("b", 3000, "once")).c_str());
}

// Interrupted, a connection comes up all the same; it says nothing of its store.
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

// A signal is read in the end.
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

// What can't be had as it starts is had a moment later.
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

// A signal comes while the libraries are being loaded.
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

// A configuration that can't be read as the signal comes is read a moment later.
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
              yes(d.until("moved", [&] { return moved.watched(); })));
  toy::Toy again(d.s);
  again.addStore(true, 7);
  int next = again.serveList();
  d.configure(next, "t", 200);  // half of it
  d.signal(SIGHUP);
  d.until("it is refused", [&] { return d.logged("reload_bad"); });
  d.configure(next);
  std::printf("half of it at first: moved %s\n",
              yes(d.until("moved", [&] { return again.watched(); })));
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
