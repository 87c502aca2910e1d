#include "report.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>

namespace soak {
namespace {

constexpr std::size_t kMaxPrinted = 6;  // violations of one rule that are printed in full

std::size_t printLines(const std::string& folder, const char* event) {
  std::size_t found = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".log") continue;
    std::ifstream log(entry.path());
    for (std::string line; std::getline(log, line);)
      if (line.find(event) != std::string::npos && ++found <= kMaxPrinted)
        std::printf("  %s: %s\n", entry.path().filename().c_str(), line.c_str());
  }
  return found;
}

}  // namespace

void printVerdict(const Verdict& verdict) {
  std::printf(
      "  statements=%zu served=%zu refused=%zu failed=%zu left=%zu resent=%zu excused=%zu "
      "attempts=%zu\n",
      verdict.statements, verdict.served, verdict.refused, verdict.failed, verdict.left,
      verdict.resent, verdict.excused, verdict.attempts);
  std::map<std::string, std::size_t> counts;
  for (const Violation& v : verdict.violations) {
    if (++counts[v.rule] > kMaxPrinted) continue;
    std::printf("  VIOLATION %s: %s\n", v.rule.c_str(), v.what.c_str());
    for (const Event& e : v.about) std::printf("      %s\n", describe(e).c_str());
  }
  for (const auto& [rule, count] : counts) std::printf("  violated %s: %zu\n", rule.c_str(), count);
}

std::size_t printFailedChecks(const std::string& folder) {
  return printLines(folder, " invariant_violated ") + printLines(folder, " responses_missing ") +
         printLines(folder, " task_failed ");
}

void keepFolder(const std::string& folder, const std::string& keep, std::uint64_t seed) {
  std::string target = keep + "/" + std::to_string(seed);
  std::filesystem::create_directories(keep);
  std::filesystem::remove_all(target);
  std::filesystem::copy(folder, target, std::filesystem::copy_options::recursive);
}

}  // namespace soak
