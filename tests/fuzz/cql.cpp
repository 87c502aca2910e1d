// libFuzzer target for the codec of the Cassandra native protocol. Not part of CI; docs/cql.md
// records how long it ran and what it found. The first byte of the input selects framing,
// compression and version; the rest is the bytes received from a peer.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "codec/cql/request.h"
#include "codec/cql/text.h"

using namespace reedchute::cql;

namespace {

Framing framingFor(std::uint8_t selector) {
  Framing f(1 << 16);
  if (selector & 1) f.enableCompression();
  if (selector & 2) f.enableSegments();
  return f;
}

void decodeAll(const Frame& f) {
  StatementRequest asked;
  const char* why = "";
  if (readStatementRequest(f, 64, asked, why)) {
    // The paging state must be within the body.
    if (asked.parameters.pageStateOffset + asked.parameters.pageStateSize > f.body.size())
      std::abort();
    ParsedText text;
    readText(asked.text, text);
  }
  Reply reply;
  if (readReply(f, reply) && reply.pageStateOffset + reply.pageStateSize > f.body.size())
    std::abort();
  StartupOptions start;
  readStartup(f.body, start);
  std::vector<std::string_view> events;
  readRegister(f.body, events);
  Multimap map;
  readMultimap(f.body, map);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  std::uint8_t selector = data[0];
  std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  Framing framing = framingFor(selector);
  std::string encoded;
  for (std::size_t at = 0;;) {
    Frame f;
    std::size_t used = 0;
    Framed got = framing.next(bytes.substr(at), used, f);
    if (used > bytes.size() - at) std::abort();
    at += used;
    if (got != Framed::whole) break;
    decodeAll(f);
    // Encoding the frame and reading it back must yield the same body and stream.
    Framing encoder = framingFor(selector), decoder = framingFor(selector);
    encoded.clear();
    std::string body(f.body);
    std::uint8_t flags = static_cast<std::uint8_t>(f.flags & ~kCompressed);
    encoder.put(encoded, f.isResponse, f.version, flags, f.stream, f.opcode, body);
    Frame decoded;
    if (decoder.next(encoded, used, decoded) != Framed::whole || decoded.body != body ||
        decoded.stream != f.stream)
      std::abort();
  }
  // Also decode the bytes directly as a body, so that inputs aren't rejected by checksums first.
  Frame f;
  f.version = selector & 4 ? 5 : 4;
  f.flags = static_cast<std::uint8_t>(selector >> 4);
  f.body = bytes;
  for (Opcode o : {Opcode::query, Opcode::prepare, Opcode::execute, Opcode::batch, Opcode::result,
                   Opcode::error}) {
    f.opcode = o;
    decodeAll(f);
  }
  ParsedText text;
  readText(bytes, text);
  return 0;
}
