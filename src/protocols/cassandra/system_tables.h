// The tables from which a driver learns about its cluster, answered by the proxy: the cluster is
// this proxy and its configured peers. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "codec/cql/text.h"
#include "protocols/cassandra/config.h"

namespace reedchute::protocols::cassandra {

inline constexpr const char* kCqlVersion = "3.4.5";  // that drivers are told

class SystemTables {
 public:
  explicit SystemTables(const Config& config) : config_(config) {}

  // Returns the body of a RESULT, or nothing where the read can't be answered; `why` then says why.
  std::optional<std::string> answer(const cql::ParsedText& read, std::string_view text,
                                    std::string_view& why) const;
  bool knowsKeyspace(std::string_view keyspace) const;

 private:
  const Config& config_;
};

}  // namespace reedchute::protocols::cassandra
