// A store takes statements and answers none, over Cassandra's protocol, at a deployment that allows
// no two executions of a statement at once.
#include "stand.h"

using namespace stand;

namespace {

constexpr int kStores = 6;  // one primary, five replicas
constexpr int kHung = 3;    // the store that hangs: one of six
constexpr std::int64_t kHangMs = 6'000;
constexpr std::int64_t kGapMs =
    200;                      // an earlier execution still out so long after the later one began
constexpr int kWorkMs = 130;  // that a statement takes
constexpr int kClients = 30;

struct Execution {
  std::string store;
  std::shared_ptr<cql::Store::Connection> connection;
  std::int64_t atUs = 0, answeredUs = 0;
};
std::mutex mutex;
std::map<std::string, std::vector<std::shared_ptr<Execution>>> executions;  // by statement id
std::atomic<bool> isHanging{false};
std::atomic<int> together{0}, served{0}, refused{0}, failed{0}, none{0}, received{0};
struct Held {
  cql::Store* store;
  std::shared_ptr<cql::Store::Connection> connection;
  int stream;
  std::shared_ptr<Execution> execution;
};
std::vector<Held> held;

void answer(const Held& one) {
  {
    std::lock_guard<std::mutex> lock(mutex);
    one.execution->answeredUs = steadyUs();
  }
  one.store->reply(one.connection, one.stream, cql::kResult, cql::rowsBody("value", ""));
}

void onQuery(cql::Store& store, std::shared_ptr<cql::Store::Connection> connection,
             const cql::Asked& asked) {
  std::string id = asked.payload.at("id");
  auto execution = std::make_shared<Execution>();
  execution->store = store.name;
  execution->connection = connection;
  execution->atUs = steadyUs();
  std::vector<std::shared_ptr<Execution>> earlier;
  bool hangs = isHanging && store.name == "store-" + std::to_string(kHung);
  Held mine{&store, connection, asked.stream, execution};
  {
    std::lock_guard<std::mutex> lock(mutex);
    earlier = executions[id];
    executions[id].push_back(execution);
    if (hangs) held.push_back(mine);
  }
  ++received;
  note("%s got %s, execution %zu%s", store.name.c_str(), id.c_str(), earlier.size() + 1,
       hangs ? ", and hangs" : "");
  std::thread([mine, id, earlier, hangs] {
    sleepMs(hangs ? kGapMs : kWorkMs);
    if (!hangs) answer(mine);
    if (!hangs) sleepMs(kGapMs - kWorkMs);
    // Whether an earlier one was out all the time: not answered, its connection open.
    std::lock_guard<std::mutex> lock(mutex);
    for (const auto& one : earlier) {
      bool isOut = one->answeredUs == 0 && one->connection->isOpen;
      if (!isOut) continue;
      ++together;
      note(
          "BROKEN: %s was sent to %s while its execution at %s is out, unanswered on an open "
          "connection, for %lld ms",
          id.c_str(), mine.store->name.c_str(), one->store.c_str(),
          static_cast<long long>((steadyUs() - one->atUs) / 1000));
    }
  }).detach();
}

}  // namespace

int main(int argc, char** argv) {
  std::string folder = begin(argc, argv);
  static List list;
  static std::vector<std::unique_ptr<cql::Store>> stores;
  static std::vector<std::unique_ptr<PgStore>> probed;
  std::vector<Entry> entries;
  for (int k = 0; k < kStores; ++k) {
    auto store = std::make_unique<cql::Store>();
    store->name = "store-" + std::to_string(k);
    store->primary = k == 0;
    store->onQuery = onQuery;
    store->start();
    auto probe = std::make_unique<PgStore>();
    probe->primary = k == 0;
    probe->onStatement = [](PgStore&, int, const std::string&) { return false; };
    probe->start();
    entries.push_back({store->name, probe->port, store->port, k == 0});
    stores.push_back(std::move(store));
    probed.push_back(std::move(probe));
  }
  list.set(entries);
  list.start();
  Settings settings;
  settings.parallelTries = false;
  settings.workloads = {{"live-map", "repeatable", "lag_bound", 3'000'000, 600'000},
                        {"trip-report", "repeatable", "eventual", 0, 1'000'000, 0, 3, 0.2},
                        {"fix-upload", "by_key", "mutate", 0, 600'000, 2'000'000, 3, 0.5}};
  static Front front = startFront(folder, "n0", configOf("n0", list.port(), list.json(), settings),
                                  "cassandra {\n  listen = \"127.0.0.1:0\"\n}\n");
  sleepMs(500);
  static std::atomic<bool> isOver{false};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c)
    clients.emplace_back([c] {
      unsigned seed = 100u + static_cast<unsigned>(c);
      auto client = std::make_unique<cql::Client>(front.cqlPort);
      for (int n = 0; !isOver; ++n) {
        sleepMs(rand_r(&seed) % 60);
        // The front may close a connection between two requests.
        if (!client->isUp() || client->hasEnded())
          client = std::make_unique<cql::Client>(front.cqlPort);
        std::string id = "c" + std::to_string(c) + "-" + std::to_string(n);
        cql::Payload payload{{"id", id}, {"c", "trip-report"}, {"d", "3000"}, {"cluster", "1"}};
        client->send(
            cql::query(n % 1000, "SELECT payload FROM weather.entries WHERE ref = 'a'", payload));
        cql::Reply reply = client->read(steadyUs() + 4'000'000);
        ++(reply.kind == "served"    ? served
           : reply.kind == "refused" ? refused
           : reply.kind == "failed"  ? failed
                                     : none);
      }
    });
  sleepMs(5000);
  isHanging = hasTrouble();
  if (isHanging) note("store-%d takes statements and answers none", kHung);
  sleepMs(kHangMs);
  isHanging = false;
  std::vector<Held> all;
  {
    std::lock_guard<std::mutex> lock(mutex);
    all.swap(held);
  }
  for (const Held& one : all) answer(one);
  if (hasTrouble())
    note("store-%d has answered the %zu statements that it held", kHung, all.size());
  sleepMs(3000);
  isOver = true;
  for (std::thread& client : clients) client.join();
  sleepMs(300);
  note("received %d, served %d, refused %d, failed %d, none %d, two at once %d", received.load(),
       served.load(), refused.load(), failed.load(), none.load(), together.load());
  if (!isRunning(front)) finish(1, "the front has ended");
  if (served < 200) finish(2, "too few statements were served");
  if (together > 0) finish(1, "two executions of a statement were out at once");
  finish(0, "no statement had two executions out at once");
}
