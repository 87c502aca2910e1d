#include "doors/pg/talk.h"

#include <utility>

#include "log/log.h"
#include "pg/messages.h"

namespace reedchute::doors::pg {
namespace pg = reedchute::pg;
namespace {

constexpr std::size_t kMostMessage = 160 * 1024;  // a value of 64 KiB in hex digits, and the rest
constexpr std::size_t kMostStartup = 10'000;      // as PostgreSQL has it

class Session : public peers::Talk, public exchange::Asker {
 public:
  Session(Door& door, peers::Line& line) : door_(door), line_(line) {}

  bool take(std::string_view bytes, std::size_t& used) override {
    return greeted_ ? takeMessage(bytes, used) : takeStartup(bytes, used);
  }
  bool greeted() const override { return greeted_; }
  std::size_t owed() const override { return stmt_ >= 0; }
  bool full() const override { return stmt_ >= 0; }
  void left() override { door_.desk.left(std::exchange(stmt_, -1)); }

  void part(peers::Parting why) override {
    switch (why) {
      case peers::Parting::fullHouse:
        return end("53300", "too many clients");
      case peers::Parting::noMemory:
        return end("53200", "no memory is left for so long a message");
      case peers::Parting::noStartup:
        return end("08P01", "no startup message in time");
      case peers::Parting::unfinished:
        return end("08P01", "a message that was not finished in time");
    }
  }

  void completed(int, exchange::Answer answer, int, std::optional<TimePoint>) override {
    answer.bytes += pg::ready();
    answered(std::move(answer.bytes));
  }
  void rejected(int, Span comeBack) override {
    std::string back = comeBack > Span{} ? std::to_string(comeBack.us / 1000) : std::string();
    answered(pg::error(false, "53300", "rejected: trying again does no harm", back) + pg::ready());
  }
  // Danger: 53300 and 57P03 tell a client that trying again is harmless, and here it may not be.
  void aborted(int) override { answered(pg::error(false, "57014", "aborted: it may have run") + pg::ready()); }

 private:
  void answered(std::string bytes) {
    stmt_ = -1;
    line_.answer(std::move(bytes), waitsUntil_);
  }
  // The last that it is told, before its connection ends.
  void end(std::string_view code, std::string_view text) {
    line_.say(pg::error(true, code, text));
    line_.end();
  }

  bool takeStartup(std::string_view bytes, std::size_t& used) {
    std::int32_t code = 0;
    pg::Framed f = pg::frameStartup(bytes, kMostStartup, code, used);
    if (f == pg::Framed::partial) return false;
    if (f == pg::Framed::bad) {
      used = 0;
      log::line("client_garbled", "what=startup");
      end("08P01", "the startup message can't be read");
    } else if (code == pg::kSslCode || code == pg::kGssCode) {
      line_.say("N");
    } else if (code == pg::kCancelCode) {
      line_.cut();
    } else if (code >> 16 != 3) {
      end("0A000", "only version 3 of the protocol is spoken here");
    } else {
      line_.say(pg::greeting());
      greeted_ = true;
    }
    return true;
  }

  bool takeMessage(std::string_view bytes, std::size_t& used) {
    pg::Message m;
    pg::Framed f = pg::frame(bytes, kMostMessage, m);
    if (f == pg::Framed::partial) return false;
    if (f == pg::Framed::bad) {
      log::line("client_garbled", "what=message");
      end("08P01", "a message whose length makes no sense");
      return true;
    }
    used = m.whole.size();
    // Only simple queries are spoken; what follows an extended one up to its Sync is passed over.
    if (m.type == 'X') {
      line_.cut();
    } else if (m.type == 'Q') {
      std::optional<std::string_view> text = pg::takeString(m.payload);
      if (text && m.payload.empty())
        query(*text);
      else
        line_.say(pg::error(false, "08P01", "a query without its end") + pg::ready());
    } else if (m.type == 'S') {
      line_.say(pg::ready());
    } else if (m.type == 'P' || m.type == 'F') {
      line_.say(pg::error(false, "0A000", "only simple queries are spoken here") +
                (m.type == 'F' ? pg::ready() : std::string()));
    } else if (std::string_view("BEDCHdcfp").find(m.type) == std::string_view::npos) {
      log::line("client_garbled", "what=type");
      end("08P01", "a message of an unknown type");
    }
    return true;
  }

  void query(std::string_view text) {
    exchange::Taken taken;
    taken.speech = door_.speech;
    if (auto reply = door_.takeIn.read(text, door_.scheduler.now(), taken))
      return line_.say(std::move(*reply));
    waitsUntil_ = taken.arrival.giveUpAt;
    stmt_ = door_.desk.admit(std::move(taken), *this, 0);
  }

  Door& door_;
  peers::Line& line_;
  int stmt_ = -1;
  TimePoint waitsUntil_;  // its client, for the answer
  bool greeted_ = false;
};

}  // namespace

std::unique_ptr<peers::Talk> Door::talk(peers::Line& line) { return std::make_unique<Session>(*this, line); }

std::size_t Door::mostMessage() const { return kMostMessage; }

}  // namespace reedchute::doors::pg
