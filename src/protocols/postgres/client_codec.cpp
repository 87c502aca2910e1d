#include "protocols/postgres/client_codec.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "codec/pg/messages.h"
#include "log/log.h"

namespace reedchute::protocols::postgres {
namespace pg = reedchute::pg;
namespace {

constexpr std::size_t kMostMessage = 160 * 1024;  // a value of 64 KiB in hex digits, and the rest
constexpr std::size_t kMostStartup = 10'000;      // as PostgreSQL has it

// Statements of one client go side by side as far as that shows in nothing but time: their answers
// go out in the order of the statements, and a write waits until all before it have their answers,
// as what stands behind a write does.
class Session : public client::ClientCodec, public request::ResponseSink {
 public:
  Session(ClientProtocol& door, client::ClientChannel& line) : door_(door), line_(line) {}
  ~Session() override { keep(0); }

  bool decodeMessage(std::string_view bytes, const client::ArrivalTimes& came,
                     std::size_t& used) override {
    return greeted_ ? takeMessage(bytes, came, used) : takeStartup(bytes, used);
  }
  bool hasCompletedStartup() const override { return greeted_; }
  std::size_t pendingResponses() const override { return replies_.size(); }
  bool isPaused() const override {
    if (replies_.empty()) return false;
    return waits_ || replies_.back().after != After::goesOn ||
           replies_.size() >= door_.pipeline.statements || door_.kept > door_.pipeline.bytes ||
           !door_.handler.hasCapacity();
  }
  std::size_t bufferedResponses() const override {
    auto waits = [](const Reply& r) { return r.done && r.until > kNever; };
    return static_cast<std::size_t>(std::count_if(replies_.begin(), replies_.end(), waits));
  }
  void onClientClosed() override {
    for (auto all = std::exchange(replies_, {}); const Reply& r : all)
      if (r.statement >= 0) door_.handler.onClientLeft(r.statement);
    keep(0);
  }

  void disconnect(client::DisconnectReason why) override {
    switch (why) {
      case client::DisconnectReason::atCapacity:
        return end("53300", "too many clients");
      case client::DisconnectReason::memoryLimit:
        return end("53200", "no memory is left for so long a message");
      case client::DisconnectReason::startupTimeout:
        return end("08P01", "no startup message in time");
      case client::DisconnectReason::messageTimeout:
        return end("08P01", "a message that was not finished in time");
    }
  }

  void onCompleted(int requestId, request::Response answer, int, std::optional<WallTime>) override {
    answer.bytes += pg::ready();
    answered(requestId, std::move(answer.bytes));
  }
  void onRejected(int requestId, Duration retryAfter) override {
    std::string back = retryAfter > Duration{} ? std::to_string(retryAfter.us / 1000)
                                               : std::string();
    answered(requestId,
             pg::error(false, "53300", "rejected: trying again does no harm", back) + pg::ready());
  }
  bool isClientGone() const override { return line_.isClientGone(); }
  // Not 53300 or 57P03, which tell a client that a retry is harmless: the statement may have run.
  void onAborted(int requestId) override {
    answered(requestId, pg::error(false, "57014", "aborted: it may have run") + pg::ready());
  }

 private:
  // What becomes of the connection behind an answer.
  enum class After { goesOn, ends, endsForLeaving };
  // What a message of the client's is owed, in their order.
  struct Reply {
    int statement = -1;
    bool write = false;
    bool done = false;  // `bytes` are the whole of it
    After after = After::goesOn;
    TimePoint until = kNever;  // that its client waits, for the answer to a statement
    std::string bytes;
  };

  void keep(std::size_t bytes) {
    door_.kept -= kept_;
    door_.kept += kept_ = bytes;
  }
  void answered(int requestId, std::string bytes) {
    Reply& r = replies_[static_cast<std::size_t>(requestId - first_)];
    r.statement = -1, r.done = true, r.bytes = std::move(bytes);
    keep(kept_ + r.bytes.size());
    settle();
  }
  // Says what has its turn.
  void settle() {
    while (!replies_.empty() && replies_.front().done) {
      Reply r = std::move(replies_.front());
      replies_.pop_front();
      ++first_, waits_ = false;
      keep(kept_ - r.bytes.size());
      if (r.until > kNever)
        line_.sendResponse(std::move(r.bytes), r.until);
      else if (!r.bytes.empty())
        line_.send(std::move(r.bytes));
      if (r.after == After::ends) line_.closeAfterFlush();
      if (r.after == After::endsForLeaving) line_.closeForDrain();
    }
  }
  // Says something in its turn.
  void say(std::string bytes, After after = After::goesOn) {
    keep(kept_ + bytes.size());
    Reply& r = replies_.emplace_back();
    r.done = true, r.after = after, r.bytes = std::move(bytes);
    settle();
  }
  // The last that it is told, before its connection ends.
  void end(std::string_view code, std::string_view text, After after = After::ends) {
    say(pg::error(true, code, text), after);
  }

  bool takeStartup(std::string_view bytes, std::size_t& used) {
    std::int32_t code = 0;
    pg::Framed f = pg::frameStartup(bytes, kMostStartup, code, used);
    if (f == pg::Framed::partial) return false;
    if (f == pg::Framed::bad) {
      used = 0;
      log::line("client_protocol_error", "what=startup");
      end("08P01", "the startup message can't be read");
    } else if (code == pg::kSslCode || code == pg::kGssCode) {
      say("N");
    } else if (code == pg::kCancelCode) {
      line_.closeNow();
    } else if (code >> 16 != 3) {
      end("0A000", "only version 3 of the protocol is spoken here");
    } else {
      say(pg::greeting());
      greeted_ = true;
    }
    return true;
  }

  bool takeMessage(std::string_view bytes, const client::ArrivalTimes& came, std::size_t& used) {
    pg::Message m;
    pg::Framed f = pg::frame(bytes, kMostMessage, m);
    if (f == pg::Framed::partial) return false;
    if (f == pg::Framed::bad) {
      log::line("client_protocol_error", "what=message");
      end("08P01", "a message whose length makes no sense");
      return true;
    }
    used = m.whole.size();
    // Only simple queries are spoken; what follows an extended one up to its Sync is passed over.
    if (m.type == 'X') {
      say({}, After::ends);
    } else if (m.type == 'Q') {
      std::optional<std::string_view> text = pg::takeString(m.payload);
      if (text && m.payload.empty())
        query(*text, came.arrivalOf(used), used, used == bytes.size());
      else
        say(pg::error(false, "08P01", "a query without its end") + pg::ready());
    } else if (m.type == 'S') {
      say(pg::ready());
    } else if (m.type == 'P' || m.type == 'F') {
      say(pg::error(false, "0A000", "only simple queries are spoken here") +
          (m.type == 'F' ? pg::ready() : std::string()));
    } else if (std::string_view("BEDCHdcfp").find(m.type) == std::string_view::npos) {
      log::line("client_protocol_error", "what=type");
      end("08P01", "a message of an unknown type");
    }
    return true;
  }

  // `alone`: nothing has come behind it.
  void query(std::string_view text, TimePoint came, std::size_t& used, bool alone) {
    // A client that sends its next request at once would meet the end of the connection with it. It
    // is told with this one instead, of which nothing has run.
    if (alone && replies_.empty() && !door_.handler.acceptsReceivedAt(came))
      return end("57P03", "this server is shutting down: ask another", After::endsForLeaving);
    auto decoded = door_.decoder.decode(text, door_.scheduler.now(), door_.scheduler.wallClock());
    if (auto* reply = std::get_if<ImmediateReply>(&decoded)) return say(std::move(reply->bytes));
    auto& taken = std::get<request::ReceivedStatement>(decoded);
    taken.version = door_.version;
    taken.receivedAt = came;
    bool write = door_.decoder.isWrite(taken.arrival.workload);
    // A read that overtakes the write before it would not see it; writes keep their order.
    waits_ = std::any_of(replies_.begin(), replies_.end(),
                         [&](const Reply& r) { return write || r.write; });
    if (waits_) return void(used = 0);
    int requestId = first_ + static_cast<int>(replies_.size());
    Reply& r = replies_.emplace_back();
    r.write = write, r.until = taken.receivedAt + taken.timeout;
    int statement = door_.handler.admit(std::move(taken), *this, requestId);
    if (statement >= 0)
      replies_.back().statement = statement;  // otherwise it has its answer already
  }

  ClientProtocol& door_;
  client::ClientChannel& line_;
  std::deque<Reply> replies_;
  int first_ = 0;         // the requestId of the first of them
  std::size_t kept_ = 0;  // bytes of answers that wait for their turn
  bool waits_ = false;    // the next statement, until an answer has gone
  bool greeted_ = false;
};

}  // namespace

std::unique_ptr<client::ClientCodec> ClientProtocol::newCodec(client::ClientChannel& line) {
  return std::make_unique<Session>(*this, line);
}

std::size_t ClientProtocol::maxMessageBytes() const {
  return kMostMessage;
}

}  // namespace reedchute::protocols::postgres
