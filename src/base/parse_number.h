// Parses a text that consists of one number and nothing else.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>

namespace reedchute {

// Returns nothing if `text` is empty, out of range, or has other characters before or after the
// number. `base` applies to integers only.
template <class T>
std::optional<T> parseNumber(std::string_view text, [[maybe_unused]] int base = 10) {
  T value{};
  std::from_chars_result result;
  if constexpr (std::is_floating_point_v<T>)
    result = std::from_chars(text.data(), text.data() + text.size(), value);
  else
    result = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace reedchute
