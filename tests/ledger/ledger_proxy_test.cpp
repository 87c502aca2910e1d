// A complete proxy with its ledger enabled, also when it is killed between statements: the billed
// statements must equal those that its clients counted.
#include <filesystem>

#include "cql_client.h"
#include "ledger/ledger_writer.h"
#include "pg_client.h"

using namespace reedchute;
using test::Case;
using test::CqlClient;
using test::Drive;

namespace {

// A temporary folder for a ledger and its key.
struct LedgerFolder {
  LedgerFolder() {
    char name[] = "/tmp/reedchute-ledger-XXXXXX";
    path = mkdtemp(name);
    std::ofstream(path + "/key") << "0123456789abcdef0123456789abcdef\n";
  }
  ~LedgerFolder() { std::filesystem::remove_all(path); }
  std::string settings(const char* more = "") const {
    return std::string(test::kCassandraSettings) + "ledger {\n  folder = \"" + path +
           "/ledger\"\n  key_file = \"" + path + "/key\"\n  period = \"hour\"\n" + more + "}\n";
  }
  // The tenant's usage in the ledger, over all periods.
  ledger::Usage usageOf(const std::string& tenant) const {
    ledger::UsageTotals totals;
    auto files = ledger::openFolderReadOnly(path + "/ledger");
    ledger::Log log(*files, {"0123456789abcdef0123456789abcdef"});
    auto findings = log.verify([&](const ledger::wire::Record& r) { totals.add(r); });
    if (!findings.empty()) std::printf("the log: %s\n", ledger::nameOf(findings.front().kind));
    ledger::Usage total;
    for (const auto& [key, usage] : totals.all())
      if (key.second == tenant) total += usage;
    return total;
  }
  std::string path;
};

struct ProxyWithLedger : Drive {
  explicit ProxyWithLedger(const LedgerFolder& p, const char* more = "")
      : Drive(3, 256, "automatic", "", false, 64, "15000000", p.settings(more)) {
    until("the ledger is open", [&] { return logged("ledger state=open"); });
  }
};

struct PostgresClient : test::Client {
  using Client::Client;
  // Sends a read, or with an idempotency key a write; returns whether it completed.
  bool execute(const std::string& tenant, const std::string& key,
               const std::string& idempotencyKey = "") {
    std::string tail = " /* id=" + std::to_string(++ids) +
                       ",c=" + (idempotencyKey.empty() ? "any" : "write") +
                       ",cluster=7,d=2000,tenant=" + tenant +
                       (idempotencyKey.empty() ? "" : ",k=" + idempotencyKey) + " */";
    return test::outcomeOf(
               Client::ask(idempotencyKey.empty()
                               ? "SELECT payload FROM entries WHERE ref = '" + key + "'" + tail
                               : "INSERT INTO entries VALUES ('" + key + "')" + tail)) ==
           std::string("completed");
  }
};

void printUsage(const char* tenant, const ledger::Usage& usage, int countedByClient) {
  std::printf("%s: counted %d, billed %lld, repeats %lld, rejected %lld, aborted %lld\n", tenant,
              countedByClient, static_cast<long long>(usage.statements),
              static_cast<long long>(usage.retries), static_cast<long long>(usage.rejected),
              static_cast<long long>(usage.aborted));
}

void billsEachAnswer() {
  LedgerFolder folder;
  int coopCompleted = 0, officeCompleted = 0;
  {
    ProxyWithLedger d(folder);
    PostgresClient c(d);
    for (int k = 0; k < 10; ++k) coopCompleted += c.execute("coop", "a");
    coopCompleted += c.execute("coop", "b", "mark-1");
    std::printf("the same mark again: %s\n",
                c.execute("coop", "b", "mark-1") ? "completed" : "not");
    CqlClient cql(d);
    for (int k = 0; k < 7; ++k) {
      std::string body, answer;
      cql::addBytesMap(body, {{"tenant", "office"}, {"c", "any"}, {"cluster", "7"}});
      cql::addLongString(body, test::selectOf("x"));
      cql.send(1, cql::Opcode::query, body + std::string("\0\1\0", 3), cql::kPayload);
      officeCompleted += cql.answer(1).starts_with("row");
    }
    std::printf("full everywhere: %s\n", c.execute("coop", "full") ? "completed" : "not");
    d.signal(SIGTERM);
    c.socket->close(), cql.socket->close();
    d.printExitCode();
  }
  printUsage("coop", folder.usageOf("coop"), coopCompleted);
  printUsage("office", folder.usageOf("office"), officeCompleted);
}

// The proxy is killed (SIGKILL) repeatedly between statements: every answered statement must be
// billed exactly once.
void killedBetweenStatements() {
  LedgerFolder folder;
  int countedByClient = 0, retriesCompleted = 0, lastKey = 0;
  ProxyWithLedger d(folder);
  for (int round = 0; round < 5; ++round) {
    PostgresClient c(d);
    for (int k = 0; k < 20; ++k)
      countedByClient += c.execute("coop", "a", "m" + std::to_string(++lastKey));
    // Retries the last statement under the same idempotency key after the proxy was killed and
    // restarted.
    d.killAndStart();
    d.until("the ledger is open", [&] { return d.logged("ledger state=open"); });
    PostgresClient again(d);
    retriesCompleted += again.execute("coop", "a", "m" + std::to_string(lastKey));
  }
  d.signal(SIGTERM);
  d.printExitCode();
  std::printf("asked again under a mark that was answered: %d\n", retriesCompleted);
  printUsage("coop", folder.usageOf("coop"), countedByClient);
}

// A ledger whose log is damaged stays closed: statements are served and counted as lost, or
// refused, as set by when_behind.
void closedLedger() {
  for (const char* setting : {"", "  when_behind = \"refuse\"\n"}) {
    LedgerFolder folder;
    {
      ProxyWithLedger d(folder);
      PostgresClient c(d);
      for (int k = 0; k < 5; ++k) c.execute("coop", "a");
      d.signal(SIGTERM);
      c.socket->close();
      d.printExitCode();
    }
    {
      std::fstream log(folder.path + "/ledger/ledger-00000001.log",
                       std::ios::in | std::ios::out | std::ios::binary);
      // Inverts the byte: it is random in each run, so a fixed value would sometimes equal it and
      // cause no damage.
      log.seekg(150);
      char original = static_cast<char>(log.get());
      log.seekp(150);
      log.put(static_cast<char>(~original));
    }
    Drive d(3, 256, "automatic", "", false, 64, "15000000", folder.settings(setting));
    d.until("the ledger is closed", [&] {
      return d.logged("ledger state=closed what=\"damaged bytes in ledger-00000001.log");
    });
    PostgresClient c(d);
    bool completed = c.execute("coop", "a");
    std::printf("%s: a read is %s\n", *setting ? "refuse" : "serve",
                completed ? "completed" : "not completed");
    if (!*setting)
      std::printf(
          "told as lost: %s\n",
          d.until("lost", [&] { return d.logged("ledger_lost entries=1"); }) ? "yes" : "no");
  }
}

constexpr Case kCases[] = {{"ledgerBills", billsEachAnswer},
                           {"ledgerKilled", killedBetweenStatements},
                           {"ledgerClosed", closedLedger}};

}  // namespace

int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}
