#include "config/engine_settings.h"

#include <algorithm>

namespace reedchute {
namespace {

const WordTable<Level> kLevels = {{"eventual", Level::any},
                                  {"lag_bound", Level::bounded},
                                  {"causal", Level::session},
                                  {"strong", Level::fresh},
                                  {"mutate", Level::write}};
const WordTable<Effect> kEffects = {{"repeatable", Effect::idempotent},
                                    {"by_key", Effect::deduplicated},
                                    {"once", Effect::nonIdempotent}};
const WordTable<Scope> kScopes = {
    {"all", Scope::everywhere}, {"zone", Scope::zone}, {"cell", Scope::group}};

constexpr std::int64_t kMaxWorkloads = 10'000;

std::string elementPath(const char* list, std::int64_t index) {
  return std::string(list) + "." + std::to_string(index) + ".";
}

// Whether an optional setting is present and has this text.
bool hasText(const PlatformSettings& platform, const char* path, std::string_view text) {
  const std::string* value = platform.find(path);
  return value && *value == text;
}

Duration durationAt(const PlatformSettings& platform, const std::string& path) {
  return Duration{platform.integer(path)};
}

void readWorkload(const PlatformSettings& platform, const std::string& path, Workload& workload) {
  workload.effect = parseWord(kEffects, platform.require(path + "repeat"), "classes[].repeat");
  if (workload.effect == Effect::deduplicated) {
    workload.scope = parseWord(kScopes, platform.require(path + "key_scope"),
                               "classes[].key_scope");
    workload.deduplicationWindow = durationAt(platform, path + "repeat_window");
  }
  workload.slo = durationAt(platform, path + "slo");
  workload.importance = platform.number(path + "worth", 1);
  workload.lateShare = platform.number(path + "late_worth", 0);
}

void readWorkloads(const PlatformSettings& platform, EngineSettings& settings, Names& names) {
  std::vector<std::string> levels = platform.list("extra.read_level");
  std::vector<std::string> bounds = platform.list("extra.lag_allowed");
  std::int64_t count = platform.integer("classes.count");
  if (count < 1 || count > kMaxWorkloads || levels.size() != static_cast<std::size_t>(count))
    throw InvalidInput("extra.read_level must name a level for each of the classes");
  for (std::size_t k = 0; k < levels.size(); ++k) {
    std::string path = elementPath("classes", static_cast<std::int64_t>(k));
    names.workloads.push_back(platform.require(path + "name"));
    Workload workload;
    workload.level = parseWord(kLevels, levels[k], "extra.read_level");
    if (k < bounds.size())
      workload.stalenessBound =
          Duration{static_cast<std::int64_t>(numberFrom(bounds[k], "extra.lag_allowed"))};
    readWorkload(platform, path, workload);
    names.deduplicated.push_back(workload.effect == Effect::deduplicated);
    settings.workloads.push_back(workload);
  }
}

void readTenants(const PlatformSettings& platform, EngineSettings& settings, Names& names) {
  std::int64_t count = platform.integer("realms.count", 0);
  for (std::int64_t k = 0; k < count; ++k) {
    std::string path = elementPath("realms", k);
    names.tenants.push_back(platform.require(path + "name"));
    settings.tenants.push_back({platform.number(path + "quota_per_s", 0)});
  }
  settings.overQuotaImportance = platform.number("over_share_worth", 1);
}

void readAttemptLimits(const PlatformSettings& platform, EngineSettings& settings) {
  settings.maxAttempts = static_cast<int>(platform.integer("limits.max_attempts", 1));
  settings.allowsHedging = platform.boolean("limits.parallel_tries", false);
  settings.mayCancel = platform.boolean("limits.may_cancel", false);
  settings.mayProbe = platform.boolean("limits.probes", false);
  settings.probeCost = platform.number("prices.probe", 0);
}

void readStoreBehaviour(const PlatformSettings& platform, EngineSettings& settings) {
  settings.pollsEndpoints = platform.require("membership_mode") == "subscribe";
  settings.removalMeansDrained = !platform.boolean("obligations.dropped_stay_open", false);
  settings.endpointRolesAreCurrent = hasText(platform, "extra.role_in_list", "trailing");
  settings.storesRejectStaleReads = platform.find("extra.checks") &&
                                    !hasText(platform, "extra.checks", "none");
  settings.readsCarrySessionToken = !platform.find("extra.tokens") ||
                                    hasText(platform, "extra.tokens", "brought");
}

void readTimes(const PlatformSettings& platform, EngineSettings& settings) {
  settings.repliesWithRetryAfter = platform.boolean("limits.retry_after", false);
  settings.maxRetryAfter = Duration{platform.integer("limits.max_retry_after", 0)};
  settings.connectTimeout = durationAt(platform, "limits.connect_timeout");
  settings.maxPollInterval = durationAt(platform, "obligations.ask_every");
  settings.drainGrace =
      Duration{platform.integer("obligations.stop_sending_within", settings.connectTimeout.us)};
  settings.warmUpTime = durationAt(platform, "obligations.ramp_time");
  settings.coldOverloadWindow = durationAt(platform, "obligations.tip_after");
  settings.coldInitialShare = platform.number("obligations.cold_from");
  settings.coldOverloadMultiple = platform.number("obligations.fall_multiple");
}

}  // namespace

int indexOf(const std::vector<std::string>& names, std::string_view name) {
  auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

EngineSettings engineSettingsFrom(const PlatformSettings& platform, std::uint64_t seed,
                                  Names& names) {
  EngineSettings settings;
  settings.seed = seed;
  settings.proxyCount = static_cast<int>(platform.integer("siblings", 1));
  settings.tick = durationAt(platform, "tick");
  names.zones = platform.list("failure_domains");
  readWorkloads(platform, settings, names);
  readTenants(platform, settings, names);
  readAttemptLimits(platform, settings);
  readStoreBehaviour(platform, settings);
  readTimes(platform, settings);
  return settings;
}

}  // namespace reedchute
