#include "ledger/settings.h"

#include <fstream>
#include <iterator>

namespace reedchute::ledger {
namespace {

constexpr std::size_t kLeastKey = 32;

std::string keyIn(config::Section& s, const char* name) {
  std::string key = keyInFile(s.text(name));
  if (key.size() < kLeastKey) s.fail(name, "must name a file that holds a key of 32 bytes or more");
  return key;
}

}  // namespace

std::string keyInFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string key{std::istreambuf_iterator<char>(file), {}};
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) key.pop_back();
  return key;
}

UsageRecorderConfig usageRecorderConfigFrom(config::Section s, const std::string& instance) {
  UsageRecorderConfig g;
  g.folder = s.text("folder");
  g.instance = s.text("instance", instance);
  g.key = keyIn(s, "key_file");
  if (s.has("correction_key_file")) g.correctionKey = keyIn(s, "correction_key_file");
  std::string every = s.text("period", "month");
  if (every != "hour" && every != "day" && every != "month")
    s.fail("period", "must be hour, day or month");
  g.every = every == "hour" ? Every::hour : every == "day" ? Every::day : Every::month;
  g.ringBytes = static_cast<std::size_t>(s.number("ring_kb", 16, 1 << 20, 4096)) * 1024;
  g.sync = Duration{s.number("sync_ms", 1, 60'000, 200) * 1000};
  std::string behind = s.text("when_behind", "serve");
  if (behind != "serve" && behind != "refuse") s.fail("when_behind", "must be serve or refuse");
  g.refuse = behind == "refuse";
  s.done();
  return g;
}

}  // namespace reedchute::ledger
