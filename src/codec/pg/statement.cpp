#include "codec/pg/statement.h"

#include "base/parse_number.h"

namespace reedchute::pg {
namespace {

bool blank(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v';
}

std::string_view trimmed(std::string_view t) {
  while (!t.empty() && blank(t.front())) t.remove_prefix(1);
  while (!t.empty() && blank(t.back())) t.remove_suffix(1);
  return t;
}

bool integer(std::string_view text, std::optional<std::int64_t>& to) {
  to = parseNumber<std::int64_t>(text);
  return to.has_value();
}

// name=value pairs set apart by commas; false where a value can't be read.
bool readComment(std::string_view text, std::string_view comment, Fields& f) {
  while (!comment.empty()) {
    std::size_t comma = comment.find(',');
    std::string_view pair = trimmed(comment.substr(0, comma));
    comment.remove_prefix(comma == std::string_view::npos ? comment.size() : comma + 1);
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view name = trimmed(pair.substr(0, equals)),
                     value = trimmed(pair.substr(equals + 1));
    if (name == "id") f.id = value;
    if (name == "c") f.workload = value;
    if (name == "k") f.mark = value;
    if (name == "tenant") f.tenant = value;
    if (name == "r") f.repeated = value == "1";
    if (name == "cluster" && !integer(value, f.group)) return false;
    if (name == "after" && !integer(value, f.afterMs)) return false;
    if (name == "d") {
      if (!integer(value, f.waitMs) || *f.waitMs < 0) return false;
      f.waitAt = static_cast<std::size_t>(value.data() - text.data());
      f.waitSize = value.size();
    }
  }
  return true;
}

}  // namespace

Read readStatement(std::string_view text, Fields& f) {
  bool any = false, ended = false;
  for (std::size_t k = 0; k < text.size();) {
    char c = text[k];
    if (blank(c)) {
      ++k;
    } else if (c == ';') {
      ended = any;
      ++k;
    } else if (text.substr(k, 2) == "/*") {
      std::size_t end = text.find("*/", k + 2);
      if (end == std::string_view::npos) return Read::unclosed;
      if (!readComment(text, text.substr(k + 2, end - k - 2), f)) return Read::badField;
      k = end + 2;
    } else if (text.substr(k, 2) == "--") {
      std::size_t end = text.find('\n', k);
      k = end == std::string_view::npos ? text.size() : end + 1;
    } else {
      if (ended) return Read::several;
      any = true;
      if (c == '\'' || c == '"') {
        std::size_t end = text.find(c, k + 1);
        if (end == std::string_view::npos) return Read::unclosed;
        if (c == '\'' && f.key.empty()) f.key = text.substr(k + 1, end - k - 1);
        k = end + 1;  // a doubled quote begins the next literal, which changes nothing here
      } else {
        ++k;
      }
    }
  }
  if (!any) return Read::empty;
  return f.id.empty() || f.workload.empty() || !f.waitMs || !f.group ? Read::noFields : Read::good;
}

std::string withWait(std::string_view text, std::size_t at, std::size_t size, std::int64_t ms) {
  std::string changed(text.substr(0, at));
  changed += std::to_string(ms);
  changed += text.substr(at + size);
  return changed;
}

}  // namespace reedchute::pg
