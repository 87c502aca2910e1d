// libFuzzer's target for the native protocol's codec. Not part of CI; see docs/cql.md for how long
// it ran and what it found. The first byte of the input chooses framing, compression and version,
// the rest is what a peer sends.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "codec/cql/request.h"
#include "codec/cql/text.h"

using namespace reedchute::cql;

namespace {

Framing framingBy(std::uint8_t how) {
  Framing f(1 << 16);
  if (how & 1) f.compress();
  if (how & 2) f.segments();
  return f;
}

void readAll(const Frame& f) {
  Asked asked;
  const char* why = "";
  if (readAsked(f, 64, asked, why)) {
    // What was read lies inside the body that it was read from.
    if (asked.parameters.pageAt + asked.parameters.pageSpan > f.body.size()) std::abort();
    TextRead text;
    readText(asked.text, text);
  }
  Reply reply;
  if (readReply(f, reply) && reply.pageAt + reply.pageSpan > f.body.size()) std::abort();
  Start start;
  readStart(f.body, start);
  std::vector<std::string_view> events;
  readRegister(f.body, events);
  Multimap map;
  readMultimap(f.body, map);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  std::uint8_t how = data[0];
  std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  Framing framing = framingBy(how);
  std::string again;
  for (std::size_t at = 0;;) {
    Frame f;
    std::size_t used = 0;
    Framed got = framing.next(bytes.substr(at), used, f);
    if (used > bytes.size() - at) std::abort();
    at += used;
    if (got != Framed::whole) break;
    readAll(f);
    // What is put must come out the same.
    Framing out = framingBy(how), back = framingBy(how);
    again.clear();
    std::string body(f.body);
    std::uint8_t flags = static_cast<std::uint8_t>(f.flags & ~kCompressed);
    out.put(again, f.answer, f.version, flags, f.stream, f.opcode, body);
    Frame same;
    if (back.next(again, used, same) != Framed::whole || same.body != body ||
        same.stream != f.stream)
      std::abort();
  }
  // And the bytes as a body of their own, so that no checksum stands in the way.
  Frame f;
  f.version = how & 4 ? 5 : 4;
  f.flags = static_cast<std::uint8_t>(how >> 4);
  f.body = bytes;
  for (Opcode o : {Opcode::query, Opcode::prepare, Opcode::execute, Opcode::batch, Opcode::result,
                   Opcode::error}) {
    f.opcode = o;
    readAll(f);
  }
  TextRead text;
  readText(bytes, text);
  return 0;
}
