#include "protocols/cassandra/table_mapping.h"

#include <algorithm>

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;

namespace {

template <class List, class Value>
bool isAnyOrAmong(const List& list, const Value& value) {
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
      storesDropMarks_(config.storesDropMarks) {
  auto addVariant = [&](const Workload& variant, int original) {
    settings.workloads.push_back(variant);
    names.templateOf.push_back(original);
    return static_cast<int>(settings.workloads.size()) - 1;
  };
  for (std::size_t k = 0; k < workloads_.size(); ++k) {
    const int self = static_cast<int>(k);
    Variants variants{.neverRetried = self, .laterPages = self};
    if (workloads_[k].effect != Effect::nonIdempotent) {
      Workload neverRetried = workloads_[k];
      neverRetried.effect = Effect::nonIdempotent;
      variants.neverRetried = addVariant(neverRetried, self);
    }
    // A read at any age or within a bound has no promise from one page to the next; this variant
    // gives it one.
    if (workloads_[k].level == Level::any || workloads_[k].level == Level::bounded) {
      Workload laterPages = workloads_[k];
      laterPages.level = Level::session;
      variants.laterPages = addVariant(laterPages, self);
    }
    variants_.push_back(variants);
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
    return "neither a payload with its group nor a mapping that names one";
  into.group = groups.find(statement.group ? *statement.group : mapping->group);
  if (into.group < 0) return "an unknown group";
  if (mapping) into.timeout = mapping->timeout;
  return std::nullopt;
}

std::optional<std::string> TableMapping::mapPreparation(const StatementDescription& statement,
                                                        const IdIndex<std::int64_t>& groups,
                                                        MappedStatement& into) const {
  into.workload = preparation_;
  // Which consistency the text will be executed with isn't known yet.
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
    bool matches = isAnyOrAmong(mapping.kinds, statement.kind) &&
                   isAnyOrAmong(mapping.consistencies, statement.consistency);
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
  if (std::optional<std::string> why = mapGroup(statement, mapping, groups, into)) return why;
  const Workload& workload = workloads_[static_cast<std::size_t>(into.workload)];
  const Variants& variants = variants_[static_cast<std::size_t>(into.workload)];
  // A write in a workload of reads would go to replicas and be retried at will.
  bool isWrite = statement.kind != cql::Kind::read;
  if (isWrite && workload.level != Level::write) return "a write in a workload of reads";
  bool isDeduplicated = workload.effect == Effect::deduplicated && storesDropMarks_;
  if (isDeduplicated && statement.mark.empty()) return "no k where the workload needs one";
  // What isn't idempotent by its nature doesn't become so by what its client says. Idempotency keys
  // help where stores drop a retry by them, and only as far.
  bool isIdempotent = statement.nature == cql::Nature::idempotent;
  if (!isIdempotent && !isDeduplicated) into.workload = variants.neverRetried;
  if (isIdempotent && statement.nextPage && statement.pagePosition)
    into.workload = variants.laterPages;
  return std::nullopt;
}

}  // namespace reedchute::protocols::cassandra
