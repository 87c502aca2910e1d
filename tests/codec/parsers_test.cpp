// The parsers on valid input split at every position, and on malformed input. The expected results
// are in tests/traces.
#include <cstdio>
#include <cstring>
#include <random>
#include <string>
#include <vector>

#include "codec/http/response.h"
#include "codec/json/json.h"
#include "codec/pg/messages.h"
#include "codec/pg/statement.h"
#include "discovery/endpoint_list.h"
#include "request/store_report.h"
#include "trace.h"

using namespace reedchute;
using test::Case;
using test::runCase;

namespace {

std::string describe(const json::Value& v) {
  using Kind = json::Value::Kind;
  std::string s;
  switch (v.kind) {
    case Kind::null:
      return "null";
    case Kind::boolean:
      return v.boolean ? "true" : "false";
    case Kind::number:
      return v.text;
    case Kind::string:
      return "'" + v.text + "'";
    case Kind::array:
      for (const json::Value& item : v.items) s += (s.empty() ? "" : " ") + describe(item);
      return "[" + s + "]";
    default:
      for (const auto& [name, member] : v.members)
        s += (s.empty() ? "" : " ") + name + ":" + describe(member);
      return "{" + s + "}";
  }
}

// Prints the result of reading `text` whole, preceded by a line for each split position, and for
// reading byte by byte, where the result differs.
template <class Read>
void everySplit(const std::string& text, Read read) {
  std::string whole = read({text});
  for (std::size_t k = 0; k <= text.size(); ++k) {
    std::string splitResult = read({text.substr(0, k), text.substr(k)});
    if (splitResult != whole) std::printf("  cut at %zu: %s\n", k, splitResult.c_str());
  }
  std::vector<std::string> bytes;
  for (char c : text) bytes.emplace_back(1, c);
  if (read(bytes) != whole) std::printf("  byte by byte: %s\n", read(bytes).c_str());
  std::printf("%s\n", whole.c_str());
}

std::string readJson(const std::vector<std::string>& parts) {
  json::Reader r;
  bool good = true;
  for (const std::string& part : parts) good = good && r.feed(part);
  good = good && r.finish();
  return good ? describe(r.take()) : "bad: " + r.error();
}

void jsonReader() {
  for (const char* text :
       {R"({"a":[1,-2.5e3,true,false,null,"x\n\"\u00e4\ud83d\ude00"],"b":{}, "c":[] })",
        " 12 ",
        "\"\"",
        "[[[]]]",
        "",
        "{",
        "[1,]",
        "{\"a\"}",
        "{\"a\":1,}",
        "01",
        "1.",
        "-",
        "1e",
        "nul",
        "nulls",
        "\"\\q\"",
        "\"\\u12g4\"",
        "\"\\ud800\"",
        "\"\x01\"",
        "1 2",
        "{} x",
        "]",
        "1e999"}) {
    std::printf("%-72s ", text[0] == '"' && text[1] == '\x01' ? "(control character)" : text);
    everySplit(text, readJson);
  }
  std::printf("%-72s ", "65 levels deep");
  everySplit(std::string(65, '[') + std::string(65, ']'), readJson);
}

std::string readHttp(const std::vector<std::string>& parts, bool reset = false) {
  http::Response r(64);
  std::size_t used = 0;
  for (const std::string& part : parts) used += r.feed(part);
  if (!r.isComplete() && !r.hasFailed()) r.onConnectionClosed(reset);
  if (r.hasFailed()) return "bad: " + r.error();
  return std::to_string(r.status()) + " '" + r.body() + "' used " + std::to_string(used) +
         (r.isKeptAlive() ? ", stays open" : ", closes");
}

void httpReader() {
  const std::pair<const char*, std::string> cases[] = {
      {"by length, with the next behind it",
       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1"},
      {"no body", "HTTP/1.1 204 No Content\r\n\r\n"},
      {"chunked",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: "
       "x\r\n\r\n"},
      {"to the end of the connection", "HTTP/1.0 200 OK\r\n\r\nall of it"},
      {"an interim response first",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
      {"told to close", "HTTP/1.1 200 OK\r\nconnection: Close\r\ncontent-length: 0\r\n\r\n"},
      {"bare line ends", "HTTP/1.1 503 \nContent-Length: 2\n\nno"},
      {"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel"},
      {"a length that is none", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"},
      {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
      {"a chunk size that is none", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
      {"a chunk longer than its size",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n"},
      {"another protocol", "SSH-2.0-x\r\n\r\n"},
      {"a header without a colon", "HTTP/1.1 200 OK\r\nnonsense\r\n\r\n"},
      {"a body above the limit",
       "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x')},
      {"a head above the limit", "HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'x') + "\r\n\r\n"},
  };
  for (const auto& [name, text] : cases) {
    std::printf("%-36s ", name);
    if (text.size() < 1000)
      everySplit(text, [](const std::vector<std::string>& parts) { return readHttp(parts); });
    else
      std::printf("%s\n", readHttp({text}).c_str());
  }
  std::printf("%-36s ", "without a length, and then reset");
  everySplit("HTTP/1.0 200 OK\r\n\r\nall of it",
             [](const std::vector<std::string>& parts) { return readHttp(parts, true); });
  std::string interim;
  for (int k = 0; k < 9; ++k) interim += "HTTP/1.1 100 Continue\r\n\r\n";
  std::printf("%-36s ", "interim responses without end");
  everySplit(interim, [](const std::vector<std::string>& parts) { return readHttp(parts); });
}

std::string readMessages(const std::vector<std::string>& parts) {
  std::string in, output;
  for (const std::string& part : parts) {
    in += part;
    pg::Message m;
    for (;;) {
      pg::Framed f = pg::frame(in, 64, m);
      if (f == pg::Framed::bad) return output + "bad length";
      if (f == pg::Framed::partial) break;
      output += m.type;
      output += "(" + std::to_string(m.payload.size()) + ") ";
      in.erase(0, m.whole.size());
    }
  }
  return output + std::to_string(in.size()) + " left";
}

void messages() {
  std::string good = pg::query("SELECT 1") + pg::ready() + pg::emptyQuery() + "Q";
  everySplit(good, readMessages);
  everySplit(std::string("Q\0\0\0\3xxx", 8), readMessages);
  everySplit(std::string("Q\xff\xff\xff\xff", 5), readMessages);
  everySplit(std::string("Q\0\0\0\x41", 5), readMessages);
  std::string startupMessage = pg::startup("web", "orders");
  std::int32_t code = 0;
  std::size_t size = 0, cut = 0;
  while (pg::frameStartup(startupMessage.substr(0, cut), 100, code, size) == pg::Framed::partial)
    ++cut;
  std::printf("startup whole at %zu of %zu, version %d\n", cut, startupMessage.size(), code >> 16);
  std::printf("startup of length 7: %d\n",
              static_cast<int>(pg::frameStartup(std::string("\0\0\0\7", 4), 100, code, size)));
  std::string error = pg::error(true, "53300", "no", "250");
  std::string_view payload = std::string_view(error).substr(5);
  std::printf("code %s, text %s, detail %s, hint '%s'\n",
              std::string(pg::errorField(payload, 'C')).c_str(),
              std::string(pg::errorField(payload, 'M')).c_str(),
              std::string(pg::errorField(payload, 'D')).c_str(),
              std::string(pg::errorField(payload, 'H')).c_str());
  std::printf("damaged: '%s'\n", std::string(pg::errorField("C53300", 'C')).c_str());
  const std::pair<const char*, std::string> rows[] = {
      {"good", std::string("\0\1\0\0\0\2ab", 8)},
      {"null", std::string("\0\1\xff\xff\xff\xff", 6)},
      {"two columns", std::string("\0\2\0\0\0\1a\0\0\0\1b", 12)},
      {"cut off", std::string("\0\1\0\0\0\3ab", 8)},
      {"too long", std::string("\0\1\0\0\0\1ab", 8)},
      {"nothing", ""}};
  for (const auto& [name, row] : rows)
    std::printf("row %s: %d\n", name, pg::isSingleColumnRow(row));
}

// Feeds a store's bytes one by one and prints at which byte they are recognized as malformed.
void malformedMessages() {
  auto check = [](const char* name, const std::string& bytes) {
    for (std::size_t n = 1; n <= bytes.size(); ++n) {
      std::string_view prefix = std::string_view(bytes).substr(0, n);
      pg::Message m;
      if (!pg::isServerMessagePrefix(prefix, 1000))
        return std::printf("%s: known at byte %zu\n", name, n);
      if (pg::frame(prefix, 1000, m) == pg::Framed::whole)
        return std::printf("%s: %s when whole\n", name, pg::isWellFormed(m) ? "sound" : "known");
    }
    return std::printf("%s: not known yet\n", name);
  };
  std::string described("\0\1payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1", 28);
  check("a description", pg::message('T', described));
  check("one of two columns", pg::message('T', "\2" + described.substr(1)));
  check("one with more behind it", pg::message('T', described + "x"));
  check("a row", pg::message('D', std::string("\0\1\0\0\0\2ab", 8)));
  check("a row that promises more than it has", pg::message('D', std::string("\0\1\0\0\0\3ab", 8)));
  check("a row of 3 GB", std::string("D\xc0\0\0\0\0\1\xbf\xff\xff\xf6", 11) + "and so on");
  check("a row of 1200 bytes where 1000 may be", pg::message('D', std::string(1200, 'a')));
  check("a negative length", std::string("Z\xff\xff\xff\xff", 5));
  check("an unknown type", "!$%");
  check("completion", pg::message('C', std::string("SELECT 1\0", 9)));
  check("completion without its end", pg::message('C', "SELECT 1"));
  check("ready", pg::ready());
  check("ready for what", pg::message('Z', "?"));
  check("an error", pg::error(false, "53300", "full"));
  check("an error with noise behind it", pg::message('E', std::string("C53300\0\0noise", 13)));
  check("an error without a code", pg::message('E', std::string("Mno\0\0", 5)));
  check("a parameter", pg::parameter("usage", "x0=1"));
  check("a parameter without a value", pg::message('S', std::string("usage\0", 6)));
  for (const char* text : {"x0=5,x1=1", "x0=nan,x1=1", "x0=inf", "x0=-3,x1=0", "x0=1e300",
                           "x0=11,x1=1", "noise", "x0=,=5,,"}) {
    request::StoreReport r = request::parseStoreReport(text, WallTime{10'000'000});
    std::printf("report '%s': position %lld, primary %d\n", text,
                r.position ? static_cast<long long>(r.position->us / 1000) : -1LL,
                r.isPrimary ? *r.isPrimary : -1);
  }
}

void statements() {
  const char* texts[] = {
      "SELECT payload FROM entries WHERE ref = '7f' /* "
      "id=9b,c=basket,d=480,cluster=2,after=1767225600123 */",
      "/* cluster = 2 , d=480, c=basket,id=9b,r=1 */ SELECT payload FROM entries WHERE ref = 'a /* "
      "d=9 */ "
      "''b';",
      "INSERT INTO entries VALUES ('7f', '\\x9f') /* id=9b,c=order,d=1,k=5c,cluster=-2,new=x */ -- "
      "d=7",
      "",
      " ;; ",
      "/* nothing */",
      "SELECT 1",
      "SELECT 1; SELECT 2 /* id=1,c=a,d=1,cluster=1 */",
      "SELECT 'x /* id=1,c=a,d=1,cluster=1 */",
      "SELECT 1 /* id=1,c=a,d=1,cluster=1",
      "SELECT 1 /* id=1,c=a,d=x,cluster=1 */",
      "SELECT 1 /* id=1,c=a,d=-5,cluster=1 */",
      "SELECT 1 /* id=1,c=a,d=99999999999999999999,cluster=1 */",
      "SELECT 1 /* id=1,c=a,d=1 */",
      "SELECT 1 /* id=1,c=a,d=1,cluster=1,after= */"};
  for (const char* text : texts) {
    pg::Fields f;
    pg::ReadResult read = pg::readStatement(text, f);
    std::printf("%d %s\n", static_cast<int>(read), text);
    if (read != pg::ReadResult::good) continue;
    std::printf("  id=%s c=%s d=%lld cluster=%lld key=%s k=%s after=%lld r=%d\n",
                std::string(f.id).c_str(), std::string(f.workload).c_str(),
                static_cast<long long>(*f.timeoutMs), static_cast<long long>(*f.group),
                std::string(f.sessionKey).c_str(), std::string(f.idempotencyKey).c_str(),
                static_cast<long long>(f.afterMs.value_or(0)), f.isRetry);
    std::printf("  %s\n", pg::withTimeout(text, f.timeoutOffset, f.timeoutSize, 7).c_str());
  }
}

void endpointLists() {
  std::string good =
      R"({"id":"a","addr":"10.1.0.1:1","zone":"z","cell":3,"state":"up","weight":2,"started_ms":5,"access":"writer"})";
  auto list = [](const std::string& entries) {
    return "{\"version\":4,\"full\":true,\"servers\":[" + entries + "]}";
  };
  auto with = [&](const char* from, const char* to) {
    std::string s = good;
    return list(s.replace(s.find(from), std::strlen(from), to));
  };
  for (const std::string& text :
       {list(good), list(" \n\t" + good + "\r\n  "), list(""), list(good + "," + good),
        with("\"up\"", "\"asleep\""), with("10.1.0.1:1", "10.1.0.1"),
        with("10.1.0.1:1", "10.1.0.1:0"), with("10.1.0.1:1", "host:1"), with("\"id\":\"a\",", ""),
        with("\"cell\":3,", ""), with("\"cell\":3", "\"cell\":\"3\""), std::string("[]"),
        std::string("{\"version\":1,\"full\":true}"),
        std::string("{\"version\":\"1\",\"full\":true,\"servers\":[]}")}) {
    json::Value v;
    std::string why;
    discovery::EndpointList r;
    bool read = json::parse(text, v, why);
    if (read) {
      auto parsed = discovery::parseEndpointList(v);
      auto* error = std::get_if<discovery::EndpointListError>(&parsed);
      read = !error;
      if (error)
        why = discovery::describe(*error);
      else
        r = std::get<discovery::EndpointList>(parsed);
    }
    if (read)
      std::printf("version %lld, %zu entries\n", static_cast<long long>(r.version),
                  r.endpoints.size());
    else
      std::printf("bad: %s\n", why.c_str());
  }
}

// Corrupts input randomly with a fixed seed. Every reader must terminate; only that some input was
// rejected is printed.
void corruptedInput() {
  std::ranlux24_base generator(7);
  std::string json =
      R"({"version":41,"full":true,"servers":[{"id":"s","addr":"1.2.3.4:5","x":[1.5e3,"\u00e4"]}]})";
  std::string http = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  std::string text = "SELECT 'k' /* id=9b,c=basket,d=480,cluster=2,after=17 */";
  std::string wire = pg::query(text) + pg::error(false, "53300", "x") + pg::ready();
  int bad = 0;
  for (int k = 0; k < 20000; ++k) {
    auto corrupt = [&](std::string s) {
      for (int n = 0; n < 3; ++n) {
        std::size_t at = generator() % s.size();
        if (generator() % 2)
          s[at] = static_cast<char>(generator() & 0xff);
        else
          s.erase(at, 1);
      }
      return s;
    };
    bad += readJson({corrupt(json)}).rfind("bad", 0) == 0;
    bad += readHttp({corrupt(http)}).rfind("bad", 0) == 0;
    bad += readMessages({corrupt(wire)}).find("bad") != std::string::npos;
    pg::Fields f;
    std::string t = corrupt(text);
    if (pg::readStatement(t, f) == pg::ReadResult::good)
      pg::withTimeout(t, f.timeoutOffset, f.timeoutSize, 1);
    pg::errorField(corrupt(wire), 'D'), pg::isSingleColumnRow(corrupt(wire));
  }
  std::printf("some were found bad: %s\n", bad > 0 ? "yes" : "no");
}

const Case kCases[] = {{"json", jsonReader},
                       {"http", httpReader},
                       {"messages", messages},
                       {"statements", statements},
                       {"rosters", endpointLists},
                       {"damaged", corruptedInput},
                       {"spoiltMessages", malformedMessages}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}
