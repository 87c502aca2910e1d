// Stand-ins for the cases of this review: stores and clients of both protocols, the endpoint list,
// and the start of the project's own program. Plain blocking sockets, a thread for each connection,
// loopback addresses only. A case includes this header and has main().
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand {

// ---- time, record, exit codes ----

inline std::int64_t steadyUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Record {
  FILE* file = nullptr;
  std::mutex mutex;
  std::int64_t begin = steadyUs();
};
inline Record& theRecord() {
  static Record record;
  return record;
}
// Opens record.txt in the folder of the case.
inline void openRecord(const std::string& folder) {
  theRecord().file = std::fopen((folder + "/record.txt").c_str(), "w");
  if (!theRecord().file) {
    std::fprintf(stderr, "record.txt can't be written\n");
    _exit(2);
  }
}
__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
  Record& record = theRecord();
  std::lock_guard<std::mutex> lock(record.mutex);
  va_list args;
  va_start(args, format);
  std::fprintf(record.file, "%10.3f ", static_cast<double>(steadyUs() - record.begin) / 1000);
  std::vfprintf(record.file, format, args);
  std::fputc('\n', record.file);
  va_end(args);
}
// A number from the environment, or the default.
inline std::int64_t option(const char* name, std::int64_t otherwise) {
  const char* text = std::getenv(name);
  return text && *text ? std::atoll(text) : otherwise;
}
inline bool hasTrouble() {
  return option("TROUBLE", 1) != 0;
}

// ---- the project's program ----

struct Front {
  pid_t pid = -1;
  std::string log;
  int pgPort = 0, cqlPort = 0;
};
inline std::vector<pid_t>& startedPids() {
  static std::vector<pid_t> pids;
  return pids;
}
inline std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}
inline void writeFile(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}
inline std::string& temporaryFolder();
// With KEEP=1 the temporary folder, with the logs of the fronts, stays.
inline bool keepsFiles() {
  return option("KEEP", 0) != 0 || temporaryFolder().empty();
}
// Ends all processes that were started, and exits.
[[noreturn]] inline void finish(int code, const char* what) {
  for (pid_t pid : startedPids()) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  note("exit %d: %s", code, what);
  std::fflush(theRecord().file);
  std::error_code ignored;
  if (!keepsFiles()) std::filesystem::remove_all(temporaryFolder(), ignored);
  std::printf("%s: %s\n", code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run", what);
  std::fflush(stdout);
  _exit(code);
}
// Opens the record in the case's folder and makes a temporary folder, whose path is returned. After
// 115 seconds the case ends by itself. The working folder has to be the project's root.
inline std::string& temporaryFolder() {
  static std::string folder;
  return folder;
}
inline std::string begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s FOLDER-OF-THE-CASE\n", argv[0]);
    _exit(2);
  }
  openRecord(argv[1]);
  const char* base = std::getenv("TMPDIR");
  std::string pattern = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
  if (!mkdtemp(pattern.data())) finish(2, "no temporary folder");
  temporaryFolder() = pattern;
  std::thread([] {
    sleepMs(115'000);
    finish(2, "it took too long");
  }).detach();
  note("trouble: %s", hasTrouble() ? "yes" : "no");
  return pattern;
}
// The command `run` of the deploy file.
inline std::string runCommand() {
  std::istringstream lines(readFile("deploy/balancer.toml"));
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("run = \"", 0) != 0) continue;
    std::string rest = line.substr(7);
    return rest.substr(0, rest.find('"'));
  }
  return "";
}
inline int portInLog(const std::string& log, const std::string& event) {
  std::istringstream lines(readFile(log));
  for (std::string line; std::getline(lines, line);) {
    std::size_t at = line.find(" " + event + " ");
    if (at == std::string::npos) continue;
    std::size_t port = line.find("port=", at);
    if (port != std::string::npos) return std::atoi(line.c_str() + port + 5);
  }
  return 0;
}
// Starts the program with this configuration, and waits until it listens.
inline Front startFront(const std::string& folder, const std::string& name,
                        const std::string& config, const std::string& settings) {
  static int count = 0;
  std::string base = folder + "/" + name + "-" + std::to_string(++count);
  Front front;
  front.log = base + ".log";
  writeFile(base + ".json", config);
  std::string command = runCommand();
  if (command.empty()) finish(2, "the deploy file has no run command");
  if (!settings.empty()) {
    writeFile(base + ".hcl", settings);
    command += " --settings " + base + ".hcl";
  }
  front.pid = fork();
  if (front.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // should the case itself be ended from outside
    int out = open(front.log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(out, 1);
    dup2(out, 2);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    setenv("LB_CONFIG", (base + ".json").c_str(), 1);
    setenv("LB_NAME", name.c_str(), 1);
    setenv("TMPDIR", folder.c_str(), 1);
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  startedPids().push_back(front.pid);
  for (int tries = 0; tries < 1000; ++tries) {
    sleepMs(10);
    front.pgPort = portInLog(front.log, "listening");
    front.cqlPort = portInLog(front.log, "listening_too");
    bool isUp = front.pgPort &&
                (settings.find("cassandra {") == std::string::npos || front.cqlPort);
    if (isUp) {
      note("front %s started: pid %d, PostgreSQL %d, Cassandra %d", name.c_str(), front.pid,
           front.pgPort, front.cqlPort);
      return front;
    }
    if (waitpid(front.pid, nullptr, WNOHANG) != 0) break;
  }
  std::fprintf(stderr, "%s\n", readFile(front.log).c_str());
  finish(2, "the front did not start");
}
inline bool isRunning(const Front& front) {
  return waitpid(front.pid, nullptr, WNOHANG) == 0;
}
inline void stopFront(Front& front, int signal) {
  note("signal %d to front %d", signal, front.pid);
  kill(front.pid, signal);
  waitpid(front.pid, nullptr, 0);
  std::vector<pid_t>& pids = startedPids();
  for (std::size_t k = 0; k < pids.size(); ++k)
    if (pids[k] == front.pid) pids.erase(pids.begin() + static_cast<long>(k));
  note("front %d has ended", front.pid);
}

// ---- sockets ----

inline int listenOn(int& port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0 || listen(fd, 1024) < 0)
    finish(2, "a stand-in can't listen");
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
inline int connectTo(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0) {
    close(fd);
    return -1;
  }
  return fd;
}
inline bool sendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}
// Reads until `size` bytes are there; false at the end of the stream or when `untilUs` has come.
inline bool readAtLeast(int fd, std::string& in, std::size_t size, std::int64_t untilUs) {
  while (in.size() < size) {
    std::int64_t left = untilUs - steadyUs();
    if (left <= 0) return false;
    pollfd entry{fd, POLLIN, 0};
    int ready = poll(&entry, 1, static_cast<int>(left / 1000 + 1));
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    char bytes[65536];
    ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    in.append(bytes, static_cast<std::size_t>(count));
  }
  return true;
}
constexpr std::int64_t kNoEnd = INT64_MAX / 4;
inline std::uint32_t be32(const std::string& in, std::size_t at) {
  auto byte = [&](std::size_t k) {
    return static_cast<std::uint32_t>(static_cast<unsigned char>(in[at + k]));
  };
  return byte(0) << 24 | byte(1) << 16 | byte(2) << 8 | byte(3);
}
inline std::string put32(std::uint32_t value) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
  return out;
}
inline std::string put16(std::uint32_t value) {
  return {static_cast<char>(value >> 8 & 0xff), static_cast<char>(value & 0xff)};
}

// ---- the endpoint list ----

struct Entry {
  std::string id;
  int pgPort = 0, cqlPort = 0;
  bool primary = false;
  std::string state = "up";
  std::int64_t startedMs = 0;
};

// GET /catalog/members, with long polls. Answers with the whole list.
class List {
 public:
  int start() {
    int fd = listenOn(port_);
    std::thread([this, fd] {
      for (;;) {
        int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection >= 0) std::thread([this, connection] { serve(connection); }).detach();
      }
    }).detach();
    return port_;
  }
  int port() const { return port_; }
  void set(const std::vector<Entry>& entries) {
    std::lock_guard<std::mutex> lock(mutex_);
    entries_ = entries;
    ++version_;
    changed_.notify_all();
  }
  std::string json() {
    std::lock_guard<std::mutex> lock(mutex_);
    return jsonLocked();
  }

 private:
  std::string jsonLocked() const {
    std::string out = "{\"version\":" + std::to_string(version_) + ",\"full\":true,\"servers\":[";
    const char* separator = "";
    for (const Entry& entry : entries_) {
      if (entry.state == "removed") continue;
      out += separator;
      separator = ",";
      out += "{\"id\":\"" + entry.id + "\",\"addr\":\"127.0.0.1:" + std::to_string(entry.pgPort) +
             "\",";
      if (entry.cqlPort)
        out += "\"addrs\":{\"cassandra\":\"127.0.0.1:" + std::to_string(entry.cqlPort) + "\"},";
      out += "\"zone\":\"a\",\"kind\":\"std-4\",\"cell\":1,\"state\":\"" + entry.state +
             "\",\"weight\":1.0,\"started_ms\":" + std::to_string(entry.startedMs) +
             ",\"access\":\"" + (entry.primary ? "writer" : "reader") + "\"}";
    }
    return out + "]}";
  }
  void serve(int fd) {
    std::string in;
    for (;;) {
      std::size_t end;
      while ((end = in.find("\r\n\r\n")) == std::string::npos)
        if (!readAtLeast(fd, in, in.size() + 1, kNoEnd)) {
          close(fd);
          return;
        }
      std::string head = in.substr(0, end);
      in.erase(0, end + 4);
      std::size_t index = head.find("index="), wait = head.find("wait=");
      std::string body;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        if (index != std::string::npos && wait != std::string::npos) {
          std::int64_t version = std::atoll(head.c_str() + index + 6);
          changed_.wait_for(lock, std::chrono::milliseconds(std::atoll(head.c_str() + wait + 5)),
                            [&] { return version_ > version; });
        }
        body = jsonLocked();
      }
      if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n" + body)) {
        close(fd);
        return;
      }
    }
  }
  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t version_ = 1;
  std::vector<Entry> entries_;
};

// ---- PostgreSQL's protocol ----

inline std::string pgMessage(char type, const std::string& payload) {
  return type + put32(static_cast<std::uint32_t>(payload.size() + 4)) + payload;
}
inline std::string pgParameter(const std::string& name, const std::string& value) {
  return pgMessage('S', name + '\0' + value + '\0');
}
inline std::string pgReady() {
  return pgMessage('Z', "I");
}
inline std::string pgRow(const std::string& value) {
  std::string description = put16(1) + "payload" + '\0' + put32(0) + put16(0) + put32(17) +
                            put16(0xffff) + put32(0xffffffff) + put16(1);
  return pgMessage('T', description) +
         pgMessage('D', put16(1) + put32(static_cast<std::uint32_t>(value.size())) + value) +
         pgMessage('C', std::string("SELECT 1") + '\0');
}
inline std::string pgError(const std::string& code, const std::string& text) {
  return pgMessage('E',
                   std::string("SERROR") + '\0' + "C" + code + '\0' + "M" + text + '\0' + '\0');
}
// The value of a name in the comment of a statement, or "".
inline std::string field(const std::string& text, const std::string& name) {
  std::size_t begin = text.find("/*"), end = text.find("*/");
  if (begin == std::string::npos || end == std::string::npos) return "";
  std::string rest = text.substr(begin + 2, end - begin - 2);
  std::istringstream parts(rest);
  for (std::string part; std::getline(parts, part, ',');) {
    std::size_t from = part.find_first_not_of(' ');
    std::size_t equals = part.find('=');
    if (from == std::string::npos || equals == std::string::npos) continue;
    if (part.substr(from, equals - from) != name) continue;
    std::string value = part.substr(equals + 1);
    while (!value.empty() && value.back() == ' ') value.pop_back();
    return value;
  }
  return "";
}
inline std::string firstQuoted(const std::string& text) {
  std::size_t begin = text.find('\''), end = text.find('\'', begin + 1);
  return begin == std::string::npos ? "" : text.substr(begin + 1, end - begin - 1);
}

// A store: answers the startup and probes by itself, and leaves statements to `onStatement`, which
// returns false to close the connection.
struct PgStore {
  std::string name;
  int port = 0;
  std::atomic<bool> primary{false};
  int handshakeMs = 0;  // until a new connection is ready
  std::function<std::int64_t()> positionMs = [] { return wallMs(); };
  std::function<bool(PgStore&, int fd, const std::string& text)> onStatement;

  std::string role() const {
    return pgParameter("server_role", primary ? "writer" : "reader") +
           pgParameter("commit_clock", std::to_string(positionMs()));
  }
  void start() {
    int fd = listenOn(port);
    std::thread([this, fd] {
      for (;;) {
        int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) continue;
        int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, connection] {
          serve(connection);
          close(connection);
        }).detach();
      }
    }).detach();
  }
  void serve(int fd) {
    std::string in;
    if (!readAtLeast(fd, in, 4, kNoEnd) || !readAtLeast(fd, in, be32(in, 0), kNoEnd)) return;
    in.erase(0, be32(in, 0));
    if (handshakeMs) sleepMs(handshakeMs);
    if (!sendAll(fd, pgMessage('R', put32(0)) + pgMessage('K', put32(1) + put32(2)) + pgReady()))
      return;
    for (;;) {
      if (!readAtLeast(fd, in, 5, kNoEnd)) return;
      std::size_t size = 1 + be32(in, 1);
      if (!readAtLeast(fd, in, size, kNoEnd)) return;
      char type = in[0];
      std::string text = in.substr(5, size - 6);
      in.erase(0, size);
      if (type != 'Q') return;
      if (text == "SHOW usage") {
        char report[100];
        std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,inflight=0,queue=0",
                      static_cast<double>(positionMs()) / 1000, primary ? 1 : 0);
        if (!sendAll(fd, pgRow(report) + pgReady())) return;
      } else if (!onStatement(*this, fd, text)) {
        return;
      }
    }
  }
};

struct Answer {
  std::string kind = "none";  // served, refused, failed, none
  std::string value, code;
  std::int64_t tookMs = 0;
};

class PgClient {
 public:
  explicit PgClient(int port) : fd_(connectTo(port)) {
    if (fd_ < 0) return;
    std::string startup = put32(196608) + "user" + '\0' + "web" + '\0' + "database" + '\0' +
                          "orders" + '\0' + '\0';
    isUp_ = sendAll(fd_, put32(static_cast<std::uint32_t>(startup.size() + 4)) + startup) &&
            read(steadyUs() + 5'000'000).kind == "ready";
  }
  ~PgClient() {
    if (fd_ >= 0) close(fd_);
  }
  PgClient(const PgClient&) = delete;
  bool isUp() const { return isUp_; }
  bool sendQuery(const std::string& text) { return sendAll(fd_, pgMessage('Q', text + '\0')); }
  // Reads one answer up to its ReadyForQuery.
  Answer read(std::int64_t untilUs) {
    Answer answer;
    std::string kind = "ready";
    for (;;) {
      if (!readAtLeast(fd_, in_, 5, untilUs)) break;
      std::size_t size = 1 + be32(in_, 1);
      if (!readAtLeast(fd_, in_, size, untilUs)) break;
      char type = in_[0];
      std::string payload = in_.substr(5, size - 5);
      in_.erase(0, size);
      if (type == 'D') answer.value = payload.substr(6);
      if (type == 'C') kind = "served";
      if (type == 'E') {
        for (std::size_t at = 0; at < payload.size() && payload[at];) {
          std::string part = payload.c_str() + at + 1;
          if (payload[at] == 'C') answer.code = part;
          at += part.size() + 2;
        }
        kind = answer.code == "53300" || answer.code == "57P03" ? "refused" : "failed";
      }
      if (type == 'Z') {
        answer.kind = kind;
        return answer;
      }
    }
    if (kind == "refused" || kind == "failed") answer.kind = kind;  // fatal: no ReadyForQuery
    isUp_ = false;
    return answer;
  }
  Answer ask(const std::string& text, std::int64_t waitMs) {
    std::int64_t begin = steadyUs();
    Answer answer;
    if (isUp_ && sendQuery(text)) answer = read(begin + waitMs * 1000);
    answer.tookMs = (steadyUs() - begin) / 1000;
    return answer;
  }

 private:
  int fd_;
  bool isUp_ = false;
  std::string in_;
};

// ---- Cassandra's protocol, version 4 ----

namespace cql {

enum Opcode {
  kError = 0,
  kStartup = 1,
  kReady = 2,
  kOptions = 5,
  kSupported = 6,
  kQuery = 7,
  kResult = 8
};
constexpr int kPagesFollow = 2, kPayloadFlag = 4;

using Payload = std::map<std::string, std::string>;

struct Frame {
  int flags = 0, stream = 0, opcode = 0;
  std::string body;
};
inline std::string frame(bool isResponse, int flags, int stream, int opcode,
                         const std::string& body) {
  std::string out;
  out += static_cast<char>(isResponse ? 0x84 : 0x04);
  out += static_cast<char>(flags);
  out += put16(static_cast<std::uint32_t>(stream));
  out += static_cast<char>(opcode);
  return out + put32(static_cast<std::uint32_t>(body.size())) + body;
}
inline bool readFrame(int fd, std::string& in, Frame& result, std::int64_t untilUs) {
  if (!readAtLeast(fd, in, 9, untilUs)) return false;
  std::size_t size = 9 + be32(in, 5);
  if (!readAtLeast(fd, in, size, untilUs)) return false;
  result.flags = static_cast<unsigned char>(in[1]);
  result.stream = static_cast<std::int16_t>(static_cast<unsigned char>(in[2]) << 8 |
                                            static_cast<unsigned char>(in[3]));
  result.opcode = in[4];
  result.body = in.substr(9, size - 9);
  in.erase(0, size);
  return true;
}
inline std::string shortString(const std::string& text) {
  return put16(static_cast<std::uint32_t>(text.size())) + text;
}
inline std::string longBytes(const std::string& text) {
  return put32(static_cast<std::uint32_t>(text.size())) + text;
}
inline std::string payloadBytes(const Payload& payload) {
  std::string out = put16(static_cast<std::uint32_t>(payload.size()));
  for (const auto& [name, value] : payload) out += shortString(name) + longBytes(value);
  return out;
}
inline std::size_t be16(const std::string& in, std::size_t at) {
  return static_cast<std::size_t>(static_cast<unsigned char>(in[at])) << 8 |
         static_cast<unsigned char>(in[at + 1]);
}
// Takes the custom payload off the start of a body.
inline Payload takePayload(std::string& body) {
  Payload payload;
  std::size_t count = be16(body, 0), at = 2;
  for (std::size_t k = 0; k < count; ++k) {
    std::size_t size = be16(body, at);
    std::string name = body.substr(at + 2, size);
    at += 2 + size;
    std::size_t length = be32(body, at);
    payload[name] = body.substr(at + 4, length);
    at += 4 + length;
  }
  body.erase(0, at);
  return payload;
}
// A QUERY. `page`: the paging state, `pageSize` rows a page; 0: not paged.
inline std::string query(int stream, const std::string& text, const Payload& payload,
                         int pageSize = 0, const std::string& page = "") {
  std::string body = payloadBytes(payload) + longBytes(text) + put16(1);
  body += static_cast<char>((pageSize ? 4 : 0) | (page.empty() ? 0 : 8));
  if (pageSize) body += put32(static_cast<std::uint32_t>(pageSize));
  if (!page.empty()) body += longBytes(page);
  return frame(false, kPayloadFlag, stream, kQuery, body);
}
// A RESULT with one row of one column.
inline std::string rowsBody(const std::string& value, const std::string& nextPage) {
  std::string body = put32(2) +
                     put32(1u | (nextPage.empty() ? 0u : static_cast<unsigned>(kPagesFollow)));
  body += put32(1);
  if (!nextPage.empty()) body += longBytes(nextPage);
  body += shortString("weather") + shortString("entries") + shortString("payload") + put16(13);
  return body + put32(1) + longBytes(value);
}
inline std::string voidBody() {
  return put32(1);
}

// A query as a store received it.
struct Asked {
  int stream = 0;
  std::string text, page;
  Payload payload;
};

// A store: answers the startup and OPTIONS by itself. `onQuery` runs in the connection's thread and
// may answer later through `reply`.
struct Store {
  struct Connection {
    int fd = -1;
    std::mutex mutex;
    std::atomic<bool> isOpen{true};
  };
  std::string name;
  int port = 0;
  std::atomic<bool> primary{false};
  std::function<std::int64_t()> positionMs = [] { return wallMs(); };
  std::function<void(Store&, std::shared_ptr<Connection>, const Asked&)> onQuery;

  void reply(const std::shared_ptr<Connection>& connection, int stream, int opcode,
             const std::string& body) {
    Payload state{{"server_role", primary ? "writer" : "reader"},
                  {"commit_clock", std::to_string(positionMs())}};
    send(connection, frame(true, kPayloadFlag, stream, opcode, payloadBytes(state) + body));
  }
  // Turns a statement away untouched: `why` is role or behind.
  void turnAway(const std::shared_ptr<Connection>& connection, int stream, const std::string& why) {
    Payload state{{"server_role", primary ? "writer" : "reader"}, {"turned", why}};
    std::string body = put32(0x1000) + shortString("turned away") + put16(1) + put32(1) + put32(0);
    send(connection, frame(true, kPayloadFlag, stream, kError, payloadBytes(state) + body));
  }
  void send(const std::shared_ptr<Connection>& connection, const std::string& bytes) {
    std::lock_guard<std::mutex> lock(connection->mutex);
    if (connection->isOpen) sendAll(connection->fd, bytes);
  }
  void start() {
    int fd = listenOn(port);
    std::thread([this, fd] {
      for (;;) {
        int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto connection = std::make_shared<Connection>();
        connection->fd = accepted;
        std::thread([this, connection] {
          serve(connection);
          std::lock_guard<std::mutex> lock(connection->mutex);
          connection->isOpen = false;
          close(connection->fd);
        }).detach();
      }
    }).detach();
  }
  void serve(const std::shared_ptr<Connection>& connection) {
    std::string in;
    Frame got;
    while (readFrame(connection->fd, in, got, kNoEnd)) {
      if (got.opcode == kStartup) {
        send(connection, frame(true, 0, got.stream, kReady, ""));
      } else if (got.opcode == kOptions) {
        char report[100];
        std::snprintf(report, sizeof report, "x0=%.3f,x1=%d",
                      static_cast<double>(positionMs()) / 1000, primary ? 1 : 0);
        std::string body = put16(1) + shortString("USAGE") + put16(1) + shortString(report);
        send(connection, frame(true, 0, got.stream, kSupported, body));
      } else if (got.opcode == kQuery) {
        Asked asked;
        asked.stream = got.stream;
        std::string body = got.body;
        if (got.flags & kPayloadFlag) asked.payload = takePayload(body);
        std::size_t length = be32(body, 0);
        asked.text = body.substr(4, length);
        std::size_t at = 4 + length + 2;
        int flags = body[at];
        ++at;
        if (flags & 4) at += 4;
        if (flags & 8) asked.page = body.substr(at + 4, be32(body, at));
        onQuery(*this, connection, asked);
      } else {
        return;
      }
    }
  }
};

// A reply as a client received it.
struct Reply {
  std::string kind = "none";  // served, refused, failed, none
  int stream = 0;
  std::uint32_t code = 0;
  std::string value, nextPage;
};

class Client {
 public:
  explicit Client(int port) : fd_(connectTo(port)) {
    if (fd_ < 0) return;
    std::string body = put16(1) + shortString("CQL_VERSION") + shortString("3.0.0");
    Frame got;
    isUp_ = sendAll(fd_, frame(false, 0, 0, kStartup, body)) &&
            readFrame(fd_, in_, got, steadyUs() + 5'000'000) && got.opcode == kReady;
  }
  ~Client() {
    if (fd_ >= 0) close(fd_);
  }
  Client(const Client&) = delete;
  bool isUp() const { return isUp_; }
  int fd() const { return fd_; }
  bool send(const std::string& bytes) { return isUp_ && sendAll(fd_, bytes); }
  // Reads the next reply on any stream. `none`: the connection has ended, or the time has come.
  Reply read(std::int64_t untilUs) {
    Reply reply;
    Frame got;
    if (!isUp_ || !readFrame(fd_, in_, got, untilUs)) {
      hasEnded_ = steadyUs() < untilUs;
      return reply;
    }
    reply.stream = got.stream;
    std::string body = got.body;
    if (got.flags & kPayloadFlag) takePayload(body);
    if (got.opcode == kError) {
      reply.code = be32(body, 0);
      reply.kind = reply.code == 0x1001 || reply.code == 0x1002 ? "refused" : "failed";
      reply.value = body.substr(6, be16(body, 4));
      return reply;
    }
    reply.kind = "served";
    if (be32(body, 0) != 2) return reply;
    std::uint32_t flags = be32(body, 4);
    std::size_t at = 12;
    if (flags & kPagesFollow) {
      reply.nextPage = body.substr(at + 4, be32(body, at));
      at += 4 + reply.nextPage.size();
    }
    at += 2 + be16(body, at);
    at += 2 + be16(body, at);
    at += 2 + be16(body, at) + 2 + 4;
    reply.value = body.substr(at + 4, be32(body, at));
    return reply;
  }
  // Whether the last read found the connection ended.
  bool hasEnded() const { return hasEnded_; }

 private:
  int fd_;
  bool isUp_ = false, hasEnded_ = false;
  std::string in_;
};

}  // namespace cql

// ---- the configuration ----

struct Workload {
  std::string name, repeat, level;
  std::int64_t boundUs = 0, sloUs = 500'000, windowUs = 0;
  double worth = 1, lateWorth = 0.2;
};
struct Settings {
  std::vector<Workload> workloads;
  bool parallelTries = true, mayProbe = true;
  std::string checks = "none", tokens = "brought", roles = "static";
  int memoryMb = 192, sockets = 1024;
  int maxAttempts = 6;
  std::int64_t drainGraceUs = 500'000;
};
inline std::string configOf(const std::string& name, int listPort, const std::string& known,
                            const Settings& s) {
  std::string classes, levels, bounds;
  for (const Workload& w : s.workloads) {
    const char* separator = classes.empty() ? "" : ",";
    classes += std::string(separator) + "{\"name\":\"" + w.name + "\",\"repeat\":\"" + w.repeat +
               "\"";
    if (w.repeat == "by_key")
      classes += ",\"key_scope\":\"cell\",\"repeat_window\":" + std::to_string(w.windowUs);
    classes += ",\"slo\":" + std::to_string(w.sloUs) + ",\"worth\":" + std::to_string(w.worth) +
               ",\"late_worth\":" + std::to_string(w.lateWorth) + "}";
    levels += std::string(separator) + "\"" + w.level + "\"";
    bounds += separator + std::to_string(w.boundUs);
  }
  auto yes = [](bool value) { return std::string(value ? "true" : "false"); };
  return "{\"name\":\"" + name +
         "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + std::to_string(listPort) +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(s.memoryMb) + ",\"sockets\":" + std::to_string(s.sockets) +
         "},\"known\":" + known + ",\"settings\":{\"classes\":[" + classes +
         "],\"extra\":{\"read_level\":[" + levels + "],\"lag_allowed\":[" + bounds +
         "],\"origin_time\":0,\"role_in_list\":\"" + s.roles + "\",\"checks\":\"" + s.checks +
         "\",\"tokens\":\"" + s.tokens +
         "\"},\"failure_domains\":[\"a\"],\"siblings\":1,\"tick\":5000,\"membership_mode\":"
         "\"automatic\",\"limits\":{"
         "\"connect_timeout\":250000,\"keepalive\":15000000,\"max_attempts\":" +
         std::to_string(s.maxAttempts) +
         ",\"max_retry_after\":2000000,\"may_cancel\":true,\"parallel_tries\":" +
         yes(s.parallelTries) + ",\"probes\":" + yes(s.mayProbe) +
         ",\"retry_after\":true},\"obligations\":{\"ask_every\":10000000,"
         "\"cold_from\":0.27,\"fall_multiple\":2.5,\"ramp_time\":16000000,\"tip_after\":2000000,"
         "\"stop_sending_within\":" +
         std::to_string(s.drainGraceUs) + "},\"prices\":{\"probe\":0.016},\"realms\":[]}}";
}

}  // namespace stand
