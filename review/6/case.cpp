// Stores send an answer and, where nothing else waits on the connection, a second copy of it right
// behind. Each client must get the value that was made for its own statement.
#include "stand.h"

using namespace stand;

namespace {

constexpr int kClients = 64;
constexpr int kThinkMs = 80;  // between two statements of a client, at most: 800 a second in all
constexpr int kRunMs = 40'000;
constexpr int kCopyShare = 10;  // one answer in ten
constexpr int kBehindUs = 500;  // from the end of the answer to the copy, at most

struct Counts {
  std::atomic<long> answers{0}, served{0}, refused{0}, failed{0}, none{0}, copies{0}, foreign{0};
};

bool hasInput(int fd) {
  pollfd entry{fd, POLLIN, 0};
  return poll(&entry, 1, 0) > 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::string folder = begin(argc, argv);
  static Counts counts;
  static List list;
  static std::vector<std::unique_ptr<PgStore>> stores;
  std::vector<Entry> entries;
  for (int k = 0; k < 3; ++k) {
    auto store = std::make_unique<PgStore>();
    store->name = "store-" + std::to_string(k);
    store->primary = k == 0;
    store->handshakeMs = 5;
    store->onStatement = [](PgStore& self, int fd, const std::string& text) {
      long number = ++counts.answers;
      sleepMs(10 + number * 7919 % 60);
      std::string key = firstQuoted(text);
      std::string answer = pgRow("value of " + key) + self.role() + pgReady();
      if (!sendAll(fd, answer)) return false;
      if (!hasTrouble() || number % kCopyShare != 0) return true;
      std::int64_t copyAt = steadyUs() + number / kCopyShare * 37 % kBehindUs;
      while (steadyUs() < copyAt) std::this_thread::yield();
      if (hasInput(fd)) return true;
      bool isSent = sendAll(fd, answer);
      ++counts.copies;
      note("%s sent a second copy of the answer to %s", self.name.c_str(),
           field(text, "id").c_str());
      return isSent;
    };
    store->start();
    entries.push_back({store->name, store->port, 0, k == 0});
    stores.push_back(std::move(store));
  }
  list.set(entries);
  list.start();
  Settings settings;
  settings.workloads = {{"history", "repeatable", "eventual", 0, 400'000},
                        {"latest", "repeatable", "lag_bound", 200'000},
                        {"upload", "by_key", "mutate", 0, 600'000, 3'000'000, 4, 0.3}};
  static Front front = startFront(folder, "n0", configOf("n0", list.port(), list.json(), settings),
                                  "");
  static std::atomic<bool> isOver{false};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c)
    clients.emplace_back([c] {
      auto client = std::make_unique<PgClient>(front.pgPort);
      unsigned seed = 1000u + static_cast<unsigned>(c);
      for (int n = 0; !isOver; ++n) {
        sleepMs(rand_r(&seed) % kThinkMs);
        if (!client->isUp()) client = std::make_unique<PgClient>(front.pgPort);
        char key[20];
        std::snprintf(key, sizeof key, "%08x%08x", c, n);
        std::string text = "SELECT payload FROM entries WHERE ref = '" + std::string(key) +
                           "' /* id=a" + key + ",c=history,d=1500,cluster=1 */";
        Answer answer = client->ask(text, 2000);
        ++(answer.kind == "served"    ? counts.served
           : answer.kind == "refused" ? counts.refused
           : answer.kind == "failed"  ? counts.failed
                                      : counts.none);
        if (answer.kind != "served" || answer.value == "value of " + std::string(key)) continue;
        ++counts.foreign;
        note("BROKEN: the statement for %s was served with '%s'", key, answer.value.c_str());
      }
    });
  sleepMs(kRunMs);
  isOver = true;
  for (std::thread& client : clients) client.join();
  note("served %ld refused %ld failed %ld none %ld copies %ld foreign %ld", counts.served.load(),
       counts.refused.load(), counts.failed.load(), counts.none.load(), counts.copies.load(),
       counts.foreign.load());
  if (!isRunning(front)) finish(1, "the front has ended");
  if (counts.served < 1000) finish(2, "too few statements were served");
  if (counts.foreign > 0) finish(1, "clients were served values made for other statements");
  finish(0, "each client got the value made for its statement");
}
