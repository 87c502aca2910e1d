#include "config/engine_settings.h"

#include <algorithm>

namespace reedchute {
namespace {

const Words<Level> kLevels = {{"eventual", Level::any},
                              {"lag_bound", Level::bounded},
                              {"causal", Level::session},
                              {"strong", Level::fresh},
                              {"mutate", Level::write}};
const Words<Effect> kEffects = {{"repeatable", Effect::idempotent},
                                {"by_key", Effect::deduplicated},
                                {"once", Effect::nonIdempotent}};
const Words<Scope> kScopes = {
    {"all", Scope::everywhere}, {"zone", Scope::zone}, {"cell", Scope::group}};

}  // namespace

int indexOf(const std::vector<std::string>& names, std::string_view name) {
  auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

EngineSettings engineSettingsFrom(const PlatformSettings& p, std::uint64_t seed, Names& names) {
  EngineSettings t;
  t.seed = seed;
  t.proxyCount = static_cast<int>(p.integer("siblings", 1));
  t.tick = Duration{p.integer("tick")};
  names.zones = p.list("failure_domains");
  std::vector<std::string> levels = p.list("extra.read_level"),
                           bounds = p.list("extra.lag_allowed");
  std::int64_t count = p.integer("classes.count");
  if (count < 1 || count > 10'000 || levels.size() != static_cast<std::size_t>(count))
    throw InvalidInput("extra.read_level must name a level for each of the classes");
  for (std::size_t k = 0; k < static_cast<std::size_t>(count); ++k) {
    std::string at = "classes." + std::to_string(k) + ".";
    names.workloads.push_back(p.need(at + "name"));
    Workload w;
    w.level = meaning(kLevels, levels[k], "extra.read_level");
    if (k < bounds.size())
      w.stalenessBound =
          Duration{static_cast<std::int64_t>(numberFrom(bounds[k], "extra.lag_allowed"))};
    w.effect = meaning(kEffects, p.need(at + "repeat"), "classes[].repeat");
    names.deduplicated.push_back(w.effect == Effect::deduplicated);
    if (w.effect == Effect::deduplicated) {
      w.scope = meaning(kScopes, p.need(at + "key_scope"), "classes[].key_scope");
      w.deduplicationWindow = Duration{p.integer(at + "repeat_window")};
    }
    w.slo = Duration{p.integer(at + "slo")};
    w.importance = p.number(at + "worth", 1);
    w.lateShare = p.number(at + "late_worth", 0);
    t.workloads.push_back(w);
  }
  for (std::int64_t k = 0, n = p.integer("realms.count", 0); k < n; ++k) {
    std::string at = "realms." + std::to_string(k) + ".";
    names.tenants.push_back(p.need(at + "name"));
    t.tenants.push_back({p.number(at + "quota_per_s", 0)});
  }
  t.overQuotaImportance = p.number("over_share_worth", 1);
  t.maxAttempts = static_cast<int>(p.integer("limits.max_attempts", 1));
  t.allowsHedging = p.boolean("limits.parallel_tries", false);
  t.mayCancel = p.boolean("limits.may_cancel", false);
  t.mayProbe = p.boolean("limits.probes", false);
  t.probeCost = p.number("prices.probe", 0);
  t.pollsEndpoints = p.need("membership_mode") == "subscribe";
  t.removalMeansDrained = !p.boolean("obligations.dropped_stay_open", false);
  t.endpointRolesAreCurrent = p.find("extra.role_in_list") &&
                              *p.find("extra.role_in_list") == "trailing";
  t.storesRejectStaleReads = p.find("extra.checks") && *p.find("extra.checks") != "none";
  t.readsCarrySessionToken = !p.find("extra.tokens") || *p.find("extra.tokens") == "brought";
  t.repliesWithRetryAfter = p.boolean("limits.retry_after", false);
  t.maxRetryAfter = Duration{p.integer("limits.max_retry_after", 0)};
  t.connectTimeout = Duration{p.integer("limits.connect_timeout")};
  t.maxPollInterval = Duration{p.integer("obligations.ask_every")};
  // Where it is not told, a connect time-out: less than any grace that was ever config.
  t.drainGrace = Duration{p.integer("obligations.stop_sending_within", t.connectTimeout.us)};
  t.warmUpTime = Duration{p.integer("obligations.ramp_time")};
  t.coldOverloadWindow = Duration{p.integer("obligations.tip_after")};
  t.coldInitialShare = p.number("obligations.cold_from");
  t.coldOverloadMultiple = p.number("obligations.fall_multiple");
  return t;
}

}  // namespace reedchute
