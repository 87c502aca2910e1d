#include "protocols/cassandra/table_mapping.h"

#include <algorithm>

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;

namespace {

template <class List, class Value>
bool isEmptyOrContains(const List& list, const Value& value) {
  return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
}

bool matchesTable(const Mapping& mapping, const StatementDescription& statement) {
  if (!mapping.keyspace.empty() && mapping.keyspace != statement.keyspace) return false;
  return mapping.table.empty() || mapping.table == statement.table;
}

}  // namespace

TableMapping::TableMapping(const Config& config, EngineSettings& settings, Names& names)
    : mappings_(config.mappings),
      names_(names.workloads),
      workloads_(settings.workloads),
      storesDeduplicateRetries_(config.storesDeduplicateRetries) {
  auto addVariant = [&](const Workload& variant, int original) {
    settings.workloads.push_back(variant);
    names.templateOf.push_back(original);
    return static_cast<int>(settings.workloads.size()) - 1;
  };
  for (std::size_t k = 0; k < workloads_.size(); ++k) {
    const int original = static_cast<int>(k);
    Workload variant = workloads_[k];
    variant.effect = Effect::nonIdempotent;
    bool isVariant = workloads_[k].effect != Effect::nonIdempotent;
    nonIdempotent_.push_back(isVariant ? addVariant(variant, original) : original);
  }
  Workload preparation;
  preparation.effect = Effect::idempotent;
  preparation.slo = workloads_.front().slo;
  for (const Workload& workload : workloads_)
    preparation.slo = std::min(preparation.slo, workload.slo);
  preparation_ = addVariant(preparation, -1);
}

std::optional<std::string> TableMapping::mapGroup(const StatementDescription& statement,
                                                  const Mapping* mapping,
                                                  const IdIndex<std::int64_t>& groups,
                                                  MappedStatement& into) const {
  if (!statement.group && !mapping)
    return "no group: the payload has no cluster field and no mapping matches";
  into.group = groups.find(statement.group ? *statement.group : mapping->group);
  if (into.group < 0) return "an unknown group";
  if (mapping) into.timeout = mapping->timeout;
  return std::nullopt;
}

std::optional<std::string> TableMapping::mapPreparation(const StatementDescription& statement,
                                                        const IdIndex<std::int64_t>& groups,
                                                        MappedStatement& into) const {
  into.workload = preparation_;
  // Maps by table only, as the consistency of later executions isn't known yet.
  return mapGroup(statement, findByTable(statement), groups, into);
}

const Mapping* TableMapping::findByTable(const StatementDescription& statement) const {
  for (const Mapping& mapping : mappings_)
    if (matchesTable(mapping, statement)) return &mapping;
  return nullptr;
}

const Mapping* TableMapping::find(const StatementDescription& statement) const {
  for (const Mapping& mapping : mappings_) {
    if (!matchesTable(mapping, statement)) continue;
    bool matches = isEmptyOrContains(mapping.kinds, statement.kind) &&
                   isEmptyOrContains(mapping.consistencies, statement.consistency);
    if (matches) return &mapping;
  }
  return nullptr;
}

std::optional<std::string> TableMapping::map(const StatementDescription& statement,
                                             const IdIndex<std::int64_t>& groups,
                                             MappedStatement& into) const {
  const Mapping* mapping = find(statement);
  if (statement.workload.empty() && !mapping)
    return std::string("no workload is set up for a ") + nameOf(statement.kind) + " of " +
           std::string(statement.keyspace) + "." + std::string(statement.table);
  std::string_view name = statement.workload.empty() ? std::string_view(mapping->workload)
                                                     : statement.workload;
  into.workload = indexOf(names_, name);
  if (into.workload < 0) return "an unknown workload";
  if (std::optional<std::string> error = mapGroup(statement, mapping, groups, into)) return error;
  const Workload& workload = workloads_[static_cast<std::size_t>(into.workload)];
  // In a workload of reads, a write would be sent to replicas and retried freely.
  bool isWrite = statement.kind != cql::Kind::read;
  if (isWrite && workload.level != Level::write) return "a write in a workload of reads";
  bool isDeduplicated = workload.effect == Effect::deduplicated && storesDeduplicateRetries_;
  if (isDeduplicated && statement.idempotencyKey.empty())
    return "the workload requires an idempotency key (payload field k)";
  // A statement that isn't idempotent by nature is not retried once it may have been executed,
  // whichever workload its client names. The exception is a statement with an idempotency key, if
  // the stores drop retries by that key.
  bool isIdempotent = statement.nature == cql::Nature::idempotent;
  if (!isIdempotent && !isDeduplicated)
    into.workload = nonIdempotent_[static_cast<std::size_t>(into.workload)];
  return std::nullopt;
}

}  // namespace reedchute::protocols::cassandra
