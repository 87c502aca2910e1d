#include "ledger/settings.h"

#include <fstream>
#include <iterator>

namespace reedchute::ledger {
namespace {

constexpr std::size_t kMinKeyBytes = 32;
constexpr std::int64_t kMaxRingKilobytes = 1 << 20;
constexpr std::int64_t kMaxSyncMilliseconds = 60'000;

std::string readKey(config::Section& section, const char* name) {
  std::string key = keyInFile(section.text(name));
  if (key.size() < kMinKeyBytes)
    section.fail(name, "must name a file that holds a key of 32 bytes or more");
  return key;
}

PeriodLength readPeriodLength(config::Section& section) {
  std::string period = section.text("period", "month");
  if (period == "hour") return PeriodLength::hour;
  if (period == "day") return PeriodLength::day;
  if (period != "month") section.fail("period", "must be hour, day or month");
  return PeriodLength::month;
}

bool readRefusesWhenBehind(config::Section& section) {
  std::string behind = section.text("when_behind", "serve");
  if (behind != "serve" && behind != "refuse")
    section.fail("when_behind", "must be serve or refuse");
  return behind == "refuse";
}

}  // namespace

std::string keyInFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string key{std::istreambuf_iterator<char>(file), {}};
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) key.pop_back();
  return key;
}

UsageRecorderConfig usageRecorderConfigFrom(config::Section section, const std::string& instance) {
  UsageRecorderConfig config;
  config.folder = section.text("folder");
  config.instance = section.text("instance", instance);
  config.key = readKey(section, "key_file");
  if (section.has("correction_key_file"))
    config.correctionKey = readKey(section, "correction_key_file");
  config.periodLength = readPeriodLength(section);
  config.ringBytes =
      static_cast<std::size_t>(section.number("ring_kb", 16, kMaxRingKilobytes, 4096)) * 1024;
  config.syncInterval = Duration{section.number("sync_ms", 1, kMaxSyncMilliseconds, 200) * 1000};
  config.refusesWhenBehind = readRefusesWhenBehind(section);
  section.requireAllRead();
  return config;
}

}  // namespace reedchute::ledger
