// A front as a process of its own, with the toy of example/ for its stores and list.
#pragma once

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "toy.h"
#include "trace.h"

namespace reedchute::test {

inline const char* program = nullptr;
inline constexpr Duration kPatience{20'000'000};  // only a broken front ever takes that long

inline const char* kSettings = R"({"classes":[
  {"name":"any","repeat":"repeatable","slo":500000,"worth":1,"late_worth":0.2},
  {"name":"near","repeat":"repeatable","slo":500000,"worth":1,"late_worth":0.2},
  {"name":"write","repeat":"by_key","key_scope":"cell","repeat_window":3000000,"slo":600000,"worth":4,"late_worth":0.3},
  {"name":"once","repeat":"once","slo":600000,"worth":4,"late_worth":0.3}],
 "extra":{"read_level":["eventual","lag_bound","mutate","mutate"],"lag_allowed":[0,20000000,0,0],"origin_time":0,
  "role_in_list":"static","checks":"none","tokens":"brought"},
 "failure_domains":["a"],"membership_mode":"automatic","siblings":1,"tick":5000,
 "limits":{"connect_timeout":250000,"keepalive":15000000,"max_attempts":6,"may_cancel":true,"parallel_tries":true,
  "probes":true,"retry_after":true,"max_retry_after":2000000},
 "obligations":{"ask_every":10000000,"cold_from":0.27,"fall_multiple":2.5,"ramp_time":16000000,"tip_after":2000000},
 "prices":{"probe":0.016},"realms":[]})";

// What a test changes in the settings of the fronts that it starts.
inline std::vector<std::pair<std::string, std::string>> edits;

class Drive {
 public:
  explicit Drive(int stores, int sockets = 256, const char* mode = "automatic",
                 const char* firstList = "", bool logStands = false, int memoryMb = 64,
                 const char* keepalive = "15000000", std::string doors = "", int aliases = 0)
      : toy(s, aliases ? "0.0.0.0" : "127.0.0.1"),
        mode_(mode),
        memoryMb_(memoryMb),
        keepalive_(keepalive),
        logStands_(logStands),
        doors_(std::move(doors)) {
    for (int k = 0; k < stores; ++k) {
      toy.addStore(k == 0, 7);
      if (!doors_.empty()) toy.enableCql(k);
    }
    // The last store stands behind all further entries of the list.
    for (int k = 0; k < aliases; ++k) toy.addAlias(stores - 1);
    if (aliases) toy.indentList(true);
    listPort_ = toy.serveList();
    toy.overrideListResponse(firstList);
    toy.onStatement = [this](int store, const std::string& text) {
      ++sent;
      if (show)
        std::printf("  store %d sees: %s\n", store, text.substr(0, text.find(",d=")).c_str());
    };
    start(sockets);
  }
  ~Drive() {
    toy.onStatement = [](int, const std::string&) {};
    if (child_ > 0 && !logStands_) ends();
    if (child_ > 0) kill(child_, SIGKILL), waitpid(child_, nullptr, 0);
    unlink(path_.c_str());
    if (!doors_.empty()) unlink((path_ + ".hcl").c_str());
  }

  void start(int sockets) {
    char name[] = "/tmp/reedchute-test-XXXXXX";
    int file = mkstemp(name);
    if (file < 0) throw std::runtime_error("no temporary file");
    close(file);
    path_ = name;
    std::string settings = kSettings;
    settings.replace(settings.find("automatic"), 9, mode_);
    settings.replace(settings.find("15000000"), 8, keepalive_);
    if (logStands_) {  // the port can't be read from the log then: one that was free a moment ago
      int probe = runtime::openListener(*runtime::parseAddress("127.0.0.1:0", true));
      port = static_cast<std::uint16_t>(runtime::localPort(probe));
      close(probe);
    }
    for (const auto& [from, to] : edits) {
      std::size_t at = settings.find(from);
      if (at == std::string::npos) throw std::runtime_error("no such setting: " + from);
      settings.replace(at, from.size(), to);
    }
    sockets_ = sockets, settings_ = settings;
    configure(listPort_);
    if (!doors_.empty()) std::ofstream(path_ + ".hcl") << doors_;
    int fds[2];
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds) < 0)
      throw std::runtime_error("no socketpair");
    while (logStands_ && send(fds[1], "full", 4, MSG_DONTWAIT) > 0) {
    }
    // Danger: until the child is the front it has copies of the toy's sockets; one that is closed
    // here meanwhile would go on reporting to what is gone. The pipe ends as the front begins.
    int begins[2];
    if (pipe2(begins, O_CLOEXEC) < 0) throw std::runtime_error("no pipe");
    child_ = fork();
    if (child_ == 0) {
      dup2(fds[1], 2);
      setenv("LB_CONFIG", path_.c_str(), 1);
      if (doors_.empty()) execl(program, program, static_cast<char*>(nullptr));
      execl(program, program, "--settings", (path_ + ".hcl").c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    close(begins[1]);
    char none;
    while (read(begins[0], &none, 1) < 0 && errno == EINTR) {
    }
    close(begins[0]);
    close(fds[1]);
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    log_ = std::make_unique<runtime::Socket>(s, fds[0]);
    if (logStands_) return pass(300);
    until("the front listens", [&] { return logged("listening port="); });
    port = static_cast<std::uint16_t>(std::atoi(log.c_str() + log.find("listening port=") + 15));
    if (!doors_.empty()) {
      until("the other door listens", [&] { return logged("protocol=cassandra port="); });
      cqlPort = static_cast<std::uint16_t>(
          std::atoi(log.c_str() + log.find("protocol=cassandra port=") + 24));
    }
    if (awaitsList)
      until("the list is read", [&] { return logged(" endpoints_updated version="); });
  }
  void configure(int listPort, const char* name = "t", std::size_t cutAt = std::string::npos) {
    std::string text = "{\"name\":\"" + std::string(name) +
                       "\",\"listen\":\"127.0.0.1:" + std::to_string(logStands_ ? port : 0) +
                       "\",\"discovery\":\"127.0.0.1:" + std::to_string(listPort) +
                       "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" +
                       std::to_string(sockets_) + ",\"memory_mb\":" + std::to_string(memoryMb_) +
                       "},\"known\":" + (known.empty() ? toy.endpointListJson() : known) +
                       ",\"settings\":" + settings_ + "}";
    std::ofstream(path_) << text.substr(0, cutAt);
  }
  bool logged(const char* text) {
    log_->read(log, 1 << 24);
    return log.find(text) != std::string::npos;
  }
  // Runs the stores until something is so; says so if it never is.
  bool until(const char* what, const std::function<bool()>& so) {
    for (TimePoint end = s.now() + kPatience; !so();) {
      if (s.now() > end) {
        std::printf("waited in vain: %s\n", what);
        if (std::getenv("SHOW_LOG")) std::fprintf(stderr, "%s", log.c_str());
        return false;
      }
      s.runOnce(s.now() + Duration{2000}, [] {});
    }
    return true;
  }
  void pass(int ms) {
    for (TimePoint end = s.now() + Duration{ms * 1000}; s.now() < end;)
      s.runOnce(s.now() + Duration{2000}, [] {});
  }
  void signal(int number) { kill(child_, number); }
  // Does the front stand still?
  bool stands() const {
    std::ifstream stat("/proc/" + std::to_string(child_) + "/stat");
    std::string line;
    std::getline(stat, line);
    std::size_t name = line.rfind(") ");
    return name != std::string::npos && line[name + 2] == 'T';
  }
  // The front stands still in its wait for events, and what is sent to it meanwhile waits for it
  // all together. In the middle of a round it would take up some of that before it has seen the
  // rest.
  void stop() {
    std::string of = "/proc/" + std::to_string(child_);
    for (bool waits = false; !waits;) {
      signal(SIGSTOP);
      bool still = until("the front stands still", [&] { return stands(); });
      std::ifstream call(of + "/syscall");
      long number = -1;
      call >> number;
      waits = !still || !call || number == SYS_epoll_pwait2 || number == SYS_epoll_pwait ||
              number == SYS_epoll_wait;
      if (!waits) goOn(), pass(1);
    }
  }
  void goOn() { signal(SIGCONT); }
  // The front's sockets that face `port`, of a store or of the list, or stand behind its own: those
  // that are open, those whose peer has closed them, and those with bytes unread. What the kernel
  // shows is there for the front to see.
  struct Faced {
    int open = 0, ended = 0, unread = 0;
  };
  static Faced faced(std::uint16_t port, bool own = false) {
    Faced all;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
      unsigned here = 0, there = 0, state = 0, out = 0, in = 0;
      if (std::sscanf(line.c_str(), " %*d: %*8x:%x %*8x:%x %x %x:%x", &here, &there, &state, &out,
                      &in) != 5)
        continue;
      if ((own ? here : there) != port || state == 10) continue;
      all.open += state == 1, all.ended += state == 8, all.unread += in > 0;
    }
    return all;
  }
  // A connection to a port of the front, once it is up.
  static int connectTo(const sockaddr_in& at) { return runtime::startConnect(at); }
  std::unique_ptr<runtime::Socket> dial(std::uint16_t to,
                                        int connect(const sockaddr_in&) = connectTo) {
    sockaddr_in at = *runtime::parseAddress("127.0.0.1:" + std::to_string(to));
    auto socket = std::make_unique<runtime::Socket>(s, connect(at));
    until("connected", [&] {
      sockaddr_in peer{};
      socklen_t size = sizeof peer;
      return getpeername(socket->fd(), reinterpret_cast<sockaddr*>(&peer), &size) == 0;
    });
    return socket;
  }
  // Writes all of it, as the front reads it.
  void put(runtime::Socket& socket, std::string_view bytes) {
    while (!bytes.empty()) {
      auto rest = socket.write(bytes);
      if (!rest) return;
      bytes = *rest;
      if (!bytes.empty()) pass(1);
    }
  }
  // Stores come back from a copy that is a minute old; the list says so.
  void comeBackOld(std::initializer_list<int> which) {
    for (int store : which) {
      toy.kill(store);
      toy.setLag(store, Duration{60'000'000});
      toy.restart(store);
    }
    std::string told = "id=toy-" + std::to_string(*(which.end() - 1)) +
                       " group=7 state=up primary=0 started_ms=1";
    until("told", [&] { return logged(told.c_str()); });
  }
  // All connections to a store are closed, and the next ones don't come up until `toy.hold(store,
  // false)`.
  void holdBack(int store) {
    toy.hold(store, true), toy.closeIdle(store);
    until("none is open", [&] { return toy.connections(store) == 0; });
  }
  // The process ends at once; another is started with the same settings.
  void killAndStart() {
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
    child_ = -1;
    log_.reset();  // before the fork: a copy of it in the child would go on reporting to what is
                   // gone
    log.clear();
    unlink(path_.c_str()), unlink((path_ + ".hcl").c_str());
    start(sockets_);
  }
  // How the front ended, once it has.
  void exits() {
    int status = hasEnded();
    std::printf("the front exits with %d\n", WIFEXITED(status) ? WEXITSTATUS(status) : -1);
  }
  // Ends it as a restart does.
  void ends() {
    signal(SIGTERM);
    // Danger: one that exits is traced by the leak checker, which waits for its stop; SIGCONT would
    // take that away.
    if (stands()) goOn();
    if (int status = hasEnded(); status != 0) std::printf("the front ended with %d\n", status);
  }
  // Its exit status. Whatever a test is about, all that was taken is answered by then, or its
  // client has gone.
  int hasEnded() {
    int status = -1;
    // The log is read meanwhile: what a full one can't take is lost.
    auto ended = [&] { return logged(""), waitpid(child_, &status, WNOHANG) == child_; };
    if (until("the front exits", ended)) child_ = -1;
    logged("");
    std::size_t at = log.find(" responses_missing ");
    if (at != std::string::npos)
      std::printf("%s\n", log.substr(at + 1, log.find('\n', at) - at - 1).c_str());
    if (log.find("phase=ended") == std::string::npos) std::printf("the front told no end\n");
    return status;
  }

  // Has the front held no more memory than so much? The sanitizer keeps what is freed: a build with
  // it only finds growth without end, and the plain one checks the bound itself.
  bool heldAtMost(int mb) const {
#ifdef __SANITIZE_ADDRESS__
    mb *= 16;
#endif
    return peakKb() >= 0 && peakKb() <= mb * 1024;
  }
  // The most memory that the front has held.
  int peakKb() const {
    std::ifstream status("/proc/" + std::to_string(child_) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("VmHWM:")) return std::atoi(line.c_str() + 6);
    return -1;
  }

  // The descriptors that it holds now.
  int descriptors() const {
    std::filesystem::directory_iterator all("/proc/" + std::to_string(child_) + "/fd"), end;
    return static_cast<int>(std::distance(all, end));
  }

  runtime::Scheduler s;
  toy::Toy toy;
  std::uint16_t port = 0, cqlPort = 0;
  std::string log;
  bool show = false;
  std::string
      known;  // the list that the front is started with, where it isn't the list as it stands
  bool awaitsList = true;  // the front counts as started once it has the list
  int sent = 0;
  std::uint16_t listPort() const {
    return listPort_;
  }

 private:
  std::uint16_t listPort_ = 0;
  std::string mode_, settings_;
  int sockets_ = 0, memoryMb_;
  const char* keepalive_;
  bool logStands_;
  std::string doors_;
  pid_t child_ = -1;
  std::string path_;
  std::unique_ptr<runtime::Socket> log_;
};

// main of a program of tests on whole fronts: PROGRAM CASE.
template <std::size_t N>
int runOnFront(const Case (&cases)[N], int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  if (argc > 1) program = argv[1];
  return runCase(cases, argc - 1, argv + 1);
}

}  // namespace reedchute::test
