// Measures the throughput and latency of both client protocols: the same closed-loop client
// connects directly to a simulated store, and then through the proxy, in one run. Three processes
// take part: the simulated stores, the proxy, and this one, which is the client. All figures are of
// simulated servers.
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "codec/cql/request.h"
#include "codec/pg/messages.h"
#include "toy.h"

using namespace reedchute;

namespace {

constexpr std::uint16_t kListPort = 7600, kProxyPort = 7632, kCqlProxyPort = 7642,
                        kFirstStorePort = 7601, kFirstCqlStorePort = 7651;
constexpr int kStoreCount = 3;
const std::string kQuery = "SELECT payload FROM weather.entries WHERE ref = 'a'";

const char* kConfigEnd = R"(,"settings":{"classes":[
  {"name":"any","repeat":"repeatable","slo":1000000,"worth":1,"late_worth":0.2},
  {"name":"write","repeat":"by_key","key_scope":"cell","repeat_window":3000000,"slo":1000000,"worth":4,"late_worth":0.3}],
 "extra":{"read_level":["eventual","mutate"],"lag_allowed":[0,0],"origin_time":0,"role_in_list":"static","checks":"none",
  "tokens":"brought"},"failure_domains":["a"],"membership_mode":"automatic","siblings":1,"tick":5000,
 "limits":{"connect_timeout":250000,"keepalive":15000000,"max_attempts":6,"may_cancel":true,"parallel_tries":true,
  "probes":true,"retry_after":true,"max_retry_after":2000000},
 "obligations":{"ask_every":10000000,"cold_from":0.27,"fall_multiple":2.5,"ramp_time":16000000,"tip_after":2000000},
 "prices":{"probe":0.016},"realms":[]}})";

// The number of statements by outcome, and the latencies of all of them.
struct RunResult {
  std::uint64_t completed = 0, rejected = 0, other = 0;
  std::map<std::string, int> otherErrors;  // their number, by error text
  std::vector<std::int64_t> latenciesUs;
};

sockaddr_in at(std::uint16_t port) {
  return *runtime::parseAddress("127.0.0.1:" + std::to_string(port));
}

// A PostgreSQL connection that sends one statement at a time.
runtime::Task<> postgres(runtime::Scheduler& s, std::uint16_t port, TimePoint deadline,
                         RunResult& result, int& remaining, int connectionNumber) {
  runtime::Socket socket(s, runtime::startConnect(at(port)));
  bool isConnected = co_await runtime::awaitConnected(socket, deadline);
  bool isOk = isConnected &&
              co_await runtime::writeAll(socket, pg::startup("web", "orders"), deadline);
  std::string in;
  bool isGreeted = false;
  TimePoint startTime = s.now();
  for (std::uint64_t n = 0; isOk;) {
    pg::Message m;
    char lastType = 0;
    std::string code;
    while (pg::frame(in, 1 << 20, m) == pg::Framed::whole) {
      if (m.type == 'D' || m.type == 'E') lastType = m.type;
      if (m.type == 'E') code = pg::errorField(m.payload, 'C');
      bool isReady = m.type == 'Z';
      in.erase(0, m.whole.size());
      if (!isReady) continue;
      if (isGreeted) {
        ++(lastType == 'D' ? result.completed : code == "53300" ? result.rejected : result.other);
        result.latenciesUs.push_back((s.now() - startTime).us);
      }
      isGreeted = true;
      if (s.now() >= deadline) {
        isOk = false;
        break;
      }
      std::string id = std::to_string(connectionNumber) + "-" + std::to_string(++n);
      startTime = s.now();
      isOk = co_await runtime::writeAll(
          socket, pg::query(kQuery + " /* id=" + id + ",c=any,d=3000,cluster=1 */"),
          deadline + Duration{3'000'000});
      break;
    }
    if (!isOk) break;
    if (pg::frame(in, 1 << 20, m) == pg::Framed::whole) continue;
    runtime::Socket::ReadStatus got = socket.read(in, 1 << 20);
    if (got == runtime::Socket::ReadStatus::closed) break;
    if (got == runtime::Socket::ReadStatus::noData)
      isOk = co_await socket.readable.wait(deadline + Duration{3'000'000});
  }
  if (--remaining == 0) s.stop();
}

// A Cassandra connection with one request in flight on each of `streams` streams.
runtime::Task<> cassandra(runtime::Scheduler& s, std::uint16_t port, TimePoint deadline,
                          RunResult& result, int& remaining, int streams) {
  runtime::Socket socket(s, runtime::startConnect(at(port)));
  cql::Framing framing(1 << 20);
  bool isOk = co_await runtime::awaitConnected(socket, deadline);
  std::string in, out, body;
  cql::addShort(body, 1), cql::addString(body, "CQL_VERSION"), cql::addString(body, "3.4.5");
  framing.put(out, false, 4, 0, 0, cql::Opcode::startup, body);
  bool isStarted = false;
  std::vector<TimePoint> startTimes(static_cast<std::size_t>(streams));
  int pending = 0;
  std::uint64_t n = 0;
  auto sendRequest = [&](int stream) {
    std::string id = std::to_string(++n), requestBody;
    cql::addBytesMap(requestBody, {{"id", id}, {"c", "any"}, {"d", "3000"}, {"cluster", "1"}});
    cql::addLongString(requestBody, kQuery);
    cql::addShort(requestBody, 1), cql::addByte(requestBody, 0);
    framing.put(out, false, 4, cql::kPayload, static_cast<std::int16_t>(stream), cql::Opcode::query,
                requestBody);
    startTimes[static_cast<std::size_t>(stream)] = s.now();
    ++pending;
  };
  while (isOk) {
    std::size_t used = 0, step = 0;
    for (cql::Frame f;
         framing.next(std::string_view(in).substr(used), step, f) == cql::Framed::whole;) {
      used += step;
      if (!isStarted) {
        isStarted = true;
        for (int k = 0; k < streams; ++k) sendRequest(k);
        continue;
      }
      --pending;
      cql::Reply r;
      bool isReadable = cql::readReply(f, r);
      ++(isReadable && f.opcode == cql::Opcode::result ? result.completed
         : r.code == cql::kOverloaded                  ? result.rejected
                                                       : result.other);
      if (!isReadable || (f.opcode != cql::Opcode::result && r.code != cql::kOverloaded))
        ++result.otherErrors[isReadable ? std::to_string(r.code) + " " + std::string(r.text)
                                        : "unreadable"];
      result.latenciesUs.push_back((s.now() - startTimes[static_cast<std::size_t>(f.stream)]).us);
      if (s.now() < deadline) sendRequest(f.stream);
    }
    in.erase(0, used);
    if (!out.empty()) {
      std::string output = std::exchange(out, {});
      isOk = co_await runtime::writeAll(socket, output, deadline + Duration{3'000'000});
      continue;
    }
    if (isStarted && pending == 0) break;
    runtime::Socket::ReadStatus got = socket.read(in, 1 << 20);
    if (got == runtime::Socket::ReadStatus::closed) break;
    if (got == runtime::Socket::ReadStatus::noData)
      isOk = co_await socket.readable.wait(deadline + Duration{3'000'000});
  }
  if (--remaining == 0) s.stop();
}

double cpuSeconds(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  for (int k = 1; k <= 15 && stat >> word; ++k)
    if (k >= 14) ticks += std::atof(word.c_str());
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

int peakKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::atoi(line.c_str() + 6);
  return -1;
}

RunResult runLoad(bool cql, std::uint16_t port, int streams, double seconds) {
  RunResult result;
  runtime::Scheduler s;
  TimePoint deadline = s.now() + Duration{static_cast<std::int64_t>(seconds * 1e6)};
  int remaining = cql ? 1 : streams;
  if (cql)
    s.spawn(cassandra(s, port, deadline, result, remaining, streams));
  else
    for (int k = 0; k < streams; ++k) s.spawn(postgres(s, port, deadline, result, remaining, k));
  s.run([] {});
  return result;
}

double quantileMs(std::vector<std::int64_t> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return static_cast<double>(
             values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * quantile)]) /
         1000;
}

pid_t startToy() {
  pid_t child = fork();
  if (child != 0) return child;
  runtime::Scheduler s;
  toy::Toy toy(s);
  for (std::uint16_t k = 0; k < kStoreCount; ++k)
    toy.enableCql(toy.addStore(k == 0, 1, static_cast<std::uint16_t>(kFirstStorePort + k)),
                  static_cast<std::uint16_t>(kFirstCqlStorePort + k));
  toy.serveList(kListPort);
  s.run([] {});
  _exit(0);
}

pid_t startProxy(const char* program, const std::string& folder, int memoryMb) {
  std::string config = folder + "/measure.json", settings = folder + "/measure.hcl",
              log = folder + "/measure.log";
  std::ofstream(config) << "{\"name\":\"m\",\"listen\":\"127.0.0.1:" << kProxyPort
                        << "\",\"discovery\":\"127.0.0.1:" << kListPort
                        << "\",\"seed\":\"1\",\"limits\":{\"sockets\":4096,\"memory_mb\":"
                        << memoryMb << "},\"known\":{\"version\":0,\"full\":true,\"servers\":[]}"
                        << kConfigEnd;
  std::ofstream(settings)
      << "cassandra {\n listen = \"127.0.0.1:" << kCqlProxyPort
      << "\"\n streams = 4096\n map {\n workload = \"any\"\n group = 1\n }\n}\n";
  pid_t child = fork();
  if (child != 0) return child;
  setenv("LB_CONFIG", config.c_str(), 1);
  if (!std::freopen(log.c_str(), "w", stderr)) _exit(1);
  execl(program, program, "--settings", settings.c_str(), static_cast<char*>(nullptr));
  _exit(127);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "reedchute_measure_doors FRONT FOLDER [SECONDS [MEMORY_MB]]\n");
    return 2;
  }
  double seconds = argc > 3 ? std::atof(argv[3]) : 3;
  int memoryMb = argc > 4 ? std::atoi(argv[4]) : 512;
  std::signal(SIGPIPE, SIG_IGN);
  pid_t toy = startToy();
  usleep(300'000);
  pid_t proxy = startProxy(argv[1], argv[2], memoryMb);
  usleep(1'000'000);
  runLoad(true, kCqlProxyPort, 64, 1),
      runLoad(false, kProxyPort, 64, 1);  // warm-up: adaptive limits grow
  std::printf(
      "protocol,streams,straight_per_s,through_per_s,ratio,front_us_each,p50_ms,p99_ms,rejected,"
      "other\n");
  for (bool cql : {false, true})
    for (int streams : {1, 4, 16, 64, 256, 1000}) {
      RunResult direct = runLoad(cql, cql ? kFirstCqlStorePort + 1 : kFirstStorePort + 1, streams,
                                 seconds);
      double cpuBefore = cpuSeconds(proxy);
      RunResult viaProxy = runLoad(cql, cql ? kCqlProxyPort : kProxyPort, streams, seconds);
      double cpuUsed = cpuSeconds(proxy) - cpuBefore;
      double directPerSecond = static_cast<double>(direct.completed) / seconds,
             viaProxyPerSecond = static_cast<double>(viaProxy.completed) / seconds;
      double answered =
          static_cast<double>(std::max<std::uint64_t>(1, viaProxy.completed + viaProxy.rejected));
      std::printf("%s,%d,%.0f,%.0f,%.3f,%.1f,%.2f,%.2f,%llu,%llu\n", cql ? "cassandra" : "postgres",
                  streams, directPerSecond, viaProxyPerSecond, viaProxyPerSecond / directPerSecond,
                  cpuUsed / answered * 1e6, quantileMs(viaProxy.latenciesUs, 0.5),
                  quantileMs(viaProxy.latenciesUs, 0.99),
                  static_cast<unsigned long long>(viaProxy.rejected),
                  static_cast<unsigned long long>(viaProxy.other));
      for (const auto& [error, count] : viaProxy.otherErrors)
        std::printf("# other: %d times %s\n", count, error.c_str());
      std::fflush(stdout);
    }
  std::printf("# the front's most memory: %d kB of %d MB\n", peakKb(proxy), memoryMb);
  kill(proxy, SIGTERM), kill(toy, SIGKILL);
  waitpid(proxy, nullptr, 0), waitpid(toy, nullptr, 0);
  return 0;
}
