// Decides which workload and group a statement of this protocol belongs to, and as what it may be
// repeated. No I/O, no clock. Whether it is then sent, and where, is the module's alone.
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
  bool nextPage = false;                 // of a paged read
  std::optional<WallTime> pagePosition;  // what the page before it was read at
  std::string_view workload, mark;       // empty: not told
  std::optional<std::int64_t> group;
};

struct MappedStatement {
  int workload = -1, group = -1;
  std::optional<Duration> timeout;  // the mapping's
};

// Rows of the module's workloads that stand for one of the settings' with something taken off: an
// effect that the statement's nature forbids, or a page that must be as fresh as the one before.
class TableMapping {
 public:
  // Adds the rows to `terms`; `names` keeps only those that clients may name, and learns what
  // the others stand for.
  TableMapping(const Config& config, EngineSettings& terms, Names& names);

  // Preparing a text: a read of no age at any member of the group.
  std::optional<std::string> placePrepare(const StatementDescription& told,
                                          const IdIndex<std::int64_t>& groups,
                                          MappedStatement& into) const;

  // Either fills `into`, or says why it can't be taken.
  std::optional<std::string> place(const StatementDescription& told,
                                   const IdIndex<std::int64_t>& groups,
                                   MappedStatement& into) const;

 private:
  const Mapping* find(const StatementDescription& told) const;
  std::optional<std::string> placeGroup(const StatementDescription& told, const Mapping* m,
                                        const IdIndex<std::int64_t>& groups,
                                        MappedStatement& into) const;

  std::vector<Mapping> mappings_;
  std::vector<std::string> names_;
  std::vector<Workload> workloads_;  // of the settings
  std::vector<int> once_,
      paged_;  // by workload: its row without repeats, its row for further pages; itself if none
  int prepare_ = -1;
  bool storesDropMarks_;
};

}  // namespace reedchute::protocols::cassandra
