#include "protocols/cassandra/table_mapping.h"

#include <algorithm>

namespace reedchute::protocols::cassandra {

using reedchute::cql::Kind;
using reedchute::cql::Nature;

TableMapping::TableMapping(const Config& config, EngineSettings& terms, Names& names)
    : mappings_(config.mappings),
      names_(names.workloads),
      workloads_(terms.workloads),
      storesDropMarks_(config.storesDropMarks) {
  auto twin = [&](const Workload& w, int of) {
    terms.workloads.push_back(w);
    names.templateOf.push_back(of);
    return static_cast<int>(terms.workloads.size()) - 1;
  };
  for (std::size_t k = 0; k < workloads_.size(); ++k) {
    Workload w = workloads_[k];
    int self = static_cast<int>(k), once = self, paged = self;
    if (w.effect != Effect::nonIdempotent) {
      Workload o = w;
      o.effect = Effect::nonIdempotent;
      once = twin(o, self);
    }
    // A read at any age or within a bound has no promise from one page to the next; this row gives
    // it one.
    if (w.level == Level::any || w.level == Level::bounded) {
      Workload p = w;
      p.level = Level::session;
      paged = twin(p, self);
    }
    once_.push_back(once), paged_.push_back(paged);
  }
  Workload prepare;
  prepare.effect = Effect::idempotent;
  prepare.slo = workloads_.front().slo;
  for (const Workload& w : workloads_) prepare.slo = std::min(prepare.slo, w.slo);
  prepare_ = twin(prepare, -1);
}

std::optional<std::string> TableMapping::placeGroup(const StatementDescription& told,
                                                    const Mapping* m,
                                                    const IdIndex<std::int64_t>& groups,
                                                    MappedStatement& into) const {
  if (!told.group && !m) return "neither a payload with its group nor a mapping that names one";
  into.group = groups.find(told.group ? *told.group : m->group);
  if (into.group < 0) return "an unknown group";
  if (m) into.timeout = m->timeout;
  return std::nullopt;
}

std::optional<std::string> TableMapping::placePrepare(const StatementDescription& told,
                                                      const IdIndex<std::int64_t>& groups,
                                                      MappedStatement& into) const {
  const Mapping* named = nullptr;
  // Which consistency it will be executed with isn't known yet.
  for (const Mapping& m : mappings_)
    if (!named && (m.keyspace.empty() || m.keyspace == told.keyspace) &&
        (m.table.empty() || m.table == told.table))
      named = &m;
  into.workload = prepare_;
  return placeGroup(told, named, groups, into);
}

const Mapping* TableMapping::find(const StatementDescription& told) const {
  auto among = [](const auto& list, auto value) {
    return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
  };
  for (const Mapping& m : mappings_) {
    if (!m.keyspace.empty() && m.keyspace != told.keyspace) continue;
    if (!m.table.empty() && m.table != told.table) continue;
    if (among(m.kinds, told.kind) && among(m.consistencies, told.consistency)) return &m;
  }
  return nullptr;
}

std::optional<std::string> TableMapping::place(const StatementDescription& told,
                                               const IdIndex<std::int64_t>& groups,
                                               MappedStatement& into) const {
  const Mapping* m = find(told);
  if (told.workload.empty() && !m)
    return std::string("no workload is set up for a ") + nameOf(told.kind) + " of " +
           std::string(told.keyspace) + "." + std::string(told.table);
  std::string_view workload = told.workload.empty() ? std::string_view(m->workload) : told.workload;
  into.workload = indexOf(names_, workload);
  if (into.workload < 0) return "an unknown workload";
  if (auto why = placeGroup(told, m, groups, into)) return why;
  const Workload& w = workloads_[static_cast<std::size_t>(into.workload)];
  // Danger: a write in a reads' workload would go to replicas and be repeated at will.
  bool writes = told.kind != Kind::read;
  if (writes && w.level != Level::write) return "a write in a workload of reads";
  if (w.effect == Effect::deduplicated && told.mark.empty() && storesDropMarks_)
    return "no k where the workload needs one";
  // Danger: what isn't idempotent by its nature doesn't become so by what its client says. Marks
  // help where stores drop a repeat by them, and only as far.
  bool natural = told.nature == Nature::idempotent;
  bool dropped = w.effect == Effect::deduplicated && storesDropMarks_;
  if (!natural && !dropped) into.workload = once_[static_cast<std::size_t>(into.workload)];
  if (natural && told.nextPage && told.pagePosition)
    into.workload = paged_[static_cast<std::size_t>(into.workload)];
  return std::nullopt;
}

}  // namespace reedchute::protocols::cassandra
