// Tests of the largest number of stores with the smallest limits on memory and descriptors.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "pg_client.h"
#include "trace.h"

using namespace reedchute;
using test::Case;
using test::Client;
using test::Drive;
using test::edits;
using test::runCase;
using test::yes;

namespace {

// An endpoint list of 1,024 entries, indented, with long ids; 32 MB of memory and 256 descriptors,
// of which 77 are for connections to stores.
void stores() {
  Drive d(2, 256, "automatic", "", false, 32, "15000000", "", 1022);
  std::printf("a list of 1,024 is taken: %s\n",
              yes(d.until("it is", [&] { return d.logged(" full=1 entries=1024"); })));
  int peakDescriptors = 0, completed = 0, other = 0;
  std::vector<std::unique_ptr<Client>> clients;
  for (int k = 0; k < 20; ++k) clients.push_back(std::make_unique<Client>(d));
  for (int k = 0; k < 30; ++k) {
    std::string key = "k" + std::to_string(k);
    for (std::size_t c = 0; c < clients.size(); ++c)
      clients[c]->send(pg::query(c % 5 == 0   ? Client::write(key)
                                 : c % 5 == 1 ? Client::read(key, 3000, "near")
                                              : Client::read(key)));
    for (auto& c : clients) {
      std::string answer = c->get();
      bool hasRow = answer.find("row") != std::string::npos;
      ++(hasRow ? completed : other);
      if (!hasRow) std::fprintf(stderr, "instead: %s\n", answer.c_str());
    }
    peakDescriptors = std::max(peakDescriptors, d.descriptors());
  }
  std::printf("statements: %d completed, %d otherwise\n", completed, other);
  std::fprintf(stderr, "at most %d KB and %d descriptors\n", d.peakKb(), peakDescriptors);
  std::printf("within 32 MB: %s; within 256 descriptors: %s\n", yes(d.usedAtMost(32)),
              yes(peakDescriptors <= 256));
  int replicaExecutions = d.toy.executions(1);
  d.toy.setState(700, "draining");
  std::printf("a change is heard: %s\n",
              yes(d.until("it is", [&] { return d.logged(" full=0 entries=1"); })));
  clients[2]->asks("and the next", Client::read("a"));
  std::printf("replicas were used: %s\n", yes(replicaExecutions > 0));
  clients.clear();
  d.signal(SIGTERM);
  d.printExitCode();
}

// An endpoint list of 520 KB that contains about 170,000 JSON values.
void noise() {
  Drive d(2, 256, "automatic", "", false, 32);
  std::string body = "{\"version\":9,\"full\":true,\"servers\":[[]";
  while (body.size() < 520'000) body += ",[]";
  body += "]}";
  d.toy.overrideListResponse("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body);
  d.toy.setState(1, "draining");
  std::printf("a list of nothing but brackets is refused: %s\n",
              yes(d.until("it is", [&] { return d.logged("discovery_invalid_response"); })));
  std::printf("the next is taken: %s\n",
              yes(d.until("it is", [&] { return d.logged("state=draining"); })));
  std::fprintf(stderr, "at most %d KB\n", d.peakKb());
  std::printf("within 32 MB: %s\n", yes(d.usedAtMost(32)));
}

// Of 64 descriptors, 13 are for connections to stores. 21 replicas accept connections and stay
// silent, and each of them is probed.
void places() {
  edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Drive d(22, 64);
  d.toy.promote(21);  // the last entry of the endpoint list
  for (int k = 0; k < 21; ++k) d.toy.hold(k, true);
  d.killAndStart();
  Client c(d);
  int completed = 0;
  for (int k = 0; k < 20; ++k)
    completed += c.ask(Client::write("a" + std::to_string(k))).find("row") != std::string::npos;
  std::printf("all places wanted for probes that wait: %d of 20 writes completed\n", completed);
}

// Statements use all 13 descriptors for stores. A statement that finds none free waits, and this
// doesn't make its store count as unreachable.
void noPlace() {
  Drive d(9, 64);
  for (int k = 0; k < 10; ++k) Client(d).ask(Client::read("warm"));
  int completed = 0, writes = 0;
  for (int round = 0; round < 3; ++round) {
    std::vector<std::unique_ptr<Client>> clients;
    int sentBefore = d.sent;
    for (int k = 0; k < 16; ++k) {
      clients.push_back(std::make_unique<Client>(d));
      clients.back()->send(pg::query(Client::read("slow120", 5000)));
    }
    d.until("all places are held", [&] { return d.sent >= sentBefore + 13; });
    writes += Client(d).ask(Client::write("w", 5000)).find("row") != std::string::npos;
    for (auto& client : clients) {
      std::string answer = client->get();
      bool hasRow = answer.find("row") != std::string::npos;
      completed += hasRow;
      if (!hasRow) std::fprintf(stderr, "instead: %s\n", answer.c_str());
    }
  }
  std::printf(
      "13 places, three times 16 slow reads and a write at once: %d reads and %d writes "
      "completed\n",
      completed, writes);
}

const Case kCases[] = {{"sizesStores", stores},
                       {"sizesPlaces", places},
                       {"sizesNoPlace", noPlace},
                       {"sizesNoise", noise}};

}  // namespace

// sizes PROGRAM CASE
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  if (argc > 1) test::program = argv[1];
  return runCase(kCases, argc - 1, argv + 1);
}
