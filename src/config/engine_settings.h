// From the platform's settings to the module's EngineSettings, for the simulator's adapter and the
// front alike.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/platform_settings.h"
#include "decision/engine.h"

namespace reedchute {

// Words from outside and what they stand for here.
template <class T>
using Words = std::vector<std::pair<std::string_view, T>>;

template <class T>
T meaning(const Words<T>& words, std::string_view word, const char* what) {
  for (const auto& [name, value] : words)
    if (name == word) return value;
  throw InvalidInput(std::string("unknown ") + what + ": '" + std::string(word.substr(0, 60)) +
                     "'");
}

// Names that the settings list; an index into a list is what the module knows.
struct Names {
  std::vector<std::string> workloads, tenants, zones;
  std::vector<int> templateOf;     // of rows beyond these: the one that a row was made from
  std::vector<char> deduplicated;  // whether a workload's statements carry an idempotency key
};

int indexOf(const std::vector<std::string>& names, std::string_view name);

EngineSettings engineSettingsFrom(const PlatformSettings& p, std::uint64_t seed, Names& names);

}  // namespace reedchute
