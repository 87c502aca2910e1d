// Jobs on a connection to a store, with both ends in one process: what has come into
// the kernel and what is decided meet in the order that a test wants.
#include <csignal>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>

#include "codec/pg/messages.h"
#include "drive.h"
#include "protocols/cassandra/upstream_connection.h"
#include "protocols/postgres/statement_decoder.h"
#include "protocols/postgres/upstream_connection.h"
#include "trace.h"

using namespace reedchute;
using runtime::Socket;
using test::Case;
using test::ms;
using test::runCase;

namespace {

const char* nameOf(AttemptOutcome e) {
  switch (e) {
    case AttemptOutcome::ok:
      return "ok";
    case AttemptOutcome::cancelled:
      return "cancelled";
    case AttemptOutcome::neverSent:
      return "moot";
    case AttemptOutcome::reset:
      return "reset";
    case AttemptOutcome::connectFailed:
      return "never connected";
    default:
      return "another";
  }
}

// One store, and one job given to it: a statement, or where `probes` is so, a probe.
class Pair : public request::AttemptOwner {
 public:
  explicit Pair(std::unique_ptr<upstream::UpstreamProtocol> in =
                    std::make_unique<protocols::postgres::UpstreamProtocol>(),
                bool probes = false)
      : voice(std::move(in)),
        probe(probes),
        stores(s, *this, {ms(5000), ms(60'000), 8, 1 << 20, 1 << 20}),
        listener(s, runtime::openListener(here(0))) {
    request::ProtocolVersion version = stores.addProtocol(*voice);
    stores.setAddress(0, version,
                      here(static_cast<std::uint16_t>(runtime::localPort(listener.fd()))));
    query.text = "SELECT 1 /* id=1,c=any,cluster=7,d=900 */";
    query.waitOffset = query.text.find("900"), query.waitSize = 3;
    spoken = version;
    job = give();
    peer = accepted();
  }
  request::UpstreamRequest* give(TimePoint sendBy = kForever) {
    auto j = std::make_unique<request::UpstreamRequest>();
    j->statement = 1, j->attempt = 0, j->store = 0, j->version = spoken, j->payload = &query;
    if (probe) j->statement = -1, j->payload = nullptr;
    j->startedAt = s.now(), j->deadline = s.now() + ms(20'000), j->sendBy = sendBy;
    return stores.submit(std::move(j));
  }
  std::unique_ptr<Socket> accepted() {
    for (;;) {
      runtime::Accepted one = runtime::acceptConnection(listener.fd());
      if (one.status == runtime::AcceptStatus::accepted) return std::make_unique<Socket>(s, one.fd);
      pass();
    }
  }
  static sockaddr_in here(std::uint16_t port) {
    return *runtime::parseAddress("127.0.0.1:" + std::to_string(port), true);
  }
  void pass() {
    s.runOnce(s.now() + ms(2), [] {});
  }
  // Waits until so much has come from the front, and forgets it.
  void comes(std::string_view what) {
    std::string in;
    while (in.find(what) == std::string::npos) pass(), peer->read(in, 1 << 20);
  }
  void ends() {
    for (TimePoint end = s.now() + test::kWaitLimit; !done && s.now() < end;) pass();
  }
  // The store greets, and has the job.
  void takes() {
    comes("orders");
    peer->write(pg::greeting());
    comes("SELECT 1");
  }

  bool isWanted(const request::UpstreamRequest&) const override { return true; }
  bool maySend(const request::UpstreamRequest& j, TimePoint now) override {
    return j.sendBy > now && j.deadline > now && !j.isCancelled;
  }
  void onRequestEnded(request::UpstreamRequest& j) override {
    done = true;
    std::printf("%s, role %s\n", nameOf(j.outcome),
                j.role == Role::replica   ? "replica"
                : j.role == Role::primary ? "primary"
                                          : "unknown");
  }

  runtime::Scheduler s;
  std::unique_ptr<upstream::UpstreamProtocol> voice;
  const bool probe;
  protocols::postgres::Query query;
  upstream::ConnectionPools stores;
  runtime::Descriptor listener;
  std::unique_ptr<Socket> peer;
  request::ProtocolVersion spoken = 0;
  request::UpstreamRequest* job = nullptr;
  bool done = false;
};

std::string row() {
  std::string described("\0\1payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1", 28);
  return pg::message('T', described) + pg::message('D', std::string("\0\1\0\0\0\1x", 7));
}

// What a store's answer says counts as known once it was written, read or not.
void cancelCrosses() {
  const std::string role = pg::parameter("server_role", "reader"),
                    all = row() + pg::message('C', std::string("SELECT 1\0", 9)) + role +
                          pg::ready();
  for (const auto& [what, bytes] :
       {std::pair<const char*, std::string>{"nothing of the answer", ""},
        {"its role", role},
        {"all of it", all}}) {
    Pair p;
    p.takes();
    p.peer->write(bytes);
    p.stores.cancel(p.job);
    std::printf("called off as %s has come: ", what);
    p.ends();
  }
  Pair p;
  std::printf("called off while its connection is dialled: ");
  p.stores.cancel(p.job);
  p.comes("orders");
  p.peer->write(pg::greeting());
  p.ends();
}

// An idle connection ends behind its last words as a job is given to it, and no event has been seen
// of either.
void endsUnseen() {
  for (const auto& [what, bytes] : {std::pair<const char*, std::string>{"nothing", ""},
                                    {"a parameter", pg::parameter("server_role", "reader")},
                                    {"half a line", std::string("S\0\0", 3)}}) {
    Pair p;
    p.takes();
    p.peer->write(row() + pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready());
    p.ends();
    p.done = false;
    p.s.runOnce(p.s.now(), [&] {
      p.peer->write(bytes);
      p.peer->close();
      while (
          test::Drive::countSockets(static_cast<std::uint16_t>(runtime::localPort(p.listener.fd())))
              .ended == 0)
        continue;
      p.give();
    });
    p.pass();
    std::printf("it ends behind %s: ", what);
    if (p.done) continue;
    p.peer = p.accepted();
    p.takes();
    std::printf("the job is written to another connection\n");
  }
}

// Frames that nobody asked for, as many as there are: whatever else the front has to do goes on
// beside them.
void endlessFrames() {
  protocols::cassandra::Config config;
  protocols::cassandra::StorePreparedIds::SharedLru room(1 << 20);
  Pair p(std::make_unique<protocols::cassandra::UpstreamProtocol>(config, 4, room), true);
  p.comes("CQL_VERSION");
  p.peer->write(std::string("\x84\0\0\0\2\0\0\0\0", 9));
  p.comes(std::string("\4\0\0\0\5", 5));
  std::string events;
  for (int k = 0; k < 20'000; ++k) events += std::string("\x84\0\xff\xff\x0c\0\0\0\0", 9);
  p.peer->write(events + std::string("\x84\0\0\0\6\0\0\0\2\0\0", 11));
  int rounds = 0;
  for (; !p.done; ++rounds) p.pass();
  std::printf("20,000 frames before its answer: others have had %s\n",
              rounds > 50 ? "many rounds" : "to wait");
}

// A connection whose work fails in the middle, by an exception.
class Faulty : public upstream::UpstreamConnection {
 public:
  Faulty(upstream::ConnectionPools& owner, int of, request::ProtocolVersion in, int fd, bool early)
      : UpstreamConnection(owner, of, in), socket_(owner.scheduler(), fd), early_(early) {}
  runtime::Task<bool> connect(TimePoint until) override {
    bool up = co_await runtime::awaitConnected(socket_, until);
    if (early_) throw std::runtime_error("as it comes up");
    co_return up;
  }
  runtime::Task<> serve() override {
    job_ = pools.nextRequest(*this);
    throw std::runtime_error("as it serves");
    co_return;
  }
  runtime::Task<> end() override {
    socket_.close();
    if (job_) pools.complete(std::exchange(job_, nullptr), AttemptOutcome::reset);
    co_return;
  }
  void accept(request::UpstreamRequest* job) override { job_ = job; }
  void cancel(request::UpstreamRequest*) override {}
  void close() override { socket_.close(); }
  std::size_t requestCount() const override { return job_ != nullptr; }
  std::size_t bufferedBytes() const override { return 0; }

 private:
  runtime::Socket socket_;
  request::UpstreamRequest* job_ = nullptr;
  bool early_;
};

struct FaultyVoice : upstream::UpstreamProtocol {
  explicit FaultyVoice(bool so) : early(so) {}
  std::unique_ptr<upstream::UpstreamConnection> createConnection(upstream::ConnectionPools& pools,
                                                                 int store,
                                                                 request::ProtocolVersion version,
                                                                 int fd) override {
    return std::make_unique<Faulty>(pools, store, version, fd, early);
  }
  std::size_t maxConcurrentRequests() const override { return 1; }
  const bool early;
};

// Its job ends all the same, and nothing of the connection is left.
void storeFaults() {
  for (bool early : {true, false}) {
    Pair p(std::make_unique<FaultyVoice>(early));
    std::printf("a fault %s: ", early ? "as it comes up" : "as it serves");
    p.ends();
    p.pass();
    std::printf("connections left: %zu, ended: %s\n", p.stores.connectionCount(),
                p.done ? "yes" : "no");
  }
}

// A connection that has answered once; the next statement is longer than the kernel takes.
void readyForLong(Pair& p) {
  p.comes("orders");
  p.peer->write(pg::greeting());
  p.comes("SELECT 1");
  p.peer->write(row() + pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready());
  p.ends();
  p.done = false;
  p.query.text += std::string(24 << 20, ' ');
}

// The kernel takes the first part of a statement and no more, as its store reads nothing: its last
// byte would leave after the moment by which it has to.
void heldUp() {
  Pair p;
  readyForLong(p);
  TimePoint by = p.s.now() + ms(300);
  p.give(by);
  std::printf("held up while it is written: ");
  p.ends();
  std::printf("in time: %s\n", p.s.now() < by + ms(5000) ? "yes" : "no");
  std::string in;
  while (p.peer->read(in, 128 << 20) != Socket::ReadStatus::closed) p.pass();
  std::printf("its store has all of it: %s\n", in.size() >= p.query.text.size() ? "yes" : "no");
}

// What a store is told of its client's time holds for the last byte too: written a while later, it
// would be untrue.
void toldLate() {
  Pair p;
  readyForLong(p);
  p.give();
  std::printf("its store reads nothing for 0.4 s: ");
  for (TimePoint until = p.s.now() + ms(400); p.s.now() < until;) p.pass();
  std::string in;
  while (!p.done || p.peer->read(in, 128 << 20) == Socket::ReadStatus::data)
    p.peer->read(in, 128 << 20), p.pass();
  std::printf("its store has all of it: %s\n", in.size() >= p.query.text.size() ? "yes" : "no");
}

// A store that closes each connection as soon as it is up is not dialled for as long as the client
// waits.
void closesAtOnce() {
  Pair p;
  p.peer->write(pg::greeting());
  p.peer->close();
  int times = 1;
  for (TimePoint until = p.s.now() + ms(3000); !p.done && p.s.now() < until; p.pass()) {
    runtime::Accepted one = runtime::acceptConnection(p.listener.fd());
    if (one.status != runtime::AcceptStatus::accepted) continue;
    Socket next(p.s, one.fd);
    next.write(pg::greeting());
    ++times;
  }
  std::printf("a store that greets and closes: dialled at most four times %s, given up %s\n",
              times <= 4 ? "yes" : "no", p.done ? "yes" : "no");
}

const Case kCases[] = {
    {"cancelCrosses", cancelCrosses}, {"toldLate", toldLate}, {"closesAtOnce", closesAtOnce},
    {"endsUnseen", endsUnseen},       {"heldUp", heldUp},     {"endlessFrames", endlessFrames},
    {"storeFaults", storeFaults}};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return runCase(kCases, argc, argv);
}
