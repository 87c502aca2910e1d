// Maps statements of this protocol to a workload and a replication group, and restricts their
// retries. Whether and where a statement is sent is decided by the decision engine. No I/O, no
// clock.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/id_index.h"
#include "config/engine_settings.h"
#include "decision/engine.h"
#include "protocols/cassandra/config.h"

namespace reedchute::protocols::cassandra {

// The properties of a statement by which it is mapped, from its text, parameters and custom
// payload.
struct StatementDescription {
  reedchute::cql::Kind kind = reedchute::cql::Kind::other;
  reedchute::cql::Nature nature = reedchute::cql::Nature::idempotent;
  std::string_view keyspace, table;
  std::uint16_t consistency = 0;
  std::string_view workload, idempotencyKey;  // empty: none given
  std::optional<std::int64_t> group;
};

struct MappedStatement {
  int workload = -1, group = -1;
  std::optional<Duration> timeout;  // from the mapping
};

// Maps statements to workloads. Adds stricter variants of the configured workloads, with effect
// `nonIdempotent`, for statements whose nature doesn't allow a second run.
class TableMapping {
 public:
  // Appends the variants to `settings.workloads`. They get no entry in `names.workloads`, so that
  // clients can't name them; `names.templateOf` receives the workload that each was made from.
  TableMapping(const Config& config, EngineSettings& settings, Names& names);

  // Sets `into`. Returns the reason if the statement can't be mapped; `into` may then be set in
  // part.
  std::optional<std::string> map(const StatementDescription& statement,
                                 const IdIndex<std::int64_t>& groups, MappedStatement& into) const;
  // The same for a PREPARE, which is an idempotent read without a staleness bound that any member
  // of the group may serve.
  std::optional<std::string> mapPreparation(const StatementDescription& statement,
                                            const IdIndex<std::int64_t>& groups,
                                            MappedStatement& into) const;

 private:
  const Mapping* find(const StatementDescription& statement) const;
  const Mapping* findByTable(const StatementDescription& statement) const;
  std::optional<std::string> mapGroup(const StatementDescription& statement, const Mapping* mapping,
                                      const IdIndex<std::int64_t>& groups,
                                      MappedStatement& into) const;

  std::vector<Mapping> mappings_;
  std::vector<std::string> names_;
  std::vector<Workload> workloads_;  // as configured, without variants
  // By workload index: its variant, or the workload itself where no variant is needed.
  std::vector<int> nonIdempotent_;
  int preparation_ = -1;  // the workload of PREPARE requests
  bool storesDeduplicateRetries_;
};

}  // namespace reedchute::protocols::cassandra
