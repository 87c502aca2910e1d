// Translates the platform's settings into those of the decision engine, for both the proxy and the
// simulator's adapter. The engine doesn't know the platform's names of settings and values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/platform_settings.h"
#include "decision/engine.h"

namespace reedchute {

// Maps the words of an external format to values.
template <class T>
using WordTable = std::vector<std::pair<std::string_view, T>>;

// Returns the value of `word`. Throws InvalidInput if it is unknown; the message names `what`, the
// setting or field.
template <class T>
T parseWord(const WordTable<T>& table, std::string_view word, const char* what) {
  for (const auto& [name, value] : table)
    if (name == word) return value;
  throw InvalidInput(std::string("unknown ") + what + ": '" + std::string(word.substr(0, 60)) +
                     "'");
}

// The names in the platform's settings, by the indices that the engine uses for them.
struct Names {
  std::vector<std::string> workloads;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  // For each workload that was added to the platform's own: the workload it was copied from, or -1.
  std::vector<int> templateOf;
  // By workload: whether its statements carry an idempotency key.
  std::vector<bool> deduplicated;
};

// Returns the index of `name`, or -1.
int indexOf(const std::vector<std::string>& names, std::string_view name);

// Reads all settings of the engine and fills `names`. Throws InvalidInput.
EngineSettings engineSettingsFrom(const PlatformSettings& platform, std::uint64_t seed,
                                  Names& names);

}  // namespace reedchute
