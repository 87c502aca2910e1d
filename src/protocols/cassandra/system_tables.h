// The system tables from which a driver discovers its cluster. The proxy answers these reads itself
// and presents itself and its configured peers as the cluster. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "codec/cql/text.h"
#include "protocols/cassandra/config.h"

namespace reedchute::protocols::cassandra {

inline constexpr const char* kCqlVersion = "3.4.5";  // reported to drivers

class SystemTables {
 public:
  explicit SystemTables(const Config& config) : config_(config) {}

  // Returns the body of the RESULT for a read of a system table. If the read isn't supported,
  // returns nothing and sets `error` to the reason; otherwise `error` is unspecified.
  std::optional<std::string> resultBody(const cql::ParsedText& read, std::string_view text,
                                        std::string_view& error) const;
  // Whether `keyspace` is a system keyspace or matches a mapping.
  bool knowsKeyspace(std::string_view keyspace) const;

 private:
  const Config& config_;
};

}  // namespace reedchute::protocols::cassandra
