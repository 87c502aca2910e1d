#include "protocols/cassandra/response_rewriter.h"

#include <algorithm>
#include <utility>

namespace reedchute::protocols::cassandra {
namespace {

constexpr std::size_t kResultKindBytes = 4;   // kind field of a RESULT
constexpr std::size_t kShortLengthBytes = 2;  // length field of a [short bytes] id

std::string replaceSpan(const std::string& bytes, std::size_t at, std::size_t span,
                        const std::string& replacement) {
  return bytes.substr(0, at) + replacement + bytes.substr(at + span);
}

}  // namespace

std::string ResponseRewriter::rewrite(StoreResult result, Pending& pending) const {
  cql::Frame frame;
  frame.version = result.version;
  frame.flags = result.flags;
  frame.opcode = cql::Opcode::result;
  frame.body = result.body;
  cql::Reply reply;
  // The upstream connection has already parsed the body, so this doesn't fail.
  if (!cql::readReply(frame, reply)) return std::move(result.body);
  if (reply.kind == cql::ResultKind::rows && reply.pageState)
    return withProxyPagingState(result, reply, pending.precedingPosition);
  if (reply.kind == cql::ResultKind::schemaChange) announceSchemaChange(result, reply);
  if (reply.kind == cql::ResultKind::prepared && pending.preparing)
    return withProxyPreparedId(result, reply, std::move(*pending.preparing));
  return std::move(result.body);
}

// A page is no older than the one before it. That holds on for the following pages if the store
// that answered states no position, or a primary only that of its last commit.
std::string ResponseRewriter::withProxyPagingState(
    const StoreResult& result, const cql::Reply& reply,
    std::optional<WallTime> precedingPosition) const {
  std::string pagingState;
  cql::addBytes(pagingState,
                encodePagingState({.storeHash = hashOf(protocol_.fleet().storeId(result.store)),
                                   .position = std::max(result.position, precedingPosition),
                                   .state = std::string(*reply.pageState)}));
  return replaceSpan(result.body, reply.pageStateOffset, reply.pageStateSize, pagingState);
}

std::string ResponseRewriter::withProxyPreparedId(const StoreResult& result,
                                                  const cql::Reply& reply,
                                                  PreparedText text) const {
  std::string id;
  cql::addShortBytes(id, text.id);
  std::size_t idSpan = kShortLengthBytes + reply.id.size();
  std::string body = replaceSpan(result.body, reply.idOffset, idSpan, id);
  PreparedRef prepared = protocol_.texts().insert(std::move(text));
  std::size_t costBefore = PreparedTexts::costOf(*prepared);
  if (prepared->read.table.empty()) {
    prepared->read.keyspace = reply.keyspace;
    prepared->read.table = reply.table;
  }
  auto versionIndex = static_cast<std::size_t>(result.version - cql::kLowestVersion);
  prepared->resultBodies[versionIndex] = body.substr(reply.bodyOffset);
  protocol_.texts().updateCost(prepared, costBefore);
  return body;
}

void ResponseRewriter::announceSchemaChange(const StoreResult& result,
                                            const cql::Reply& reply) const {
  // Behind the result kind, a Schema_change RESULT has the same layout as the event.
  std::string event;
  cql::addString(event, "SCHEMA_CHANGE");
  event += std::string_view(result.body).substr(reply.bodyOffset + kResultKindBytes);
  protocol_.texts().onSchemaChanged();
  protocol_.announceSchemaChange(event);
}

}  // namespace reedchute::protocols::cassandra
