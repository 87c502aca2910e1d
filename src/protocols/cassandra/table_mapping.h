// Decides which workload and group a statement of this protocol belongs to, and how far it may be
// retried. No I/O, no clock. Whether the statement is then sent, and where, is the decision
// engine's alone.
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

// What a statement says of itself, from its text, its parameters and its custom payload.
struct StatementDescription {
  reedchute::cql::Kind kind = reedchute::cql::Kind::other;
  reedchute::cql::Nature nature = reedchute::cql::Nature::idempotent;
  std::string_view keyspace, table;
  std::uint16_t consistency = 0;
  bool nextPage = false;                 // of a paged read, not the first
  std::optional<WallTime> pagePosition;  // what the page before it was read at
  std::string_view workload, mark;       // empty: not told
  std::optional<std::int64_t> group;
};

struct MappedStatement {
  int workload = -1, group = -1;
  std::optional<Duration> timeout;  // the mapping's
};

// Maps statements to workloads. Beside the workloads of the settings it adds variants of them with
// something taken off: an effect that the statement's nature forbids, or a page that must be as
// fresh as the one before.
class TableMapping {
 public:
  // Adds the variants to `settings`; `names` keeps only those that clients may name, and learns
  // what the others stand for.
  TableMapping(const Config& config, EngineSettings& settings, Names& names);

  // Either fills `into`, or says why the statement can't be taken.
  std::optional<std::string> map(const StatementDescription& statement,
                                 const IdIndex<std::int64_t>& groups, MappedStatement& into) const;
  // The same for the preparation of a text, which is a read of any age at any member of the group.
  std::optional<std::string> mapPreparation(const StatementDescription& statement,
                                            const IdIndex<std::int64_t>& groups,
                                            MappedStatement& into) const;

 private:
  // Variants of one workload; itself where it needs none.
  struct Variants {
    int neverRetried = -1;
    int laterPages = -1;
  };

  const Mapping* find(const StatementDescription& statement) const;
  const Mapping* findByTable(const StatementDescription& statement) const;
  std::optional<std::string> mapGroup(const StatementDescription& statement, const Mapping* mapping,
                                      const IdIndex<std::int64_t>& groups,
                                      MappedStatement& into) const;

  std::vector<Mapping> mappings_;
  std::vector<std::string> names_;
  std::vector<Workload> workloads_;  // of the settings
  std::vector<Variants> variants_;   // by workload
  int preparation_ = -1;             // the workload of preparations
  bool storesDropMarks_;
};

}  // namespace reedchute::protocols::cassandra
