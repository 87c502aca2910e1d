// A front with a usage ledger is restarted as planned. What it served, before and after, has to be
// what its ledger has billed.
#include "stand.h"

using namespace stand;

namespace {

constexpr int kFillers = 32;
constexpr long kFillStatements = 300'000;  // entries of the log before the restart
constexpr int kFillAtMostMs = 45'000;
constexpr int kClients = 6;                // afterwards: 300 statements a second in all
constexpr int kThinkMs = 20;
constexpr int kAfterMs = 5'000;

std::string statement(const std::string& id, const std::string& tenant) {
  return "SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655' /* id=" + id +
         ",c=history,d=3000,cluster=1,tenant=" + tenant + " */";
}

// Statements that the ledger has billed to the tenant.
long billed(const std::string& folder, const std::string& tenant) {
  std::string command = "build/reedchutectl ledger show --key-file " + folder + "/key " + folder + "/ledger";
  FILE* output = popen(command.c_str(), "r");
  if (!output) finish(2, "reedchutectl can't be started");
  long total = 0;
  char line[1000];
  while (std::fgets(line, sizeof line, output)) {
    note("ledger show: %.*s", static_cast<int>(std::strcspn(line, "\n")), line);
    std::string text = line;
    std::size_t name = text.find("," + tenant + ",");
    if (name != std::string::npos) total += std::atol(text.c_str() + name + tenant.size() + 2);
  }
  if (pclose(output) != 0) finish(2, "reedchutectl found the ledger unsound");
  return total;
}

}  // namespace

int main(int argc, char** argv) {
  std::string folder = begin(argc, argv);
  static List list;
  static std::vector<std::unique_ptr<PgStore>> stores;
  std::vector<Entry> entries;
  for (int k = 0; k < 3; ++k) {
    auto store = std::make_unique<PgStore>();
    store->name = "store-" + std::to_string(k);
    store->primary = k == 0;
    store->onStatement = [](PgStore& self, int fd, const std::string&) {
      return sendAll(fd, pgRow("value") + self.role() + pgReady());
    };
    store->start();
    entries.push_back({store->name, store->port, 0, k == 0});
    stores.push_back(std::move(store));
  }
  list.set(entries);
  list.start();
  Settings settings;
  settings.workloads = {{"history", "repeatable", "eventual", 0, 400'000},
                        {"upload", "by_key", "mutate", 0, 600'000, 3'000'000, 4, 0.3}};
  writeFile(folder + "/key", std::string(40, 'k') + "\n");
  std::string ledger = "ledger {\n  folder   = \"" + folder + "/ledger\"\n  key_file = \"" + folder + "/key\"\n}\n";
  std::string config = configOf("n0", list.port(), list.json(), settings);
  static Front front = startFront(folder, "n0", config, ledger);

  static std::atomic<long> before{0}, after{0}, notServed{0};
  std::vector<std::thread> threads;
  std::int64_t fillUntil = steadyUs() + kFillAtMostMs * 1000;
  for (int c = 0; c < kFillers; ++c)
    threads.emplace_back([c, fillUntil] {
      PgClient client(front.pgPort);
      for (long n = 0; before < kFillStatements && steadyUs() < fillUntil && client.isUp(); ++n)
        ++(client.ask(statement("f" + std::to_string(c) + "x" + std::to_string(n), "farmers"), 4000).kind == "served" ? before : notServed);
    });
  for (std::thread& thread : threads) thread.join();
  threads.clear();
  note("before: %ld statements were served, %ld not; now no client asks", before.load(), notServed.load());
  sleepMs(1000);
  if (hasTrouble()) {
    stopFront(front, SIGTERM);
    front = startFront(folder, "n0", config, ledger);
  }
  // A front is taken in once it has answered an empty query.
  PgClient check(front.pgPort);
  if (check.ask("", 5000).kind != "ready") finish(2, "the front does not answer an empty query");
  std::int64_t until = steadyUs() + kAfterMs * 1000;
  for (int c = 0; c < kClients; ++c)
    threads.emplace_back([c, until] {
      PgClient client(front.pgPort);
      for (long n = 0; steadyUs() < until && client.isUp(); ++n) {
        ++(client.ask(statement("a" + std::to_string(c) + "x" + std::to_string(n), "insurers"), 4000).kind == "served" ? after : notServed);
        sleepMs(kThinkMs);
      }
    });
  for (std::thread& thread : threads) thread.join();
  note("after: %ld statements were served", after.load());
  std::istringstream lines(readFile(front.log));
  stopFront(front, SIGTERM);
  lines.str(readFile(front.log));
  for (std::string line; std::getline(lines, line);)
    if (line.find(" ledger") != std::string::npos) note("log of the front: %s", line.c_str());
  long billedBefore = billed(folder, "farmers"), billedAfter = billed(folder, "insurers");
  note("served %ld and billed %ld before; served %ld and billed %ld after; %ld not served", before.load(), billedBefore,
       after.load(), billedAfter, notServed.load());
  if (before < 10'000 || after < 500) finish(2, "too few statements were served");
  if (billedBefore != before || billedAfter != after) finish(1, "the ledger does not match what was served");
  finish(0, "the ledger matches what was served");
}
