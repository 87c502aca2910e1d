// Tests of upstream requests on a connection to a store. Both ends of the connection are in this
// process, so each test controls the order in which data arrives and the proxy acts.
#include <csignal>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <tuple>

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

const char* nameOf(AttemptOutcome outcome) {
  switch (outcome) {
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

// One store and one upstream request submitted to it: a statement or, if `sendsProbe`, a probe.
class ConnectionHarness : public request::AttemptOwner {
 public:
  explicit ConnectionHarness(std::unique_ptr<upstream::UpstreamProtocol> upstreamProtocol =
                                 std::make_unique<protocols::postgres::UpstreamProtocol>(),
                             bool isProbeRequest = false)
      : protocol(std::move(upstreamProtocol)),
        sendsProbe(isProbeRequest),
        pools(scheduler, *this, {ms(5000), ms(60'000), 8, 1 << 20, 1 << 20}),
        listener(scheduler, runtime::openListener(loopbackAddress(0))) {
    request::ProtocolVersion version = pools.addProtocol(*protocol);
    pools.setAddress(
        0, version, loopbackAddress(static_cast<std::uint16_t>(runtime::localPort(listener.fd()))));
    query.text = "SELECT 1 /* id=1,c=any,cluster=7,d=900 */";
    query.timeoutOffset = query.text.find("900"), query.timeoutSize = 3;
    protocolVersion = version;
    upstreamRequest = submitRequest();
    peer = acceptConnection();
  }
  request::UpstreamRequest* submitRequest(TimePoint sendBy = kForever) {
    auto submitted = std::make_unique<request::UpstreamRequest>();
    submitted->statement = 1, submitted->attempt = 0, submitted->store = 0,
    submitted->version = protocolVersion, submitted->payload = &query;
    if (sendsProbe) submitted->statement = -1, submitted->payload = nullptr;
    submitted->startedAt = scheduler.now(), submitted->deadline = scheduler.now() + ms(20'000),
    submitted->sendBy = sendBy;
    return pools.submit(std::move(submitted));
  }
  std::unique_ptr<Socket> acceptConnection() {
    for (;;) {
      runtime::Accepted accepted = runtime::acceptConnection(listener.fd());
      if (accepted.status == runtime::AcceptStatus::accepted)
        return std::make_unique<Socket>(scheduler, accepted.fd);
      runOnce();
    }
  }
  static sockaddr_in loopbackAddress(std::uint16_t port) {
    return *runtime::parseAddress("127.0.0.1:" + std::to_string(port), true);
  }
  void runOnce() {
    scheduler.runOnce(scheduler.now() + ms(2), [] {});
  }
  // Waits until the proxy has sent `expected`, and drops all that was received. Ends the test if it
  // isn't sent in time.
  void waitForBytes(std::string_view expected) {
    std::string received;
    TimePoint end = scheduler.now() + test::kWaitLimit;
    while (received.find(expected) == std::string::npos) {
      if (scheduler.now() >= end) throw std::runtime_error("the proxy did not send what it should");
      runOnce();
      peer->read(received, 1 << 20);
    }
  }
  void waitUntilEnded() {
    for (TimePoint end = scheduler.now() + test::kWaitLimit; !hasEnded && scheduler.now() < end;)
      runOnce();
  }
  // The store responds to a request, the first of its connection, and to the empty query that the
  // proxy sends before it reuses the connection.
  void completeFirstRequest(const std::string& response) {
    peer->write(response);
    waitUntilEnded();
    hasEnded = false;
    waitForBytes(pg::query(""));
    peer->write(pg::emptyQuery() + pg::ready());
    for (int round = 0; round < 10; ++round) runOnce();
  }
  // The store completes the startup and receives the request.
  void receiveRequest() {
    waitForBytes("orders");
    peer->write(pg::greeting());
    waitForBytes("SELECT 1");
  }

  bool isWanted(const request::UpstreamRequest&) const override { return true; }
  bool mayOutliveRequest(const request::UpstreamRequest&) const override { return true; }
  bool maySend(const request::UpstreamRequest& candidate, TimePoint now) override {
    return candidate.sendBy > now && candidate.deadline > now && !candidate.isCancelled;
  }
  void onRequestEnded(request::UpstreamRequest& ended) override {
    hasEnded = true;
    responseBytes = ended.response.bytes;
    std::printf("%s, role %s\n", nameOf(ended.outcome),
                ended.role == Role::replica   ? "replica"
                : ended.role == Role::primary ? "primary"
                                              : "unknown");
  }

  runtime::Scheduler scheduler;
  std::unique_ptr<upstream::UpstreamProtocol> protocol;
  const bool sendsProbe;
  protocols::postgres::Query query;
  upstream::ConnectionPools pools;
  runtime::Descriptor listener;
  std::unique_ptr<Socket> peer;
  request::ProtocolVersion protocolVersion = 0;
  request::UpstreamRequest* upstreamRequest = nullptr;
  bool hasEnded = false;
  std::string responseBytes;  // of the request that ended last
};

std::string row(char value = 'x') {
  std::string described("\0\1payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1", 28);
  return pg::message('T', described) + pg::message('D', std::string("\0\1\0\0\0\1", 6) + value);
}

// A whole response with a row of one character.
std::string rowResponse(char value = 'x') {
  return row(value) + pg::message('C', std::string("SELECT 1\0", 9)) + pg::ready();
}

// A request is cancelled after its store has written a part of the response. The store's role must
// not be lost with the connection, although the proxy hasn't read it yet.
void cancelCrosses() {
  const std::string role = pg::parameter("server_role", "reader"),
                    all = row() + pg::message('C', std::string("SELECT 1\0", 9)) + role +
                          pg::ready();
  for (const auto& [what, bytes] :
       {std::pair<const char*, std::string>{"nothing of the answer", ""},
        {"its role", role},
        {"all of it", all}}) {
    ConnectionHarness harness;
    harness.receiveRequest();
    harness.peer->write(bytes);
    harness.pools.cancel(harness.upstreamRequest);
    std::printf("called off as %s has come: ", what);
    harness.waitUntilEnded();
  }
  ConnectionHarness harness;
  std::printf("called off while its connection is dialled: ");
  harness.pools.cancel(harness.upstreamRequest);
  harness.waitForBytes("orders");
  harness.peer->write(pg::greeting());
  harness.waitUntilEnded();
}

// An idle connection receives its last data and is closed while a request is submitted to it,
// before the event of either has been handled. The request must be sent on another connection.
void endsUnseen() {
  for (const auto& [what, bytes] : {std::pair<const char*, std::string>{"nothing", ""},
                                    {"a parameter", pg::parameter("server_role", "reader")},
                                    {"half a line", std::string("S\0\0", 3)}}) {
    ConnectionHarness harness;
    harness.receiveRequest();
    harness.completeFirstRequest(rowResponse());
    harness.scheduler.runOnce(harness.scheduler.now(), [&] {
      harness.peer->write(bytes);
      harness.peer->close();
      while (test::Drive::countSockets(
                 static_cast<std::uint16_t>(runtime::localPort(harness.listener.fd())))
                 .ended == 0)
        continue;
      harness.submitRequest();
    });
    harness.runOnce();
    std::printf("it ends behind %s: ", what);
    if (harness.hasEnded) continue;
    harness.peer = harness.acceptConnection();
    harness.receiveRequest();
    std::printf("the job is written to another connection\n");
  }
}

// A store sends 20,000 unsolicited frames before its response. Reading them must not keep the proxy
// from its other work.
void endlessFrames() {
  protocols::cassandra::Config config;
  protocols::cassandra::StorePreparedIds::SharedLru room(1 << 20);
  ConnectionHarness harness(
      std::make_unique<protocols::cassandra::UpstreamProtocol>(config, 4, room), true);
  harness.waitForBytes("CQL_VERSION");
  harness.peer->write(std::string("\x84\0\0\0\2\0\0\0\0", 9));
  harness.waitForBytes(std::string("\4\0\0\0\5", 5));
  std::string events;
  for (int k = 0; k < 20'000; ++k) events += std::string("\x84\0\xff\xff\x0c\0\0\0\0", 9);
  harness.peer->write(events + std::string("\x84\0\0\0\6\0\0\0\2\0\0", 11));
  int rounds = 0;
  for (; !harness.hasEnded; ++rounds) harness.runOnce();
  std::printf("20,000 frames before its answer: others have had %s\n",
              rounds > 50 ? "many rounds" : "to wait");
}

// A connection that throws an exception in connect() or, unless `failsInConnect`, in serve().
class FaultyConnection : public upstream::UpstreamConnection {
 public:
  FaultyConnection(upstream::ConnectionPools& owner, int storeIndex,
                   request::ProtocolVersion protocolVersion, int fd, bool failsInConnect)
      : UpstreamConnection(owner, storeIndex, protocolVersion),
        socket_(owner.scheduler(), fd),
        failsInConnect_(failsInConnect) {}
  runtime::Task<bool> connect(TimePoint until) override {
    bool isConnected = co_await runtime::awaitConnected(socket_, until);
    if (failsInConnect_) throw std::runtime_error("as it comes up");
    co_return isConnected;
  }
  runtime::Task<> serve() override {
    request_ = pools.nextRequest(*this);
    throw std::runtime_error("as it serves");
    co_return;
  }
  runtime::Task<> end() override {
    socket_.close();
    if (request_) pools.complete(std::exchange(request_, nullptr), AttemptOutcome::reset);
    co_return;
  }
  void accept(request::UpstreamRequest* upstreamRequest) override { request_ = upstreamRequest; }
  void cancel(request::UpstreamRequest*) override {}
  void close() override { socket_.close(); }
  std::size_t requestCount() const override { return request_ != nullptr; }
  std::size_t bufferedBytes() const override { return 0; }

 private:
  runtime::Socket socket_;
  request::UpstreamRequest* request_ = nullptr;
  bool failsInConnect_;
};

struct FaultyProtocol : upstream::UpstreamProtocol {
  explicit FaultyProtocol(bool fails) : failsInConnect(fails) {}
  std::unique_ptr<upstream::UpstreamConnection> createConnection(upstream::ConnectionPools& pools,
                                                                 int store,
                                                                 request::ProtocolVersion version,
                                                                 int fd) override {
    return std::make_unique<FaultyConnection>(pools, store, version, fd, failsInConnect);
  }
  std::size_t maxConcurrentRequests() const override { return 1; }
  const bool failsInConnect;
};

// If a connection throws, its request must still end, and the connection must be removed.
void storeFaults() {
  for (bool failsInConnect : {true, false}) {
    ConnectionHarness harness(std::make_unique<FaultyProtocol>(failsInConnect));
    std::printf("a fault %s: ", failsInConnect ? "as it comes up" : "as it serves");
    harness.waitUntilEnded();
    harness.runOnce();
    std::printf("connections left: %zu, ended: %s\n", harness.pools.connectionCount(),
                harness.hasEnded ? "yes" : "no");
  }
}

// Brings up a connection that has completed one request, and makes the next statement longer than
// the kernel's buffers.
void prepareLongStatement(ConnectionHarness& harness) {
  harness.waitForBytes("orders");
  harness.peer->write(pg::greeting());
  harness.waitForBytes("SELECT 1");
  harness.completeFirstRequest(rowResponse());
  harness.query.text += std::string(24 << 20, ' ');
}

// The store reads nothing, so the kernel accepts only the first part of a statement. Its last byte
// must not be written after the request's sendBy.
void heldUp() {
  ConnectionHarness harness;
  prepareLongStatement(harness);
  TimePoint sendBy = harness.scheduler.now() + ms(300);
  harness.submitRequest(sendBy);
  std::printf("held up while it is written: ");
  harness.waitUntilEnded();
  std::printf("in time: %s\n", harness.scheduler.now() < sendBy + ms(5000) ? "yes" : "no");
  std::string received;
  while (harness.peer->read(received, 128 << 20) != Socket::ReadStatus::closed) harness.runOnce();
  std::printf("its store has all of it: %s\n",
              received.size() >= harness.query.text.size() ? "yes" : "no");
}

// The timeout that a request states to its store must still be correct when the last byte is
// written. A request whose store reads nothing for 0.4 s must not be completed, as it would
// overstate the time left.
void toldLate() {
  ConnectionHarness harness;
  prepareLongStatement(harness);
  harness.submitRequest();
  std::printf("its store reads nothing for 0.4 s: ");
  for (TimePoint until = harness.scheduler.now() + ms(400); harness.scheduler.now() < until;)
    harness.runOnce();
  std::string received;
  while (!harness.hasEnded || harness.peer->read(received, 128 << 20) == Socket::ReadStatus::data)
    harness.peer->read(received, 128 << 20), harness.runOnce();
  std::printf("its store has all of it: %s\n",
              received.size() >= harness.query.text.size() ? "yes" : "no");
}

// A store closes each connection right after the startup. The proxy must give up after a few
// connections instead of connecting again until the client's deadline.
void closesAtOnce() {
  ConnectionHarness harness;
  harness.peer->write(pg::greeting());
  harness.peer->close();
  int times = 1;
  for (TimePoint until = harness.scheduler.now() + ms(3000);
       !harness.hasEnded && harness.scheduler.now() < until; harness.runOnce()) {
    runtime::Accepted accepted = runtime::acceptConnection(harness.listener.fd());
    if (accepted.status != runtime::AcceptStatus::accepted) continue;
    Socket next(harness.scheduler, accepted.fd);
    next.write(pg::greeting());
    ++times;
  }
  std::printf("a store that greets and closes: dialled at most four times %s, given up %s\n",
              times <= 4 ? "yes" : "no", harness.hasEnded ? "yes" : "no");
}

// Prints the value that the client of the request that ended last is sent.
void printValue(const ConnectionHarness& harness) {
  std::string served = harness.responseBytes;
  for (char value : {'a', 'b'})
    if (served == row(value) + pg::message('C', std::string("SELECT 1\0", 9)))
      return void(std::printf("  served: %c\n", value));
  std::printf("  served: no value\n");
}

// Guards against serving a client the value of another statement: a second copy of a response, or
// other bytes that no request asked for, arrive after the next request was written to the
// connection. Only what follows the response to the empty query belongs to that request.
void copyCrosses() {
  const std::string barrierResponse = pg::emptyQuery() + pg::ready();
  const std::string copyOfError = pg::error(false, "53300", "full") + pg::ready();
  for (const auto& [what, crossing, response] :
       {std::tuple<const char*, std::string, std::string>{"nothing", "", rowResponse('b')},
        {"a copy", rowResponse('a'), rowResponse('b')},
        {"two copies", rowResponse('a') + rowResponse('a'), rowResponse('b')},
        {"half a copy", row('a'), rowResponse('b')},
        {"a copy of an error", copyOfError, rowResponse('b')},
        {"a parameter", pg::parameter("server_role", "reader"), rowResponse('b')},
        {"noise", "\x01$%&", rowResponse('b')}}) {
    ConnectionHarness harness;
    harness.receiveRequest();
    harness.completeFirstRequest(rowResponse('a'));
    harness.submitRequest();
    harness.waitForBytes("SELECT 1");
    std::printf("%s crosses the next request: ", what);
    harness.peer->write(crossing + barrierResponse + response);
    harness.waitUntilEnded();
    printValue(harness);
    for (int round = 0; round < 10; ++round) harness.runOnce();
    std::printf("  connections left: %zu\n", harness.pools.connectionCount());
  }
}

// Guards against a repeated effect: a copy of a rejection that crosses a request doesn't show that
// the request has not run.
void rejectionCrosses() {
  ConnectionHarness harness;
  harness.receiveRequest();
  harness.completeFirstRequest(rowResponse('a'));
  harness.submitRequest();
  harness.waitForBytes("SELECT 1");
  std::printf("a copy of a rejection, and the connection ends: ");
  harness.peer->write(pg::error(false, "53300", "full") + pg::ready());
  harness.peer->close();
  harness.waitUntilEnded();
}

// A store that answers the empty query in another way could not be told from one that sends copies,
// so its connections carry one request each.
void otherBarrierResponse() {
  for (const auto& [what, response] :
       {std::pair<const char*, std::string>{"a row", rowResponse('a')},
        {"an error", pg::error(false, "XX000", "it went wrong") + pg::ready()},
        {"its end", ""}}) {
    ConnectionHarness harness;
    harness.receiveRequest();
    std::printf("the empty query is answered with %s: ", what);
    harness.peer->write(rowResponse('a'));
    harness.waitUntilEnded();
    harness.hasEnded = false;
    harness.waitForBytes(pg::query(""));
    harness.peer->write(response);
    if (response.empty()) harness.peer->close();
    for (int round = 0; round < 10; ++round) harness.runOnce();
    std::printf("  connections left: %zu\n", harness.pools.connectionCount());
  }
}

const Case kCases[] = {{"copyCrosses", copyCrosses},
                       {"rejectionCrosses", rejectionCrosses},
                       {"otherBarrierResponse", otherBarrierResponse},
                       {"cancelCrosses", cancelCrosses},
                       {"toldLate", toldLate},
                       {"closesAtOnce", closesAtOnce},
                       {"endsUnseen", endsUnseen},
                       {"heldUp", heldUp},
                       {"endlessFrames", endlessFrames},
                       {"storeFaults", storeFaults}};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return runCase(kCases, argc, argv);
}
