// A whole text as a number: nothing where it is empty, out of range, or has anything before or
// behind it.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>

namespace reedchute {

template <class T>
std::optional<T> parseNumber(std::string_view text, [[maybe_unused]] int base = 10) {
  T value{};
  std::from_chars_result read;
  if constexpr (std::is_floating_point_v<T>)
    read = std::from_chars(text.data(), text.data() + text.size(), value);
  else
    read = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (read.ec != std::errc{} || read.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace reedchute
