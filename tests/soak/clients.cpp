// Clients: each thread is a client that sends statements over a connection to a random front. Some
// of them misbehave: they disconnect early, stop in the middle of a message or send random bytes.
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>

#include "peers.h"
#include "sockets.h"

namespace soak {
namespace {

constexpr int kConnectMs = 1'000;
// How long a client awaits responses beyond the deadline.
constexpr std::int64_t kResponseGraceUs = 800'000;
// How long a client that stopped in the middle of a message keeps its connection open.
constexpr std::int64_t kStoppedUs = 3'600'000;
constexpr int kMaxPipelined = 12;
constexpr std::int64_t kThinkStepUs = 20'000;

class Client {
 public:
  Client(Control& control, const ClientOptions& options, int thread, const Recorder& recorder)
      : control_(control),
        recorder_(recorder),
        fronts_(options.fronts),
        writesOneIn_(options.writesOneIn),
        prefix_((static_cast<std::uint64_t>(options.number) + 1) << 32 |
                static_cast<std::uint64_t>(thread) << 24),
        random_(static_cast<unsigned>(options.seed * 7919 + prefix_ / 4096 +
                                      static_cast<std::uint64_t>(thread))) {}

  void run() {
    while (!control_.stop) {
      if (socket_ < 0 && !connectToFront()) continue;
      act();
      think();
    }
    if (socket_ >= 0) close(socket_);
  }

 private:
  struct SentStatement {
    std::uint64_t id = 0;
    std::int64_t deadline = 0;
  };

  unsigned below(unsigned n) { return static_cast<unsigned>(random_() % n); }
  bool oneIn(int n) { return n > 0 && below(static_cast<unsigned>(n)) == 0; }

  // Pauses for a random time; ends early if clients are to send without a pause from now on.
  void think() {
    int longest = control_.thinkUs;
    if (longest <= 0) return;
    for (std::int64_t left = below(static_cast<unsigned>(longest));
         left > 0 && control_.thinkUs > 0 && !control_.stop; left -= kThinkStepUs)
      usleep(static_cast<useconds_t>(std::min(left, kThinkStepUs)));
  }
  const Workload& drawWorkload() {
    constexpr unsigned kReads = 2;  // the first workloads are reads
    unsigned all = std::size(kWorkloads);
    if (writesOneIn_ == 0) return kWorkloads[below(all)];
    return kWorkloads[oneIn(writesOneIn_) ? kReads + below(all - kReads) : below(kReads)];
  }

  bool connectToFront() {
    front_ = static_cast<int>(below(static_cast<unsigned>(fronts_)));
    socket_ = connectTo(frontHost(front_), control_.frontPort[front_], kConnectMs);
    if (socket_ < 0) {
      usleep(5'000);
      return false;
    }
    port_ = localPort(socket_);
    in_.clear(), written_ = 0;
    return writeBytes(startupMessage());
  }
  void act() {
    if (oneIn(control_.garbageOneIn)) return sendRandomBytes();
    if (oneIn(control_.stopsOneIn)) return stopMidMessage();
    if (oneIn(control_.restsOneIn)) usleep(below(1'500'000));
    int statements = oneIn(control_.pipelinesOneIn) ? 2 + static_cast<int>(below(kMaxPipelined - 1))
                                                    : 1;
    sendStatements(statements, oneIn(control_.leavesOneIn));
    if (socket_ >= 0 && oneIn(60)) disconnect(0, false);
  }

  bool writeBytes(const std::string& bytes) {
    if (!writeAll(socket_, bytes)) {
      close(socket_), socket_ = -1;
      return false;
    }
    written_ += static_cast<std::int64_t>(bytes.size());
    return true;
  }
  void disconnect(std::uint64_t statement, bool resets) {
    resets ? closeWithReset(socket_) : static_cast<void>(close(socket_));
    socket_ = -1;
    recorder_.add(
        {.kind = Kind::clientLeft, .statement = statement, .front = front_, .port = port_});
  }
  void recordConnectionEnd(std::uint64_t statement) {
    recorder_.add(
        {.kind = Kind::clientSawEnd, .statement = statement, .front = front_, .port = port_});
    close(socket_), socket_ = -1;
  }

  std::string statement(std::uint64_t id, const Workload& w, int deadlineMs) {
    std::string tail = std::string("/* id=") + std::to_string(id) + ",c=" + w.name +
                       ",cluster=" + std::to_string(below(2)) + ",d=" + std::to_string(deadlineMs) +
                       (w.effect == Effect::deduplicated ? ",k=" + std::to_string(id) : "") + " */";
    if (!w.write)
      return "SELECT payload FROM entries WHERE ref = '" + std::to_string(id % 997) + "' " + tail;
    std::string payload = oneIn(20) ? std::string(2 * (1 + below(30'000)), 'a') : std::string("9f");
    return "INSERT INTO entries (ref, payload) VALUES ('" + std::to_string(id % 997) + "', '\\x" +
           payload + "') RETURNING payload " + tail;
  }

  void sendStatements(int count, bool leavesEarly) {
    std::vector<SentStatement> sent;
    std::vector<Event> events;
    std::string bytes;
    for (int k = 0; k < count; ++k) {
      const Workload& w = drawWorkload();
      int deadlineMs = oneIn(25) ? 5 + static_cast<int>(below(60))
                                 : kMinDeadlineMs +
                                       static_cast<int>(below(kMaxDeadlineMs - kMinDeadlineMs));
      std::uint64_t id = prefix_ + ++counter_;
      bytes += queryMessage(statement(id, w, deadlineMs));
      sent.push_back({id, deadlineMs * 1000});
      events.push_back({.kind = Kind::clientSent,
                        .statement = id,
                        .front = front_,
                        .port = port_,
                        .code = static_cast<int>(&w - kWorkloads),
                        .value = count,
                        .offset = written_ + static_cast<std::int64_t>(bytes.size())});
    }
    if (!writeBytes(bytes)) return;
    std::int64_t now = monotonicUs();
    for (std::size_t k = 0; k < events.size(); ++k) {
      sent[k].deadline += now;
      events[k].at = now, events[k].deadline = sent[k].deadline;
      recorder_.add(events[k]);
    }
    std::int64_t leavesAt = leavesEarly ? now + below(400'000) : INT64_MAX;
    awaitAnswers(sent, leavesAt);
  }

  void awaitAnswers(const std::vector<SentStatement>& sent, std::int64_t leavesAt) {
    std::size_t next = 0;
    int bursts = control_.leaveBurst;
    std::int64_t last = 0;
    for (const SentStatement& a : sent) last = std::max(last, a.deadline);
    while (next < sent.size()) {
      std::optional<Message> m = takeMessage(in_);
      if (m && (m->type == 'D' || m->type == 'E')) recordAnswer(sent[next].id, *m), ++next;
      if (m && m->type == 'E' && isFatal(*m))
        return next < sent.size() ? recordConnectionEnd(sent[next].id) : disconnect(0, false);
      if (m) continue;
      std::int64_t now = monotonicUs(),
                   until = std::min({leavesAt, last + kResponseGraceUs, now + 20'000});
      if (waitReadable(socket_, until) == Wait::readable) {
        if (readSome(socket_, in_) <= 0) return recordConnectionEnd(sent[next].id);
        continue;
      }
      bool burst = bursts != control_.leaveBurst && oneIn(2);
      bursts = control_.leaveBurst;
      if (burst || monotonicUs() >= std::min(leavesAt, last + kResponseGraceUs))
        return disconnect(sent[next].id, oneIn(3));
    }
  }
  void recordAnswer(std::uint64_t id, const Message& m) {
    Answer code = Answer::served;
    if (m.type == 'E') {
      std::string sqlstate = errorCode(m);
      code = sqlstate == "53300" || sqlstate == "57P03" ? Answer::refused : Answer::failed;
    }
    recorder_.add({.kind = Kind::clientAnswered,
                   .statement = id,
                   .front = front_,
                   .port = port_,
                   .code = static_cast<int>(code)});
  }

  // Sends a part of a statement and keeps the connection open without sending the rest.
  void stopMidMessage() {
    std::string whole = queryMessage(statement(prefix_ + ++counter_, kWorkloads[0], 1'000));
    if (!writeBytes(whole.substr(0, 1 + below(static_cast<unsigned>(whole.size() - 1))))) return;
    recorder_.add({.kind = Kind::clientStopped,
                   .statement = prefix_ + counter_,
                   .front = front_,
                   .port = port_});
    std::int64_t until = monotonicUs() + kStoppedUs;
    while (waitReadable(socket_, until) == Wait::readable)
      if (readSome(socket_, in_) <= 0) return recordConnectionEnd(prefix_ + counter_);
    disconnect(prefix_ + counter_, true);
  }
  void sendRandomBytes() {
    std::string garbage;
    for (unsigned k = 0, size = 1 + below(4'000); k < size; ++k)
      garbage.push_back(static_cast<char>(below(256)));
    if (writeBytes(garbage)) close(socket_), socket_ = -1;
  }

  Control& control_;
  const Recorder& recorder_;
  int fronts_, writesOneIn_, front_ = 0, socket_ = -1, port_ = 0;
  std::string in_;
  std::int64_t written_ = 0;
  std::uint64_t prefix_, counter_ = 0;
  std::minstd_rand random_;
};

}  // namespace

namespace {

// Keeps Control::crowd connections open that send no statement; every second one sends a startup
// message.
void holdIdleConnections(Control& control, const ClientOptions& options) {
  std::vector<int> idle;
  while (!control.stop) {
    while (static_cast<int>(idle.size()) < control.crowd) {
      int front = static_cast<int>(idle.size()) % options.fronts;
      int socket = connectTo(frontHost(front), control.frontPort[front], 200);
      if (socket < 0) break;
      if (idle.size() % 2) writeAll(socket, startupMessage());
      idle.push_back(socket);
    }
    if (control.crowd == 0)
      while (!idle.empty()) close(idle.back()), idle.pop_back();
    usleep(20'000);
  }
  for (int socket : idle) close(socket);
}

}  // namespace

void runClients(Control& control, const ClientOptions& options) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::signal(SIGPIPE, SIG_IGN);
  Recorder recorder(options.events);
  std::vector<std::thread> threads;
  for (int k = 0; k < options.threads; ++k)
    threads.emplace_back([&, k] { Client(control, options, k, recorder).run(); });
  threads.emplace_back([&] { holdIdleConnections(control, options); });
  for (std::thread& t : threads) t.join();
  _exit(0);
}

std::string frontHost(int k) {
  return "127.0.1." + std::to_string(k + 1);
}

}  // namespace soak
