#include "protocols/cassandra/client_codec.h"

#include <algorithm>
#include <map>
#include <utility>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "log/log.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;
using cql::Frame;
using cql::Framed;
using cql::Opcode;

namespace {

constexpr const char* kAuthenticator = "org.apache.cassandra.auth.PasswordAuthenticator";

// Takes as long whatever differs.
bool sameSecret(std::string_view a, std::string_view b) {
  unsigned differs = a.size() != b.size();
  for (std::size_t k = 0; k < a.size(); ++k)
    differs |=
        static_cast<unsigned>(static_cast<unsigned char>(a[k]) ^
                              static_cast<unsigned char>(b.empty() ? '\0' : b[k % b.size()]));
  return differs == 0;
}

const char* writeTypeOf(const Pending& p) {
  switch (p.kind) {
    case cql::Kind::conditional:
      return "CAS";
    case cql::Kind::counter:
      return "COUNTER";
    case cql::Kind::batch:
      return p.batchType == 1 ? "UNLOGGED_BATCH" : "BATCH";
    default:
      return "SIMPLE";
  }
}

}  // namespace

class Session : public client::ClientCodec, public request::ResponseSink {
 public:
  Session(ClientProtocol& door, client::ClientChannel& line)
      : door_(door), line_(line), framing_(door.config.mostBody) {}
  ~Session() override { std::erase(door_.forStatus, this), std::erase(door_.forSchema, this); }

  bool hasCompletedStartup() const override { return state_ == State::ready; }
  std::size_t pendingResponses() const override { return open_.size(); }
  bool isPaused() const override { return open_.size() >= door_.config.streams; }

  void onClientClosed() override {
    // Its statements end one by one, and none is answered any more.
    for (auto open = std::exchange(open_, {}); auto& [stream, one] : open)
      if (one.statement >= 0) door_.handler.onClientLeft(one.statement);
  }

  bool isClientGone() const override { return line_.isClientGone(); }
  bool decodeMessage(std::string_view bytes, const client::ArrivalTimes& came,
                     std::size_t& used) override {
    if (state_ == State::fresh && !versionMayBe(bytes)) return true;
    Frame f;
    Framed got = framing_.next(bytes, used, f);
    alone_ = used == bytes.size();
    if (used > 0)
      came_ = came.arrivalOf(
          used);  // where none is used, the frame stood in a segment that came before
    if (got == Framed::partial) return false;
    if (got == Framed::bad) {
      log::line("client_protocol_error", "what=\"%s\"", framing_.why());
      endWith(0, cql::kProtocolError, framing_.why());
      return true;
    }
    if (f.answer || !cql::askable(f.opcode)) {
      log::line("client_protocol_error", "what=opcode");
      endWith(f.stream, cql::kProtocolError, "no request that is known");
    } else if (state_ != State::fresh && f.version != version_) {
      endWith(f.stream, cql::kProtocolError, "another version than the connection began with");
    } else if (f.stream < 0) {
      endWith(f.stream, cql::kProtocolError, "a negative stream");
    } else if (open_.contains(f.stream)) {
      // A response on this stream could be taken for either statement's.
      log::line("client_protocol_error", "what=stream");
      endWith(f.stream, cql::kProtocolError, "a stream that is still open");
    } else {
      handle(f);
    }
    return true;
  }

  void disconnect(client::DisconnectReason why) override {
    switch (why) {
      case client::DisconnectReason::atCapacity:
        return endWith(0, cql::kOverloaded, "too many clients");
      case client::DisconnectReason::memoryLimit:
        return endWith(0, cql::kOverloaded, "no memory is left for so long a message");
      case client::DisconnectReason::startupTimeout:
        return endWith(0, cql::kProtocolError, "no STARTUP in time");
      case client::DisconnectReason::messageTimeout:
        return endWith(0, cql::kProtocolError, "a message that was not finished in time");
    }
  }

  void onCompleted(int requestId, request::Response answer, int by,
                   std::optional<WallTime> position) override {
    Pending pending = close(requestId);
    auto flags = static_cast<std::uint8_t>(answer.frameHeader >> 8);
    auto opcode = static_cast<Opcode>(answer.frameHeader & 0xff);
    if (opcode == Opcode::result)
      answer.bytes = rewritten(flags, std::move(answer.bytes), pending, by, position);
    reply(pending, flags, requestId, opcode, answer.bytes);
  }

  void onRejected(int requestId, Duration retryAfter) override {
    Pending pending = close(requestId);
    std::string body;
    if (retryAfter > Duration{})
      cql::addBytesMap(body, {{"retry_after_ms", std::to_string(retryAfter.us / 1000)}});
    body += cql::errorBody(cql::kOverloaded, "rejected: trying again does no harm");
    reply(pending, retryAfter > Duration{} ? cql::kPayload : 0, requestId, Opcode::error, body);
  }

  // Not Overloaded or Unavailable, which tell a client that a retry is harmless: the statement may
  // have run. A write time-out of any type promises nothing.
  void onAborted(int requestId) override {
    Pending p = close(requestId);
    bool read = p.kind == cql::Kind::read || p.preparing;
    std::string body = cql::errorBody(read ? cql::kReadTimeout : cql::kWriteTimeout,
                                      "aborted: it may have run");
    cql::addShort(body, p.consistency);
    cql::addInt(body, 0), cql::addInt(body, 1);
    if (read)
      cql::addByte(body, 0);
    else
      cql::addString(body, writeTypeOf(p));
    if (!read && version_ >= 5 && p.kind == cql::Kind::conditional) cql::addShort(body, 0);
    reply(p, 0, requestId, Opcode::error, body);
  }

  void tellDown() {
    const sockaddr_in& here = door_.config.listen;
    tell(cql::statusEvent("DOWN", here.sin_addr.s_addr, ntohs(here.sin_port)));
  }
  void tell(std::string_view event) { put(0, -1, Opcode::event, event); }

 private:
  enum class State { fresh, asked, ready };  // `asked`: for its password
  struct Open {
    int statement = -1;
    Pending pending;
  };

  std::string framed(std::uint8_t flags, int stream, Opcode o, std::string_view body) {
    std::string bytes;
    framing_.put(bytes, true, version_, flags, static_cast<std::int16_t>(stream), o, body);
    return bytes;
  }
  void put(std::uint8_t flags, int stream, Opcode o, std::string_view body) {
    line_.send(framed(flags, stream, o, body));
  }
  void reply(const Pending& to, std::uint8_t flags, int stream, Opcode o, std::string_view body) {
    line_.sendResponse(framed(flags, stream, o, body), to.until);
  }
  void endWith(int stream, std::int32_t code, std::string_view text) {
    put(0, stream, Opcode::error, cql::errorBody(code, text));
    line_.closeAfterFlush();
  }

  // Nothing but this stream is wrong.
  void refuse(int stream, std::string_view text) {
    put(0, stream, Opcode::error, cql::errorBody(cql::kProtocolError, text));
  }

  // A driver that begins with another version is told the highest one, in that version, and comes
  // again with it.
  bool versionMayBe(std::string_view bytes) {
    if (bytes.empty()) return true;
    int version = bytes[0] & 0x7f;
    int highest = door_.config.v5 ? 5 : 4;
    if (version >= cql::kLowest && version <= highest) return true;
    if (bytes.size() < cql::kHeader && version >= 3) return true;  // its stream is to come
    Frame f;
    cql::frame(bytes, SIZE_MAX, f);
    version_ = highest;
    log::line("client_version", "version=%d", version);
    endWith(version >= 3 ? f.stream : 0, cql::kProtocolError,
            "Invalid or unsupported protocol version (" + std::to_string(version) +
                "); supported versions are (" + (highest == 5 ? "4/v4, 5/v5" : "4/v4") + ")");
    return false;
  }

  void handle(const Frame& f) {
    if (state_ == State::fresh) version_ = f.version;
    switch (f.opcode) {
      case Opcode::options:
        return put(0, f.stream, Opcode::supported,
                   cql::multimapBody({{"CQL_VERSION", {"3.4.5"}},
                                      {"COMPRESSION", {"lz4"}},
                                      {"PROTOCOL_VERSIONS",
                                       door_.config.v5 ? std::vector<std::string>{"4/v4", "5/v5"}
                                                       : std::vector<std::string>{"4/v4"}}}));
      case Opcode::startup:
        return start(f);
      case Opcode::authResponse:
        return authenticate(f);
      default:
        break;
    }
    if (state_ != State::ready)
      return endWith(f.stream, cql::kProtocolError, "STARTUP comes first");
    if (f.opcode == Opcode::reg) return listen(f);
    ask(f);
  }

  void start(const Frame& f) {
    cql::Start s;
    if (state_ != State::fresh) return refuse(f.stream, "a second STARTUP");
    if (!cql::readStart(f.body, s))
      return endWith(f.stream, cql::kProtocolError, "a STARTUP that can't be read");
    if (!s.compression.empty() && s.compression != "lz4")
      return endWith(f.stream, cql::kProtocolError, "a compression that isn't offered");
    bool asks = !door_.config.user.empty();
    std::string body;
    if (asks) cql::addString(body, kAuthenticator);
    put(0, f.stream, asks ? Opcode::authenticate : Opcode::ready, body);
    state_ = asks ? State::asked : State::ready;
    if (!s.compression.empty()) framing_.compress();
    if (version_ >= 5) framing_.segments();
  }

  void authenticate(const Frame& f) {
    if (state_ != State::asked) return refuse(f.stream, "nobody asked for a password");
    cql::Cursor c(f.body);
    std::string_view token = c.bytes().value_or(std::string_view{});
    // SASL PLAIN: an identity to act for, the user and the password, set apart by zero bytes.
    std::size_t first = token.find('\0');
    std::size_t second = first == std::string_view::npos ? first : token.find('\0', first + 1);
    bool good = c.ended() && second != std::string_view::npos;
    std::string_view user = good ? token.substr(first + 1, second - first - 1) : std::string_view{};
    std::string_view password = good ? token.substr(second + 1) : std::string_view{};
    bool same = sameSecret(user, door_.config.user) & sameSecret(password, door_.config.password);
    if (!good || !same) {
      log::line("client_refused", "what=password");
      return endWith(f.stream, cql::kBadCredentials, "user or password are not those set up here");
    }
    std::string body;
    cql::addInt(body, -1);
    put(0, f.stream, Opcode::authSuccess, body);
    state_ = State::ready;
  }

  void listen(const Frame& f) {
    std::vector<std::string_view> events;
    if (!cql::readRegister(f.body, events))
      return refuse(f.stream, "a REGISTER that can't be read");
    bool status = false, schema = false;
    for (std::string_view e : events) {
      if (e != "TOPOLOGY_CHANGE" && e != "STATUS_CHANGE" && e != "SCHEMA_CHANGE")
        return refuse(f.stream, "an event that isn't known");
      status |= e == "STATUS_CHANGE", schema |= e == "SCHEMA_CHANGE";
    }
    auto join = [&](std::vector<Session*>& those) {
      if (std::find(those.begin(), those.end(), this) == those.end()) those.push_back(this);
    };
    if (status) join(door_.forStatus);
    if (schema) join(door_.forSchema);
    put(0, f.stream, Opcode::ready, {});
  }

  void ask(const Frame& f) {
    // As with PostgreSQL, a client that sends its next request at once would meet the end of the
    // connection with it.
    if (alone_ && open_.empty() && !door_.handler.acceptsReceivedAt(came_)) {
      put(0, f.stream, Opcode::error,
          cql::errorBody(cql::kBootstrapping, "shutting down: ask another"));
      return line_.closeForDrain();
    }
    DecodeResult o = door_.decoder.decode(f, keyspace_, door_.scheduler.now(),
                                          door_.scheduler.wallClock());
    if (!o.useKeyspace.empty()) keyspace_ = o.useKeyspace;
    if (!o.statement) return put(0, f.stream, o.opcode, o.body);
    o.statement->receivedAt = came_;
    o.statement->version = door_.versions[version_ - cql::kLowest];
    // It may be answered at once, before its index is known.
    o.pending.until = o.statement->receivedAt + o.statement->timeout;
    open_[f.stream].pending = std::move(o.pending);
    int statement = door_.handler.admit(std::move(*o.statement), *this, f.stream);
    if (auto it = open_.find(f.stream); statement >= 0 && it != open_.end())
      it->second.statement = statement;
  }

  Pending close(int requestId) {
    auto it = open_.find(requestId);
    Pending p = std::move(it->second.pending);
    open_.erase(it);
    return p;
  }

  // What the client is to see otherwise: a paging state of the front's, an id of the front's.
  std::string rewritten(std::uint8_t flags, std::string bytes, Pending& pending, int by,
                        std::optional<WallTime> position) {
    Frame f;
    f.version = version_, f.flags = flags, f.opcode = Opcode::result, f.body = bytes;
    cql::Reply r;
    if (!cql::readReply(f, r)) return bytes;  // it was read before: can't be
    auto with = [&](std::size_t at, std::size_t span, const std::string& put) {
      return bytes.substr(0, at) + put + bytes.substr(at + span);
    };
    if (r.kind == cql::ResultKind::rows && r.pageState) {
      std::string put;
      cql::addBytes(put, encodePagingState({hashOf(door_.fleet.storeId(by)), position,
                                            std::string(*r.pageState)}));
      return with(r.pageAt, r.pageSpan, put);
    }
    if (r.kind == cql::ResultKind::schemaChange) {
      // Behind the kind it is worded as the event is.
      std::string event;
      cql::addString(event, "SCHEMA_CHANGE");
      event += std::string_view(bytes).substr(r.bodyAt + 4);
      door_.texts.onSchemaChanged();
      door_.schemaChanged(event);
    }
    if (r.kind == cql::ResultKind::prepared && pending.preparing) {
      std::string put;
      cql::addShortBytes(put, pending.preparing->id);
      std::string whole = with(r.idAt, 2 + r.id.size(), put);
      PreparedRef p = door_.texts.insert(std::move(*pending.preparing));
      std::size_t before = PreparedTexts::costOf(*p);
      if (p->read.table.empty()) p->read.keyspace = r.keyspace, p->read.table = r.table;
      p->resultBodies[version_ - cql::kLowest] = whole.substr(r.bodyAt);
      door_.texts.onGrown(p, before);
      return whole;
    }
    return bytes;
  }

  ClientProtocol& door_;
  client::ClientChannel& line_;
  cql::Framing framing_;
  State state_ = State::fresh;
  int version_ = cql::kLowest;
  std::string keyspace_;
  TimePoint came_;            // the bytes that were taken last
  bool alone_ = false;        // nothing has come behind them
  std::map<int, Open> open_;  // by stream
};

std::unique_ptr<client::ClientCodec> ClientProtocol::newCodec(client::ClientChannel& line) {
  return std::make_unique<Session>(*this, line);
}

std::size_t ClientProtocol::maxMessageBytes() const {
  return std::max(config.mostBody + cql::kHeader, cql::kMostSegment + 16);
}

void ClientProtocol::leaving() {
  for (Session* s : forStatus) s->tellDown();
}

void ClientProtocol::schemaChanged(std::string_view event) {
  for (Session* s : forSchema) s->tell(event);
}

}  // namespace reedchute::protocols::cassandra
