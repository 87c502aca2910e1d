// The codec of the Cassandra native protocol, without sockets, on whole, split, corrupted and
// inconsistent input.
#include <cstdio>
#include <cstring>
#include <random>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "codec/cql/request.h"
#include "codec/cql/text.h"
#include "cql_segments.h"
#include "trace.h"

using namespace reedchute::cql;
using reedchute::test::Case;
using reedchute::test::made;
using reedchute::test::runCase;
using reedchute::test::segment;

namespace {

std::string queryBody(std::string_view text, int version, std::uint32_t flags = 0,
                      std::string_view tail = {}) {
  std::string body;
  addLongString(body, text);
  addShort(body, 1);
  if (version >= 5)
    addInt(body, static_cast<std::int32_t>(flags));
  else
    addByte(body, static_cast<std::uint8_t>(flags));
  return body + std::string(tail);
}

std::string describeFrame(const Frame& f) {
  return std::string(f.isResponse ? "answer" : "request") + " v" + std::to_string(f.version) + " " +
         nameOf(f.opcode) + " stream " + std::to_string(f.stream) + " body " +
         std::to_string(f.body.size());
}

std::vector<std::string_view> splitInPieces(std::string_view bytes, std::size_t step) {
  std::vector<std::string_view> pieces;
  for (std::size_t k = 0; k < bytes.size(); k += step) pieces.push_back(bytes.substr(k, step));
  return pieces;
}

// Reads all frames from input that arrives in `pieces`. The result lists them and ends with the
// reason why reading stopped, or with a note of unread bytes. Adds the bodies' hashes to `bodies`.
std::string framesOf(Framing framing, const std::vector<std::string_view>& pieces,
                     std::size_t* bodies = nullptr) {
  std::string output, in;
  for (std::string_view piece : pieces) {
    in += piece;
    for (;;) {
      Frame f;
      std::size_t used = 0;
      Framed got = framing.next(in, used, f);
      if (got == Framed::whole) {
        output += describeFrame(f) + "\n";
        if (bodies) *bodies += std::hash<std::string_view>{}(f.body);
      }
      in.erase(0, used);
      if (got == Framed::bad) return output + "bad: " + framing.why() + "\n";
      if (got == Framed::partial) break;
    }
  }
  return output + (in.empty() ? "" : "left over\n");
}

Framing framingOf(bool segments, bool compress) {
  Framing f(1 << 20);
  if (compress) f.enableCompression();
  if (segments) f.enableSegments();
  return f;
}

std::string encodeStream(const Framing& f, int version) {
  std::string out;
  std::string text(300, 'a');
  f.put(out, false, version, 0, 1, Opcode::query, queryBody("SELECT " + text + " FROM t", version));
  f.put(out, false, version, 0, 32767, Opcode::query, queryBody("SELECT b FROM t", version));
  std::string randomBytes;
  std::minstd_rand generator(7);
  for (int k = 0; k < 300'000; ++k) randomBytes.push_back(static_cast<char>(generator() >> 8));
  f.put(out, true, version, 0, 2, Opcode::result, randomBytes);
  f.put(out, false, version, 0, 3, Opcode::options, {});
  return out;
}

void frames() {
  for (bool segments : {false, true})
    for (bool compress : {false, true}) {
      int version = segments ? 5 : 4;
      std::string bytes = encodeStream(framingOf(segments, compress), version);
      std::printf("-- version %d, %s\n", version, compress ? "compressed" : "plain");
      std::size_t first = 0;
      std::string output = framesOf(framingOf(segments, compress), {bytes}, &first);
      std::printf("%s", output.c_str());
      int same = 0, all = 0;
      for (std::size_t step : {1, 2, 3, 5, 7, 64, 1000, 4096, 100'000, 131'073}) {
        std::size_t bodies = 0;
        ++all;
        same += framesOf(framingOf(segments, compress), splitInPieces(bytes, step), &bodies) ==
                    output &&
                bodies == first;
      }
      std::printf("the same in pieces: %d of %d\n", same, all);
    }
}

// Splits a short stream in two at every byte: the frames read must be the same.
void splits() {
  for (bool segments : {false, true})
    for (bool compress : {false, true}) {
      Framing f = framingOf(segments, compress);
      std::string bytes;
      f.put(bytes, false, 4, 0, 1, Opcode::query, queryBody(std::string(200, 'q'), 4));
      f.put(bytes, false, 4, 0, 2, Opcode::query, queryBody("SELECT 1", 4));
      std::string_view all = bytes;
      std::string output = framesOf(f, {all});
      std::size_t same = 0;
      for (std::size_t at = 1; at < bytes.size(); ++at)
        same += framesOf(framingOf(segments, compress), {all.substr(0, at), all.substr(at)}) ==
                output;
      std::printf(
          "%s %s: %s\n", segments ? "segments" : "bare", compress ? "lz4" : "plain",
          same == bytes.size() - 1 ? "every split gives the same" : "a split gives something else");
    }
}

// Flips each bit of a short segmented stream. Every flip must be rejected; flips that pass
// unnoticed, or leave the reader waiting for more bytes, are counted.
void checksums() {
  std::printf("crc24 of 'reedchute' %06x, crc32 %08x\n", crc24("reedchute"), crc32("reedchute"));
  for (bool compress : {false, true}) {
    Framing f = framingOf(true, compress);
    std::string bytes;
    f.put(bytes, false, 5, 0, 1, Opcode::query, queryBody(std::string(200, 'q'), 5));
    std::size_t rejected = 0, waiting = 0, passed = 0;
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
      std::string corrupted = bytes;
      corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ (1 << bit % 8));
      std::string output = framesOf(framingOf(true, compress), {corrupted});
      if (output.find("bad: ") != std::string::npos)
        ++rejected;
      else if (output.find("request") == std::string::npos)
        ++waiting;
      else
        ++passed;
    }
    std::printf("%s: turned bits found %s, passed %zu, left waiting %zu\n",
                compress ? "lz4" : "plain", rejected == bytes.size() * 8 ? "all" : "not all",
                passed, waiting);
  }
}

void inconsistentInput() {
  auto one = [](const char* what, Framing f, const std::string& bytes) {
    std::printf("%s: %s", what, framesOf(std::move(f), {bytes}).c_str());
  };
  std::string negativeLength =
      made([](auto& b) { addHeader(b, false, 4, 0, 1, Opcode::query, 0xffffffff); });
  one("a negative length", framingOf(false, false), negativeLength + "x");
  std::string hugeLength =
      made([](auto& b) { addHeader(b, false, 4, 0, 1, Opcode::query, 0x7fffffff); });
  one("a huge length", framingOf(false, false), hugeLength);
  one("cut short", framingOf(false, false), hugeLength.substr(0, 5));
  std::string packed = made([](auto& b) { addInt(b, 100), b += "\x10x"; });
  one("compressed though none was agreed", framingOf(false, false),
      encodeFrame(false, 4, kCompressed, 1, Opcode::query, packed));
  one("a block shorter than stated", framingOf(false, true),
      encodeFrame(false, 4, kCompressed, 1, Opcode::query, packed));
  std::string overstated = made([](auto& b) { addInt(b, 1 << 20), b += "abcd"; });
  one("a size that no block grows to", framingOf(false, true),
      encodeFrame(false, 4, kCompressed, 1, Opcode::query, overstated));
  std::string negativeSize = made([](auto& b) { addInt(b, -5); });
  one("a negative size", framingOf(false, true),
      encodeFrame(false, 4, kCompressed, 1, Opcode::query, negativeSize));
  std::string emptyBody = made([](auto& b) { addInt(b, 0); });
  one("an empty body, compressed", framingOf(false, true),
      encodeFrame(false, 4, kCompressed, 1, Opcode::options, emptyBody));
  // Segments with correct checksums and invalid contents.
  std::string f = encodeFrame(false, 5, 0, 1, Opcode::query, queryBody("SELECT 1", 5));
  one("two frames in one segment", framingOf(true, false), segment(f + f, true));
  one("a part of a frame in a segment of its own", framingOf(true, false),
      segment(f.substr(0, 12), true));
  one("a frame over two segments", framingOf(true, false),
      segment(f.substr(0, 4), false) + segment(f.substr(4), false));
  one("a segment of its own in the middle", framingOf(true, false),
      segment(f.substr(0, 4), false) + segment(f, true));
  one("more behind the end of a split frame", framingOf(true, false),
      segment(f.substr(0, 4), false) + segment(f.substr(4) + f, false));
  one("an empty segment", framingOf(true, false), segment("", true));
}

void texts() {
  for (const char* text : {
           "SELECT a, b FROM weather.history WHERE station = 'x' AND day > ?",
           "select * from \"Weather\".\"Hi\"\"st\" limit 3",
           "SELECT now() FROM system.local",
           "INSERT INTO history (station, day, value) VALUES ('it''s', ?, :v) USING TTL 5",
           "INSERT INTO history (a) VALUES (now())",
           "INSERT INTO history (a) VALUES (UUID ())",
           "INSERT INTO history (a) VALUES (toTimestamp(now()))",
           "INSERT INTO history (a) VALUES (intAsBlob(3))",
           "INSERT INTO history (a) VALUES (mine.own(3))",
           "INSERT INTO history (a) VALUES (\"Own\"(3))",
           "INSERT INTO history (a) VALUES (values(3))",
           "INSERT INTO \"H\" (a) VALUES (1)",
           "UPDATE history SET a = key(3) WHERE (k) IN ((1), (2))",
           "INSERT INTO history (a) VALUES (-5, - 3)",
           "INSERT INTO history (a) VALUES (1) IF NOT EXISTS",
           "INSERT INTO history JSON '{\"a\": \"now()\"}'",
           "UPDATE weather.history USING TIMESTAMP 5 SET a = 'x + 1', b = -3 WHERE k = 1",
           "UPDATE history SET n = n + 1 WHERE k = 1",
           "UPDATE history SET n += 1 WHERE k = 1",
           "UPDATE history SET n = n + ? WHERE k = 1",
           "UPDATE history SET l = l + ['x'] WHERE k = 1",
           "UPDATE history SET l = ['x'] + l WHERE k = 1",
           "UPDATE history SET l = l - ['x'] WHERE k = 1",
           "UPDATE history SET s = s + {'x'}, m = m - {'y'} WHERE k = 1",
           "UPDATE history SET m['a'] = 3 WHERE k = 1",
           "UPDATE history SET a = 3 WHERE k = 8b1f3c2a-0d4e-11ee-9f00-0242ac120002 IF a = 2",
           "UPDATE history SET a = 3 WHERE k = 1 IF EXISTS",
           "DELETE FROM history WHERE k = 1",
           "DELETE l[2], m['a'] FROM history WHERE k = 1",
           "DELETE a FROM history WHERE k = 1 IF a = 3",
           "BEGIN BATCH INSERT INTO a.one (x) VALUES (1); UPDATE two SET y = 2 WHERE z = 3; APPLY "
           "BATCH;",
           "BEGIN UNLOGGED BATCH UPDATE two SET y = y + 2 WHERE z = 3 APPLY BATCH",
           "BEGIN COUNTER BATCH UPDATE c SET n = n + 1 WHERE k = 1; APPLY BATCH",
           "BEGIN BATCH INSERT INTO one (x) VALUES (1) IF NOT EXISTS; APPLY BATCH",
           "BEGIN BATCH INSERT INTO one (x) VALUES (1);",
           "BEGIN BATCH APPLY BATCH; SELECT 1",
           "USE \"Weather\"",
           "CREATE TABLE IF NOT EXISTS weather.t (a int PRIMARY KEY)",
           "CREATE TABLE t (a int PRIMARY KEY)",
           "DROP KEYSPACE weather",
           "ALTER TABLE weather.t ADD b int",
           "TRUNCATE TABLE weather.t",
           "-- nothing\n /* at */ // all",
           "SELECT a FROM b; DELETE FROM b WHERE a = 1",
           "SELECT a FROM b ;; -- end",
           "SELECT $$it's; here$$ FROM b",
           "SELECT 'open FROM b",
           "SELECT (a FROM b",
           "SELECT a) FROM b",
           "SELECT a /* open",
           "SELECT",
           "",
       }) {
    ParsedText r;
    static constexpr const char* kStates[] = {"", "empty", "several", "unclosed"};
    TextState state = readText(text, r);
    std::string shown(text);
    for (char& c : shown)
      if (c == '\n') c = ' ';
    std::printf("%s\n  ", shown.c_str());
    if (state != TextState::good)
      std::printf("%s\n", kStates[static_cast<int>(state)]);
    else
      std::printf("%s, %s, '%s'.'%s'%s, markers %d\n", nameOf(r.kind), nameOf(r.nature),
                  r.keyspace.c_str(), r.table.c_str(), r.isSystemTable ? " (system)" : "",
                  r.markers);
  }
}

std::string describeRequest(const Frame& f) {
  StatementRequest a;
  const char* why = "";
  if (!readStatementRequest(f, 4, a, why)) return std::string("bad: ") + why;
  std::string output = consistencyName(a.parameters.consistency);
  if (f.opcode == Opcode::prepare) output = "prepare";
  if (!a.text.empty()) output += " '" + std::string(a.text) + "'";
  if (!a.id.empty()) output += " id " + std::string(a.id) + " at " + std::to_string(a.idOffset);
  if (!a.resultId.empty()) output += " result id " + std::string(a.resultId);
  if (a.parameters.values) output += " values " + std::to_string(a.parameters.values);
  if (a.parameters.pageSize) output += " page " + std::to_string(a.parameters.pageSize);
  if (a.parameters.pageState)
    output += " state '" + std::string(*a.parameters.pageState) + "' at " +
              std::to_string(a.parameters.pageStateOffset) + "+" +
              std::to_string(a.parameters.pageStateSize);
  if (!a.parameters.keyspace.empty()) output += " keyspace " + std::string(a.parameters.keyspace);
  for (const BatchStatement& p : a.batchStatements)
    output += std::string(p.isPrepared ? " [id " : " [") + std::string(p.text) + "]";
  for (const auto& [name, value] : a.payload)
    output += " " + std::string(name) + "=" + std::string(value);
  return output;
}

Frame frameOf(Opcode o, int version, std::string_view body, std::uint8_t flags = 0) {
  Frame f;
  f.opcode = o, f.version = version, f.body = body, f.flags = flags;
  return f;
}

std::vector<std::string> requestBodies(int version, std::vector<Opcode>& opcodes,
                                       std::vector<std::uint8_t>& flags) {
  std::vector<std::string> bodies;
  auto add = [&](Opcode o, std::string body, std::uint8_t flag = 0) {
    opcodes.push_back(o), flags.push_back(flag), bodies.push_back(std::move(body));
  };
  std::string rest = queryBody("", version).substr(4);
  std::string tail = made([](auto& b) {
    addShort(b, 2), addBytes(b, "ab"), addInt(b, -1);
    addInt(b, 100), addBytes(b, "state"), addShort(b, 8), addLong(b, 77);
  });
  add(Opcode::query, queryBody("SELECT", version, 0x3d, tail));
  std::string named = made([](auto& b) { addShort(b, 1), addString(b, "n"), addInt(b, -2); });
  add(Opcode::query, queryBody("SELECT", version, 0x41, named));
  std::string payload = made([](auto& b) { addBytesMap(b, {{"c", "any"}, {"k", ""}}); });
  add(Opcode::query, payload + queryBody("SELECT", version), kPayload);
  add(Opcode::prepare, made([&](auto& b) {
        addLongString(b, "SELECT ?");
        if (version >= 5) addInt(b, 1), addString(b, "ks");
      }));
  add(Opcode::execute, made([&](auto& b) {
        addShortBytes(b, "ID");
        if (version >= 5) addShortBytes(b, "RID");
        b += rest;
      }));
  add(Opcode::batch, made([&](auto& b) {
        addByte(b, 1), addShort(b, 2);
        addByte(b, 0), addLongString(b, "INSERT"), addShort(b, 1), addBytes(b, "v");
        addByte(b, 1), addShortBytes(b, "ID"), addShort(b, 0);
        b += rest;
      }));
  return bodies;
}

// Whether `read` rejects every proper prefix of a body, and the body with one byte appended.
bool rejectsTruncatedAndExtended(const std::string& body,
                                 const std::function<std::string(std::string_view)>& read) {
  bool allRejected = read(body + "x").starts_with("bad");
  for (std::size_t n = 0; n < body.size(); ++n)
    allRejected &= read(std::string_view(body).substr(0, n)).starts_with("bad");
  return allRejected;
}

void requests() {
  for (int version : {4, 5}) {
    std::printf("-- version %d\n", version);
    std::vector<Opcode> opcodes;
    std::vector<std::uint8_t> flags;
    std::vector<std::string> bodies = requestBodies(version, opcodes, flags);
    bool allRejected = true;
    for (std::size_t k = 0; k < bodies.size(); ++k) {
      std::printf("%s: %s\n", nameOf(opcodes[k]),
                  describeRequest(frameOf(opcodes[k], version, bodies[k], flags[k])).c_str());
      allRejected &= rejectsTruncatedAndExtended(bodies[k], [&](std::string_view b) {
        return describeRequest(frameOf(opcodes[k], version, b, flags[k]));
      });
    }
    std::printf("cut or lengthened: %s found\n", allRejected ? "all" : "not all");
  }
  std::string many = made([](auto& b) { addByte(b, 0), addShort(b, 5); });
  std::printf("a batch of five where four are allowed: %s\n",
              describeRequest(frameOf(Opcode::batch, 4, many)).c_str());
  std::printf("a batch of type 3: %s\n",
              describeRequest(frameOf(Opcode::batch, 4, std::string("\3\0\0\0\1\0", 6))).c_str());
  std::printf("an unknown flag: %s\n",
              describeRequest(frameOf(Opcode::query, 4, queryBody("S", 4, 0x80))).c_str());
  std::printf("a value of length -3: %s\n",
              describeRequest(frameOf(Opcode::query, 4,
                                      queryBody("S", 4, 1, std::string("\0\1\xff\xff\xff\xfd", 6))))
                  .c_str());
  std::printf("nothing to ask: %s\n", describeRequest(frameOf(Opcode::ready, 4, "")).c_str());
}

std::string describeReply(const Frame& f) {
  Reply r;
  if (!readReply(f, r)) return "bad";
  std::string output;
  if (f.opcode == Opcode::error) {
    char code[12];
    std::snprintf(code, sizeof code, "%04x", static_cast<unsigned>(r.code));
    output = std::string("error ") + code + " '" + std::string(r.text) + "' " +
             std::string(r.writeType) + std::string(r.unpreparedId);
  } else {
    output = "kind " + std::to_string(static_cast<int>(r.kind)) + " " + std::string(r.keyspace) +
             "." + std::string(r.table) + " rows " + std::to_string(r.rows) + " of " +
             std::to_string(r.columns);
    if (r.pageState)
      output += " state '" + std::string(*r.pageState) + "' at " +
                std::to_string(r.pageStateOffset);
    if (!r.id.empty())
      output += " id " + std::string(r.id) + " markers " + std::to_string(r.markers);
  }
  for (const auto& [name, value] : r.payload)
    output += " " + std::string(name) + "=" + std::string(value);
  return output;
}

std::string metadata(std::int32_t flags, const std::string& state, const std::string& columns,
                     std::int32_t n) {
  std::string m;
  addInt(m, flags), addInt(m, n);
  if (flags & 2) addBytes(m, state);
  if (flags & 1) addString(m, "ks"), addString(m, "tab");
  return m + columns;
}

void replies() {
  bool allRejected = true;
  auto check = [&](Opcode o, const std::string& body) {
    std::printf("%s\n", describeReply(frameOf(o, 4, body)).c_str());
    allRejected &= rejectsTruncatedAndExtended(
        body, [&](std::string_view b) { return describeReply(frameOf(o, 4, b)); });
  };
  auto checkError = [&](std::int32_t code, const char* text, auto&& put) {
    check(Opcode::error, errorBody(code, text) + made(put));
  };
  std::string one = made([](auto& b) { addInt(b, 1); });
  check(Opcode::result, one);
  std::string col = made([](auto& b) { addString(b, "a"), addShort(b, 0x000d); });
  check(Opcode::result, made([&](auto& b) {
          addInt(b, 2), b += metadata(3, "next", col, 1);
          addInt(b, 2), addBytes(b, "x"), addInt(b, -1);
        }));
  std::string nested = made([](auto& b) {
    addString(b, "a");
    for (int type : {0x21, 0x0d, 0x31, 2, 0x09, 0x30})
      addShort(b, static_cast<std::uint16_t>(type));
    addString(b, "k"), addString(b, "u"), addShort(b, 1), addString(b, "f"), addShort(b, 0x20),
        addShort(b, 0x0b);
  });
  check(Opcode::result,
        made([&](auto& b) { addInt(b, 2), b += metadata(1, "", nested, 1), addInt(b, 0); }));
  check(Opcode::result, setKeyspaceBody("ks"));
  std::string markers = metadata(1, "", col, 1);
  check(Opcode::result, made([&](auto& b) {
          addInt(b, 4), addShortBytes(b, "ID"), b += markers.substr(0, 8);
          addInt(b, 1), addShort(b, 0), b += markers.substr(8) + metadata(4, "", "", 1);
        }));
  check(Opcode::result, made([](auto& b) {
          addInt(b, 5), addString(b, "CREATED"), addString(b, "TABLE"), addString(b, "ks"),
              addString(b, "t");
        }));
  checkError(kOverloaded, "busy", [](auto&) {});
  checkError(kWriteTimeout, "late",
             [](auto& b) { addShort(b, 1), addInt(b, 0), addInt(b, 1), addString(b, "BATCH"); });
  checkError(kUnprepared, "what", [](auto& b) { addShortBytes(b, "ID"); });
  checkError(kWriteFailure, "f", [](auto& b) {
    addShort(b, 1), addInt(b, 0), addInt(b, 1), addInt(b, 1), addString(b, "SIMPLE");
  });
  std::printf("cut or lengthened: %s found\n", allRejected ? "all" : "not all");
  std::string payload = made([](auto& b) { addBytesMap(b, {{"server_role", "writer"}}); });
  std::string traced = std::string(16, 't') + std::string("\0\1\0\1w", 5) + payload + one;
  std::printf(
      "traced, warned, with a payload: %s\n",
      describeReply(frameOf(Opcode::result, 4, traced, kTracing | kWarnings | kPayload)).c_str());
  std::string deeplyNested = made([](auto& b) {
    addInt(b, 2), addInt(b, 1), addInt(b, 1), addString(b, "k"), addString(b, "t"),
        addString(b, "c");
    for (int k = 0; k < 1000; ++k) addShort(b, 0x20);
  });
  std::printf("a list of lists without end: %s\n",
              describeReply(frameOf(Opcode::result, 4, deeplyNested)).c_str());
  std::string empty =
      made([](auto& b) { addInt(b, 2), addInt(b, 4), addInt(b, 0), addInt(b, 0x7fffffff); });
  std::printf("two thousand million rows of no column: %s\n",
              describeReply(frameOf(Opcode::result, 4, empty)).c_str());
  std::string ownReply = rowsBody("system", "local", {{"key"}, {"tokens", Type::setOfText}},
                                  {{"local", textSet({"1"})}});
  std::printf("one of ours: %s\n", describeReply(frameOf(Opcode::result, 4, ownReply)).c_str());
}

// Randomly corrupts valid input of every kind. Nothing may crash or read out of bounds, which the
// sanitizers check.
void randomCorruption() {
  std::ranlux24_base generator(20261201);
  std::size_t read = 0, refused = 0;
  for (int round = 0; round < 40'000; ++round) {
    int version = round % 2 ? 4 : 5;
    std::vector<Opcode> opcodes;
    std::vector<std::uint8_t> flags;
    std::vector<std::string> bodies = requestBodies(version, opcodes, flags);
    std::size_t k = generator() % bodies.size();
    std::string body = bodies[k];
    for (unsigned n = generator() % 4; n-- > 0 && !body.empty();)
      body[generator() % body.size()] = static_cast<char>(generator());
    if (generator() % 4 == 0) body.resize(generator() % (body.size() + 1));
    StatementRequest a;
    const char* why = "";
    ++(readStatementRequest(frameOf(opcodes[k], version, body, flags[k]), 4, a, why) ? read
                                                                                     : refused);
    Reply r;
    readReply(frameOf(Opcode::result, version, body, flags[k]), r);
    ParsedText t;
    readText(body, t);
    for (bool segments : {false, true}) {
      Framing f = framingOf(segments, round % 3 == 0);
      std::string bytes;
      f.put(bytes, false, version, 0, 1, opcodes[k], body);
      bytes[generator() % bytes.size()] = static_cast<char>(generator());
      framesOf(f, splitInPieces(bytes, 1 + generator() % bytes.size()));
    }
  }
  std::printf("%s\n", read > 1000 && refused > 1000 ? "some read, some refused, none beyond its end"
                                                    : "too few of a kind");
}

// Guards against connections that keep the memory of their longest message while they are idle: a
// buffer that is only emptied keeps it. 300 KB are received in pieces of 16 KB.
void releasedBuffers() {
  constexpr std::size_t kPieceBytes = 16 * 1024;
  constexpr std::size_t kMaxIdleBytes = 16 * 1024;
  for (bool segments : {false, true})
    for (bool compress : {false, true}) {
      Framing framing = framingOf(segments, compress);
      std::string bytes, in;
      framing.put(bytes, true, segments ? 5 : 4, 0, 1, Opcode::result, std::string(300'000, 'r'));
      std::size_t frames = 0;
      for (std::string_view piece : splitInPieces(bytes, kPieceBytes)) {
        in += piece;
        Framed got = Framed::whole;
        while (got == Framed::whole) {
          Frame frame;
          std::size_t used = 0;
          got = framing.next(in, used, frame);
          frames += got == Framed::whole;
          in.erase(0, used);
        }
      }
      std::printf("%s %s: frames %zu, keeps at most 16 KB: %s\n", segments ? "segments" : "bare",
                  compress ? "lz4" : "plain", frames,
                  framing.bufferedBytes() <= kMaxIdleBytes ? "yes" : "no");
    }
}

constexpr Case kCases[] = {
    {"cqlFrames", frames},       {"cqlBuffers", releasedBuffers}, {"cqlSplits", splits},
    {"cqlChecksums", checksums}, {"cqlLiars", inconsistentInput}, {"cqlTexts", texts},
    {"cqlRequests", requests},   {"cqlReplies", replies},         {"cqlNoise", randomCorruption}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}
