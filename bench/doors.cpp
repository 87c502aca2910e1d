// Measures both doors: the same closed-loop client straight at a stand-in and through the front, in
// one run. Three processes: the stand-in, the front, and this one, which is the client. All figures
// are of simulated servers.
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

constexpr std::uint16_t kList = 7600, kFront = 7632, kCqlFront = 7642, kStore = 7601,
                        kCqlStore = 7651;
constexpr int kStores = 3;
const std::string kRef = "SELECT payload FROM weather.entries WHERE ref = 'a'";

const char* kConfigEnd = R"(,"settings":{"classes":[
  {"name":"any","repeat":"repeatable","slo":1000000,"worth":1,"late_worth":0.2},
  {"name":"write","repeat":"by_key","key_scope":"cell","repeat_window":3000000,"slo":1000000,"worth":4,"late_worth":0.3}],
 "extra":{"read_level":["eventual","mutate"],"lag_allowed":[0,0],"origin_time":0,"role_in_list":"static","checks":"none",
  "tokens":"brought"},"failure_domains":["a"],"membership_mode":"automatic","siblings":1,"tick":5000,
 "limits":{"connect_timeout":250000,"keepalive":15000000,"max_attempts":6,"may_cancel":true,"parallel_tries":true,
  "probes":true,"retry_after":true,"max_retry_after":2000000},
 "obligations":{"ask_every":10000000,"cold_from":0.27,"fall_multiple":2.5,"ramp_time":16000000,"tip_after":2000000},
 "prices":{"probe":0.016},"realms":[]}})";

struct Run {
  std::uint64_t completed = 0, rejected = 0, other = 0;
  std::map<std::string, int> others;  // what they said
  std::vector<std::int64_t> tookUs;
};

sockaddr_in at(std::uint16_t port) {
  return *runtime::parseAddress("127.0.0.1:" + std::to_string(port));
}

// One connection of PostgreSQL's, a statement after the other.
runtime::Task<> postgres(runtime::Scheduler& s, std::uint16_t port, TimePoint until, Run& run,
                         int& left, int number) {
  runtime::Socket socket(s, runtime::startConnect(at(port)));
  bool up = co_await runtime::awaitConnected(socket, until);
  bool good = up && co_await runtime::writeAll(socket, pg::startup("web", "orders"), until);
  std::string in;
  bool greeted = false;
  TimePoint begun = s.now();
  for (std::uint64_t n = 0; good;) {
    pg::Message m;
    char last = 0;
    std::string code;
    while (pg::frame(in, 1 << 20, m) == pg::Framed::whole) {
      if (m.type == 'D' || m.type == 'E') last = m.type;
      if (m.type == 'E') code = pg::errorField(m.payload, 'C');
      bool ready = m.type == 'Z';
      in.erase(0, m.whole.size());
      if (!ready) continue;
      if (greeted) {
        ++(last == 'D' ? run.completed : code == "53300" ? run.rejected : run.other);
        run.tookUs.push_back((s.now() - begun).us);
      }
      greeted = true;
      if (s.now() >= until) {
        good = false;
        break;
      }
      std::string id = std::to_string(number) + "-" + std::to_string(++n);
      begun = s.now();
      good = co_await runtime::writeAll(
          socket, pg::query(kRef + " /* id=" + id + ",c=any,d=3000,cluster=1 */"),
          until + Duration{3'000'000});
      break;
    }
    if (!good) break;
    if (pg::frame(in, 1 << 20, m) == pg::Framed::whole) continue;
    runtime::Socket::ReadStatus got = socket.read(in, 1 << 20);
    if (got == runtime::Socket::ReadStatus::closed) break;
    if (got == runtime::Socket::ReadStatus::noData)
      good = co_await socket.readable.wait(until + Duration{3'000'000});
  }
  if (--left == 0) s.stop();
}

// One connection of Cassandra's with so many streams.
runtime::Task<> cassandra(runtime::Scheduler& s, std::uint16_t port, TimePoint until, Run& run,
                          int& left, int streams) {
  runtime::Socket socket(s, runtime::startConnect(at(port)));
  cql::Framing framing(1 << 20);
  bool good = co_await runtime::awaitConnected(socket, until);
  std::string in, out, body;
  cql::addShort(body, 1), cql::addString(body, "CQL_VERSION"), cql::addString(body, "3.4.5");
  framing.put(out, false, 4, 0, 0, cql::Opcode::startup, body);
  bool started = false;
  std::vector<TimePoint> begun(static_cast<std::size_t>(streams));
  int open = 0;
  std::uint64_t n = 0;
  auto ask = [&](int stream) {
    std::string id = std::to_string(++n), words;
    cql::addBytesMap(words, {{"id", id}, {"c", "any"}, {"d", "3000"}, {"cluster", "1"}});
    cql::addLongString(words, kRef);
    cql::addShort(words, 1), cql::addByte(words, 0);
    framing.put(out, false, 4, cql::kPayload, static_cast<std::int16_t>(stream), cql::Opcode::query,
                words);
    begun[static_cast<std::size_t>(stream)] = s.now();
    ++open;
  };
  while (good) {
    std::size_t used = 0, step = 0;
    for (cql::Frame f;
         framing.next(std::string_view(in).substr(used), step, f) == cql::Framed::whole;) {
      used += step;
      if (!started) {
        started = true;
        for (int k = 0; k < streams; ++k) ask(k);
        continue;
      }
      --open;
      cql::Reply r;
      bool read = cql::readReply(f, r);
      ++(read && f.opcode == cql::Opcode::result ? run.completed
         : r.code == cql::kOverloaded            ? run.rejected
                                                 : run.other);
      if (!read || (f.opcode != cql::Opcode::result && r.code != cql::kOverloaded))
        ++run.others[read ? std::to_string(r.code) + " " + std::string(r.text) : "unreadable"];
      run.tookUs.push_back((s.now() - begun[static_cast<std::size_t>(f.stream)]).us);
      if (s.now() < until) ask(f.stream);
    }
    in.erase(0, used);
    if (!out.empty()) {
      std::string going = std::exchange(out, {});
      good = co_await runtime::writeAll(socket, going, until + Duration{3'000'000});
      continue;
    }
    if (started && open == 0) break;
    runtime::Socket::ReadStatus got = socket.read(in, 1 << 20);
    if (got == runtime::Socket::ReadStatus::closed) break;
    if (got == runtime::Socket::ReadStatus::noData)
      good = co_await socket.readable.wait(until + Duration{3'000'000});
  }
  if (--left == 0) s.stop();
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

Run load(bool cql, std::uint16_t port, int streams, double seconds) {
  Run run;
  runtime::Scheduler s;
  TimePoint until = s.now() + Duration{static_cast<std::int64_t>(seconds * 1e6)};
  int left = cql ? 1 : streams;
  if (cql)
    s.spawn(cassandra(s, port, until, run, left, streams));
  else
    for (int k = 0; k < streams; ++k) s.spawn(postgres(s, port, until, run, left, k));
  s.run([] {});
  return run;
}

double middle(std::vector<std::int64_t> v, double share) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return static_cast<double>(
             v[static_cast<std::size_t>(static_cast<double>(v.size() - 1) * share)]) /
         1000;
}

pid_t startToy() {
  pid_t child = fork();
  if (child != 0) return child;
  runtime::Scheduler s;
  toy::Toy toy(s);
  for (std::uint16_t k = 0; k < kStores; ++k)
    toy.enableCql(toy.addStore(k == 0, 1, static_cast<std::uint16_t>(kStore + k)),
                 static_cast<std::uint16_t>(kCqlStore + k));
  toy.serveList(kList);
  s.run([] {});
  _exit(0);
}

pid_t startFront(const char* program, const std::string& folder, int memoryMb) {
  std::string config = folder + "/measure.json", doors = folder + "/measure.hcl",
              log = folder + "/measure.log";
  std::ofstream(config) << "{\"name\":\"m\",\"listen\":\"127.0.0.1:" << kFront
                        << "\",\"discovery\":\"127.0.0.1:" << kList
                        << "\",\"seed\":\"1\",\"limits\":{\"sockets\":4096,\"memory_mb\":"
                        << memoryMb << "},\"known\":{\"version\":0,\"full\":true,\"servers\":[]}"
                        << kConfigEnd;
  std::ofstream(doors) << "cassandra {\n listen = \"127.0.0.1:" << kCqlFront
                       << "\"\n streams = 4096\n map {\n workload = \"any\"\n group = 1\n }\n}\n";
  pid_t child = fork();
  if (child != 0) return child;
  setenv("LB_CONFIG", config.c_str(), 1);
  if (!std::freopen(log.c_str(), "w", stderr)) _exit(1);
  execl(program, program, "--settings", doors.c_str(), static_cast<char*>(nullptr));
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
  pid_t front = startFront(argv[1], argv[2], memoryMb);
  usleep(1'000'000);
  load(true, kCqlFront, 64, 1), load(false, kFront, 64, 1);  // limits have grown
  std::printf(
      "protocol,streams,straight_per_s,through_per_s,ratio,front_us_each,p50_ms,p99_ms,rejected,"
      "other\n");
  for (bool cql : {false, true})
    for (int streams : {1, 4, 16, 64, 256, 1000}) {
      Run straight = load(cql, cql ? kCqlStore + 1 : kStore + 1, streams, seconds);
      double before = cpuSeconds(front);
      Run through = load(cql, cql ? kCqlFront : kFront, streams, seconds);
      double used = cpuSeconds(front) - before;
      double a = static_cast<double>(straight.completed) / seconds,
             b = static_cast<double>(through.completed) / seconds;
      double answered =
          static_cast<double>(std::max<std::uint64_t>(1, through.completed + through.rejected));
      std::printf("%s,%d,%.0f,%.0f,%.3f,%.1f,%.2f,%.2f,%llu,%llu\n", cql ? "cassandra" : "postgres",
                  streams, a, b, b / a, used / answered * 1e6, middle(through.tookUs, 0.5),
                  middle(through.tookUs, 0.99), static_cast<unsigned long long>(through.rejected),
                  static_cast<unsigned long long>(through.other));
      for (const auto& [said, times] : through.others)
        std::printf("# other: %d times %s\n", times, said.c_str());
      std::fflush(stdout);
    }
  std::printf("# the front's most memory: %d kB of %d MB\n", peakKb(front), memoryMb);
  kill(front, SIGTERM), kill(toy, SIGKILL);
  waitpid(front, nullptr, 0), waitpid(toy, nullptr, 0);
  return 0;
}
