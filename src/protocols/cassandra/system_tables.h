// The tables by which a driver learns of its cluster, answered by the front: it and the configured
// fronts are the cluster. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "codec/cql/text.h"
#include "protocols/cassandra/config.h"

namespace reedchute::protocols::cassandra {

class SystemTables {
 public:
  explicit SystemTables(const Config& config) : config_(config) {}

  // The body of a RESULT, or nothing and `why`.
  std::optional<std::string> answer(const reedchute::cql::TextRead& read, std::string_view text,
                                    std::string_view& why) const;
  bool knowsKeyspace(std::string_view keyspace) const;

 private:
  const Config& config_;
};

}  // namespace reedchute::protocols::cassandra
