// A whole front with its ledger on, killed in the middle: what its clients counted is what is
// billed.
#include <filesystem>

#include "cql_client.h"
#include "ledger/ledger_writer.h"
#include "pg_client.h"

using namespace reedchute;
using test::Case;
using test::CqlClient;
using test::Drive;

namespace {

// A folder for a ledger and its key, gone at the end.
struct Place {
  Place() {
    char name[] = "/tmp/reedchute-ledger-XXXXXX";
    path = mkdtemp(name);
    std::ofstream(path + "/key") << "0123456789abcdef0123456789abcdef\n";
  }
  ~Place() { std::filesystem::remove_all(path); }
  std::string door(const char* more = "") const {
    return std::string(test::kCassandraSettings) + "ledger {\n  folder = \"" + path +
           "/ledger\"\n  key_file = \"" + path + "/key\"\n  period = \"hour\"\n" + more + "}\n";
  }
  // What the ledger says of a tenant, over all periods.
  ledger::Usage used(const std::string& tenant) const {
    ledger::UsageTotals t;
    auto files = ledger::filesToRead(path + "/ledger");
    ledger::Log log(*files, {"0123456789abcdef0123456789abcdef"});
    auto found = log.verify([&](const ledger::wire::Record& r) { t.add(r); });
    if (!found.empty()) std::printf("the log: %s\n", ledger::nameOf(found.front().what));
    ledger::Usage all;
    for (const auto& [key, u] : t.all())
      if (key.second == tenant) all += u;
    return all;
  }
  std::string path;
};

struct UsageRecord : Drive {
  explicit UsageRecord(const Place& p, const char* more = "")
      : Drive(3, 256, "automatic", "", false, 64, "15000000", p.door(more)) {
    until("the ledger is open", [&] { return logged("ledger state=open"); });
  }
};

struct Postgres : test::Client {
  using Client::Client;
  // True where it completed.
  bool ask(const std::string& tenant, const std::string& key, const std::string& mark = "") {
    std::string tail =
        " /* id=" + std::to_string(++ids) + ",c=" + (mark.empty() ? "any" : "write") +
        ",cluster=7,d=2000,tenant=" + tenant + (mark.empty() ? "" : ",k=" + mark) + " */";
    return test::outcomeOf(Client::ask(
               mark.empty() ? "SELECT payload FROM entries WHERE ref = '" + key + "'" + tail
                            : "INSERT INTO entries VALUES ('" + key + "')" + tail)) ==
           std::string("completed");
  }
};

void tell(const char* who, const ledger::Usage& u, int counted) {
  std::printf("%s: counted %d, billed %lld, repeats %lld, rejected %lld, aborted %lld\n", who,
              counted, static_cast<long long>(u.statements), static_cast<long long>(u.retries),
              static_cast<long long>(u.rejected), static_cast<long long>(u.aborted));
}

void bills() {
  Place place;
  int coop = 0, office = 0;
  {
    UsageRecord d(place);
    Postgres c(d);
    for (int k = 0; k < 10; ++k) coop += c.ask("coop", "a");
    coop += c.ask("coop", "b", "mark-1");
    std::printf("the same mark again: %s\n", c.ask("coop", "b", "mark-1") ? "completed" : "not");
    CqlClient cql(d);
    for (int k = 0; k < 7; ++k) {
      std::string body, answer;
      cql::addBytesMap(body, {{"tenant", "office"}, {"c", "any"}, {"cluster", "7"}});
      cql::addLongString(body, test::selectOf("x"));
      cql.send(1, cql::Opcode::query, body + std::string("\0\1\0", 3), cql::kPayload);
      office += cql.answer(1).starts_with("row");
    }
    std::printf("full everywhere: %s\n", c.ask("coop", "full") ? "completed" : "not");
    d.signal(SIGTERM);
    c.socket->close(), cql.socket->close();
    d.printExitCode();
  }
  tell("coop", place.used("coop"), coop);
  tell("office", place.used("office"), office);
}

// Killed outright in between, again and again: all that was answered is there, once.
void killed() {
  Place place;
  int counted = 0, repeated = 0, mark = 0;
  UsageRecord d(place);
  for (int round = 0; round < 5; ++round) {
    Postgres c(d);
    for (int k = 0; k < 20; ++k) counted += c.ask("coop", "a", "m" + std::to_string(++mark));
    // The last answer is asked for again after the front has died: the same mark, another front.
    d.killAndStart();
    d.until("the ledger is open", [&] { return d.logged("ledger state=open"); });
    Postgres again(d);
    repeated += again.ask("coop", "a", "m" + std::to_string(mark));
  }
  d.signal(SIGTERM);
  d.printExitCode();
  std::printf("asked again under a mark that was answered: %d\n", repeated);
  tell("coop", place.used("coop"), counted);
}

// A ledger that can't be believed: served on and counted as lost, or refused, as the operators
// chose.
void closed() {
  for (const char* choice : {"", "  when_behind = \"refuse\"\n"}) {
    Place place;
    {
      UsageRecord d(place);
      Postgres c(d);
      for (int k = 0; k < 5; ++k) c.ask("coop", "a");
      d.signal(SIGTERM);
      c.socket->close();
      d.printExitCode();
    }
    {
      std::fstream log(place.path + "/ledger/ledger-00000001.log",
                       std::ios::in | std::ios::out | std::ios::binary);
      // Danger: a fixed byte in the place of one that is drawn anew in each run is no damage now
      // and then.
      log.seekg(150);
      char was = static_cast<char>(log.get());
      log.seekp(150);
      log.put(static_cast<char>(~was));
    }
    Drive d(3, 256, "automatic", "", false, 64, "15000000", place.door(choice));
    d.until("the ledger is closed", [&] {
      return d.logged("ledger state=closed what=\"damaged bytes in ledger-00000001.log");
    });
    Postgres c(d);
    bool completed = c.ask("coop", "a");
    std::printf("%s: a read is %s\n", *choice ? "refuse" : "serve",
                completed ? "completed" : "not completed");
    if (!*choice)
      std::printf(
          "told as lost: %s\n",
          d.until("lost", [&] { return d.logged("ledger_lost entries=1"); }) ? "yes" : "no");
  }
}

constexpr Case kCases[] = {
    {"ledgerBills", bills}, {"ledgerKilled", killed}, {"ledgerClosed", closed}};

}  // namespace

int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}
