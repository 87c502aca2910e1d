// The same fault scripts against both protocols, each on a front of its own with both doors open:
// what clients get, what took effect and which stores were spoken to must be the same to the line.
// Prints the lines once, and where the protocols differ.
#include <algorithm>
#include <vector>

#include "cql_client.h"
#include "pg_client.h"

using namespace reedchute;
using test::Case;
using test::CqlClient;
using test::Drive;

namespace {

enum class What { read, write, batch };

struct Ask {
  What what = What::read;
  const char* workload = "any";
  std::string key;
  std::string mark{};
  int waitMs = 3000;
  bool nextPage = false;  // of the read before it, where the protocol has pages
};

// One client of either protocol.
class Client {
 public:
  virtual ~Client() = default;
  virtual void begin(const Ask& a) = 0;
  virtual std::string end() = 0;  // what the statement that was begun came to
  virtual void leave() = 0;
  std::string ask(const Ask& a) { return begin(a), end(); }
  std::string name;  // of the last write, by which its effects are counted
};

class Postgres : public Client {
 public:
  explicit Postgres(Drive& drive) : c(drive) {}
  void begin(const Ask& a) override {
    std::string id = std::to_string(++ids);
    name = a.mark.empty() ? id : a.mark;
    std::string comment = " /* id=" + id + ",c=" + a.workload +
                          ",cluster=7,d=" + std::to_string(a.waitMs) +
                          (a.mark.empty() ? "" : ",k=" + a.mark) + " */";
    c.send(pg::query(a.what == What::read
                         ? "SELECT payload FROM entries WHERE ref = '" + a.key + "'" + comment
                         : "INSERT INTO entries (ref, payload) VALUES ('" + a.key +
                               "', '\\x9f') RETURNING payload" + comment));
  }
  std::string end() override { return test::outcomeOf(c.get()); }
  void leave() override { c.socket->close(); }

  test::Client c;
  static inline int ids = 500'000;
};

class Cassandra : public Client {
 public:
  Cassandra(Drive& drive, int version) : c(drive, version, version == 5) {
    select_ = c.prepare("SELECT payload FROM weather.entries WHERE ref = ?");
    insert_ = c.prepare("INSERT INTO weather.entries (ref) VALUES (?)");
  }
  void begin(const Ask& a) override {
    CqlClient::Extra x;
    x.workload = a.workload, x.mark = a.mark, x.waitMs = a.waitMs;
    if (a.what == What::read) x.pageSize = 10, x.page = a.nextPage ? page_ : std::string();
    stream_ = a.what == What::batch  ? c.batch({test::insertOf("other")}, {{insert_, a.key}}, 0, x)
              : a.what == What::read ? c.execute(select_, {a.key}, x)
                                     : c.execute(insert_, {a.key}, x);
    name = a.mark.empty() ? c.lastId : a.mark;
  }
  std::string end() override {
    std::string said = c.answer(stream_);
    page_ = c.reply.pageState.value_or(std::string_view{});
    if (said.starts_with("ERROR 1001")) return "rejected";
    if (said.starts_with("ERROR 1100") || said.starts_with("ERROR 1200")) return "aborted";
    if (said.starts_with("ERROR")) return "invalid";
    return said == "closed" ? said : "completed";
  }
  void leave() override { c.socket->close(); }

  CqlClient c;
  std::string select_, insert_, page_;
  int stream_ = 0;
};

enum class Protocol { postgres, four, five };

// What a script says and does.
struct Scene {
  Scene(Protocol p, int stores)
      : protocol(p), d(stores, 256, "automatic", "", false, 64, "15000000", door(p)) {}
  static std::string door(Protocol p) {
    std::string text = test::kCassandraSettings;
    // With Cassandra's, stores are probed in it too.
    if (p != Protocol::postgres) text.insert(text.find("  streams"), "  probes = true\n");
    return text;
  }
  std::unique_ptr<Client> client() {
    if (protocol == Protocol::postgres) return std::make_unique<Postgres>(d);
    return std::make_unique<Cassandra>(d, protocol == Protocol::five ? 5 : 4);
  }
  // Several clients with a statement out each.
  std::vector<std::unique_ptr<Client>> busy(int n, const Ask& a) {
    std::vector<std::unique_ptr<Client>> many;
    for (int k = 0; k < n; ++k) many.push_back(client());
    for (auto& c : many) c->begin(a);
    return many;
  }
  static int completed(const std::vector<std::unique_ptr<Client>>& many) {
    int n = 0;
    for (auto& c : many) n += c->end() == "completed";
    return n;
  }
  void say(const std::string& line) { said.push_back(line); }
  void ask(Client& c, const char* what, const Ask& a) {
    std::string got = c.ask(a);
    if (a.what != What::read) got += ", effects " + std::to_string(d.toy.effects(c.name));
    say(std::string(what) + ": " + got);
  }

  Protocol protocol;
  Drive d;
  std::vector<std::string> said;
};

using Script = void (*)(Scene&);

void play(Script script, int stores) {
  std::vector<std::string> lines[3];
  for (Protocol p : {Protocol::postgres, Protocol::four, Protocol::five}) {
    Scene scene(p, stores);
    script(scene);
    lines[static_cast<int>(p)] = scene.said;
  }
  for (const std::string& line : lines[0]) std::printf("%s\n", line.c_str());
  for (int other : {1, 2}) {
    if (lines[other] == lines[0]) {
      std::printf("the same in Cassandra's protocol, version %d\n", other + 3);
      continue;
    }
    std::printf("OTHERWISE in Cassandra's protocol, version %d:\n", other + 3);
    for (const std::string& line : lines[other]) std::printf("  %s\n", line.c_str());
  }
}

const Ask kRead{.key = "a"},
    kWrite{.what = What::write, .workload = "write", .key = "b", .mark = "m1"};

void quiet(Scene& s) {
  auto c = s.client();
  s.ask(*c, "a read", kRead);
  s.ask(*c, "a bounded read", {.workload = "near", .key = "a"});
  s.ask(*c, "a marked write", kWrite);
  s.ask(*c, "the same mark again", kWrite);
  s.ask(*c, "a write that is its own", {.what = What::write, .workload = "once", .key = "c"});
  s.ask(*c, "a batch", {.what = What::batch, .workload = "write", .key = "d", .mark = "m2"});
}

// The primary dies when it has run the batch, and another member becomes primary a little later.
void diesMidBatch(Scene& s) {
  auto c = s.client();
  s.ask(*c, "before", kWrite);
  int deaths = 0;
  TimePoint diedAt = kForever;
  s.d.toy.seen = [&, was = s.d.toy.seen](int store, const std::string& text) {
    was(store, text);
    if (store == 0 && diedAt == kForever && deaths++ == 0) diedAt = s.d.s.now();
  };
  c->begin({.what = What::batch, .workload = "write", .key = "die-ok", .mark = "m9"});
  s.d.until("the primary has it", [&] { return diedAt != kForever; });
  s.d.pass(100);
  s.d.toy.promote(1);
  s.say("a marked batch whose node died in the middle: " + c->end());
  s.say("its effects: " + std::to_string(s.d.toy.effects("m9")));
  s.ask(*c, "a write to the new primary",
        {.what = What::write, .workload = "write", .key = "e", .mark = "m10"});
}

void diesMidBatchUnmarked(Scene& s) {
  auto c = s.client();
  s.ask(*c, "before", kWrite);
  s.ask(*c, "an unmarked batch whose node dies in the middle",
        {.what = What::batch, .workload = "once", .key = "die", .waitMs = 1500});
  s.ask(*c, "a read afterwards", kRead);
}

void stallsBetweenPages(Scene& s) {
  auto c = s.client();
  s.ask(*c, "the first page", {.key = "pages3"});
  s.ask(*c, "the next one stalls everywhere", {.key = "silent", .waitMs = 500, .nextPage = true});
  s.ask(*c, "another client's read", kRead);
  auto other = s.client();
  s.ask(*other, "the first page again", {.key = "pages2"});
  s.ask(*other, "and its next", {.key = "pages2", .nextPage = true});
}

void errors(Scene& s) {
  for (const char* key : {"error-ok", "miss-ok", "full-ok", "wrong"}) {
    auto c = s.client();
    s.ask(*c, (std::string("a read: ") + key).c_str(), {.key = key});
  }
}

void writesThatMayHaveRun(Scene& s) {
  auto c = s.client();
  s.ask(*c, "marked, error",
        {.what = What::write, .workload = "write", .key = "error-ok", .mark = "m1"});
  s.ask(*c, "unmarked, error", {.what = What::write, .workload = "once", .key = "error-ok"});
  s.ask(*c, "unmarked, never ran", {.what = What::write, .workload = "once", .key = "full-ok"});
  s.ask(*c, "unmarked batch, error", {.what = What::batch, .workload = "once", .key = "error-ok"});
}

void connectionBreaks(Scene& s) {
  auto c = s.client();
  s.ask(*c, "a read", {.key = "break-ok"});
  s.ask(*c, "marked", {.what = What::write, .workload = "write", .key = "break-ok", .mark = "m1"});
  auto other = s.client();
  s.ask(*other, "unmarked", {.what = What::write, .workload = "once", .key = "break-ok"});
}

void spoiltAnswers(Scene& s) {
  auto c = s.client();
  for (const char* key : {"garbage-ok", "half-ok", "long-ok"})
    s.ask(*c, (std::string("a read: ") + key).c_str(), {.key = key});
  s.ask(*c, "a write whose answer can't be read",
        {.what = What::write, .workload = "once", .key = "garbage-ok", .waitMs = 1500});
}

void silentStore(Scene& s) {
  auto c = s.client();
  s.ask(*c, "a write without an answer",
        {.what = What::write, .workload = "once", .key = "silent", .waitMs = 600});
  s.ask(*c, "a read meanwhile", kRead);
}

void fullEverywhere(Scene& s) {
  auto c = s.client();
  s.ask(*c, "a read", {.key = "full"});
  s.ask(*c, "a write", {.what = What::write, .workload = "once", .key = "full", .waitMs = 800});
}

// What a store is sent from 500 ms after the list said that it drains.
void drains(Scene& s) {
  auto c = s.client();
  for (int k = 0; k < 10; ++k) c->ask(kRead);
  c->begin({.key = "slow700"});
  s.d.pass(50);
  s.d.toy.setState(1, "draining");
  s.d.toy.setState(2, "draining");
  s.d.until("told", [&] { return s.d.logged("version=3") || s.d.logged("state=draining"); });
  s.d.pass(500);
  int before = s.d.toy.executions(1) + s.d.toy.executions(2), primary = s.d.toy.executions(0);
  s.say("what was out: " + c->end());
  int right = 0;
  for (int k = 0; k < 30; ++k) right += c->ask(kRead) == "completed";
  s.say("reads completed: " + std::to_string(right) + " of 30");
  s.say("sent to those that drain: " +
        std::to_string(s.d.toy.executions(1) + s.d.toy.executions(2) - before));
  s.say("sent to the other: " + std::to_string(s.d.toy.executions(0) - primary));
}

void drainsWithAQueue(Scene& s) {
  auto many = s.busy(6, {.key = "slow200"});
  s.d.pass(30);
  s.d.toy.setState(1, "draining");
  s.d.until("told", [&] { return s.d.logged("state=draining"); });
  s.d.pass(500);
  int before = s.d.toy.executions(1);
  s.say("completed: " + std::to_string(s.completed(many)) + " of 6");
  s.say("sent to the one that drains, after the grace: " +
        std::to_string(s.d.toy.executions(1) - before));
}

// A store that comes back is cold: of what several clients ask together it may get its small share
// only.
void coldStore(Scene& s) {
  std::vector<std::unique_ptr<Client>> many;
  for (int k = 0; k < 8; ++k) many.push_back(s.client());
  auto burst = [&](int rounds) {
    int right = 0;
    for (int k = 0; k < rounds; ++k) {
      for (auto& c : many) c->begin({.key = "slow5"});
      for (auto& c : many) right += c->end() == "completed";
    }
    return right;
  };
  burst(20);
  s.d.toy.kill(2);
  s.d.pass(100);
  s.say("without it: " + std::to_string(burst(20)) + " of 160");
  s.d.toy.revive(2);
  s.d.until("told", [&] { return s.d.logged("id=toy-2 group=7 state=up primary=0 started_ms=1"); });
  int before = s.d.toy.executions(2);
  s.say("with it, cold: " + std::to_string(burst(40)) + " of 320");
  int got = s.d.toy.executions(2) - before;
  s.say(std::string("the cold store got ") + (got <= 320 * 27 / 100
                                                  ? "no more than its cold share"
                                                  : "too much: " + std::to_string(got)));
}

void lagging(Scene& s) {
  auto c = s.client();
  s.d.restartWithOldData({1, 2});
  for (int k = 0; k < 5; ++k) c->ask({.workload = "near", .key = "a"});
  int before = s.d.toy.executions(1) + s.d.toy.executions(2), right = 0;
  for (int k = 0; k < 30; ++k) right += c->ask({.workload = "near", .key = "a"}) == "completed";
  s.say("bounded reads completed: " + std::to_string(right) + " of 30");
  s.say("sent to replicas a minute behind: " +
        std::to_string(s.d.toy.executions(1) + s.d.toy.executions(2) - before));
}

void clientLeaves(Scene& s) {
  auto c = s.client(), other = s.client();
  c->begin({.what = What::write, .workload = "once", .key = "slow300-ok"});
  s.d.pass(100);
  c->leave();
  s.d.pass(500);
  s.say("effects of a write whose client left: " + std::to_string(s.d.toy.effects(c->name)));
  s.ask(*other, "another client", kRead);
}

void frontLeaves(Scene& s) {
  auto many = s.busy(6, {.key = "slow900"});
  s.d.pass(100);
  s.d.signal(SIGTERM);
  s.say("answered while it leaves: " + std::to_string(s.completed(many)) + " of 6");
  for (auto& c : many) c->leave();
  s.d.until("ended", [&] { return s.d.logged("phase=ended"); });
  s.say("and it has ended");
}

void forgets(Scene& s) {
  auto c = s.client();
  for (int k = 0; k < 6; ++k) c->ask(kRead);
  for (int k = 0; k < 3; ++k) s.d.toy.forgetPrepared(k);
  s.ask(*c, "a read after all texts were forgotten", kRead);
  for (int k = 0; k < 3; ++k) s.d.toy.forgetPrepared(k);
  s.ask(*c, "a write", {.what = What::write, .workload = "once", .key = "w"});
  for (int k = 0; k < 3; ++k) s.d.toy.forgetPrepared(k);
  s.ask(*c, "a batch", {.what = What::batch, .workload = "once", .key = "w"});
  s.say(std::string("refused on its way: ") + (s.d.logged(" attempt_refused ") ? "yes" : "no"));
}

constexpr Case kCases[] = {
    {"bothQuiet", [] { play(quiet, 3); }},
    {"bothDiesMidBatch", [] { play(diesMidBatch, 3); }},
    {"bothDiesUnmarked", [] { play(diesMidBatchUnmarked, 3); }},
    {"bothStallsBetweenPages", [] { play(stallsBetweenPages, 3); }},
    {"bothErrors", [] { play(errors, 3); }},
    {"bothMayHaveRun", [] { play(writesThatMayHaveRun, 3); }},
    {"bothBreaks", [] { play(connectionBreaks, 3); }},
    {"bothSpoilt", [] { play(spoiltAnswers, 3); }},
    {"bothSilent", [] { play(silentStore, 3); }},
    {"bothFull", [] { play(fullEverywhere, 3); }},
    {"bothDrains", [] { play(drains, 3); }},
    {"bothDrainsQueued", [] { play(drainsWithAQueue, 3); }},
    {"bothCold", [] { play(coldStore, 3); }},
    {"bothLagging", [] { play(lagging, 3); }},
    {"bothClientLeaves", [] { play(clientLeaves, 3); }},
    {"bothFrontLeaves", [] { play(frontLeaves, 3); }},
    {"bothForgets", [] { play(forgets, 3); }},
};

}  // namespace

int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}
