#include "protocols/cassandra/client_responses.h"

#include "codec/cql/reply.h"
#include "protocols/cassandra/system_tables.h"

namespace reedchute::protocols::cassandra {
namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
constexpr std::uint8_t kUnloggedBatch = 1;  // type field of a BATCH

const char* writeTypeOf(const Pending& pending) {
  switch (pending.kind) {
    case cql::Kind::conditional:
      return "CAS";
    case cql::Kind::counter:
      return "COUNTER";
    case cql::Kind::batch:
      return pending.batchType == kUnloggedBatch ? "UNLOGGED_BATCH" : "BATCH";
    default:
      return "SIMPLE";
  }
}

}  // namespace

std::string supportedBody(bool isVersion5Offered) {
  std::vector<std::string> versions = {"4/v4"};
  if (isVersion5Offered) versions.emplace_back("5/v5");
  return cql::multimapBody(
      {{"CQL_VERSION", {kCqlVersion}}, {"COMPRESSION", {"lz4"}}, {"PROTOCOL_VERSIONS", versions}});
}

std::string unsupportedVersionText(int version, bool isVersion5Offered) {
  const char* supported = isVersion5Offered ? "4/v4, 5/v5" : "4/v4";
  return "Invalid or unsupported protocol version (" + std::to_string(version) +
         "); supported versions are (" + supported + ")";
}

std::string rejectionBody(Duration retryAfter) {
  std::string body;
  if (retryAfter > Duration{}) {
    std::string milliseconds = std::to_string(retryAfter.us / kMicrosecondsPerMillisecond);
    cql::addBytesMap(body, {{"retry_after_ms", milliseconds}});
  }
  body += cql::errorBody(cql::kOverloaded,
                         "rejected: the statement was not executed; it is safe to retry");
  return body;
}

std::string abortBody(const Pending& pending, int version) {
  bool isRead = pending.kind == cql::Kind::read || pending.preparing;
  std::int32_t code = isRead ? cql::kReadTimeout : cql::kWriteTimeout;
  std::string body = cql::errorBody(code, "aborted: the statement may have been executed");
  cql::addShort(body, pending.consistency);
  cql::addInt(body, 0);  // replicas that responded
  cql::addInt(body, 1);  // replicas that were required
  if (isRead) {
    cql::addByte(body, 0);  // data_present: the replica asked for data did not respond
    return body;
  }
  cql::addString(body, writeTypeOf(pending));
  bool hasContentions = version >= 5 && pending.kind == cql::Kind::conditional;
  if (hasContentions) cql::addShort(body, 0);
  return body;
}

}  // namespace reedchute::protocols::cassandra
