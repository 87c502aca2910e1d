#include "codec/pg/statement.h"

#include "base/parse_number.h"

namespace reedchute::pg {
namespace {

constexpr std::size_t kCommentDelimiterSize = 2;  // bytes of "/*", "*/" and "--"

bool isBlank(char character) {
  return character == ' ' || character == '\t' || character == '\n' || character == '\r' ||
         character == '\f' || character == '\v';
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
  return text;
}

bool readInteger(std::string_view text, std::optional<std::int64_t>& to) {
  to = parseNumber<std::int64_t>(text);
  return to.has_value();
}

// Reads the timeout and records the position of its digits in `text`, which contains `value`.
bool readTimeout(std::string_view text, std::string_view value, Fields& fields) {
  if (!readInteger(value, fields.timeoutMs) || *fields.timeoutMs < 0) return false;
  fields.timeoutOffset = static_cast<std::size_t>(value.data() - text.data());
  fields.timeoutSize = value.size();
  return true;
}

// Reads one field and ignores unknown names; returns false if the value is invalid.
bool readField(std::string_view text, std::string_view name, std::string_view value,
               Fields& fields) {
  if (name == "id") fields.id = value;
  if (name == "c") fields.workload = value;
  if (name == "k") fields.idempotencyKey = value;
  if (name == "tenant") fields.tenant = value;
  if (name == "r") fields.isRetry = value == "1";
  if (name == "cluster") return readInteger(value, fields.group);
  if (name == "after") return readInteger(value, fields.afterMs);
  if (name == "d") return readTimeout(text, value, fields);
  return true;
}

// Reads name=value pairs separated by commas; returns false if a value is invalid.
bool readComment(std::string_view text, std::string_view comment, Fields& fields) {
  while (!comment.empty()) {
    std::size_t comma = comment.find(',');
    std::string_view pair = trimmed(comment.substr(0, comma));
    comment.remove_prefix(comma == std::string_view::npos ? comment.size() : comma + 1);
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view name = trimmed(pair.substr(0, equals));
    std::string_view value = trimmed(pair.substr(equals + 1));
    if (!readField(text, name, value, fields)) return false;
  }
  return true;
}

// Scans a statement's text once, token by token.
class Scanner {
 public:
  Scanner(std::string_view text, Fields& fields) : text_(text), fields_(fields) {}

  ReadResult run() {
    while (position_ < text_.size()) {
      ReadResult result = step();
      if (result != ReadResult::good) return result;
    }
    if (!hasStatement_) return ReadResult::empty;
    bool isComplete = !fields_.id.empty() && !fields_.workload.empty() && fields_.timeoutMs &&
                      fields_.group;
    return isComplete ? ReadResult::good : ReadResult::missingFields;
  }

 private:
  ReadResult step() {
    char character = text_[position_];
    if (isBlank(character)) {
      ++position_;
      return ReadResult::good;
    }
    if (character == ';') {
      hasEnded_ = hasStatement_;
      ++position_;
      return ReadResult::good;
    }
    std::string_view delimiter = text_.substr(position_, kCommentDelimiterSize);
    if (delimiter == "/*") return scanBlockComment();
    if (delimiter == "--") return skipLineComment();
    if (hasEnded_) return ReadResult::multipleStatements;
    hasStatement_ = true;
    if (character == '\'' || character == '"') return scanQuoted(character);
    ++position_;
    return ReadResult::good;
  }

  ReadResult scanBlockComment() {
    std::size_t begin = position_ + kCommentDelimiterSize;
    std::size_t end = text_.find("*/", begin);
    if (end == std::string_view::npos) return ReadResult::unclosed;
    if (!readComment(text_, text_.substr(begin, end - begin), fields_))
      return ReadResult::invalidField;
    position_ = end + kCommentDelimiterSize;
    return ReadResult::good;
  }

  ReadResult skipLineComment() {
    std::size_t end = text_.find('\n', position_);
    position_ = end == std::string_view::npos ? text_.size() : end + 1;
    return ReadResult::good;
  }

  // Skips a quoted literal or identifier. A doubled quote is treated as the start of another
  // literal; this doesn't affect the result.
  ReadResult scanQuoted(char quote) {
    std::size_t begin = position_ + 1;
    std::size_t end = text_.find(quote, begin);
    if (end == std::string_view::npos) return ReadResult::unclosed;
    if (quote == '\'' && fields_.sessionKey.empty())
      fields_.sessionKey = text_.substr(begin, end - begin);
    position_ = end + 1;
    return ReadResult::good;
  }

  std::string_view text_;
  Fields& fields_;
  std::size_t position_ = 0;
  bool hasStatement_ = false;  // there was text other than whitespace, semicolons and comments
  bool hasEnded_ = false;      // and a semicolon after it
};

}  // namespace

ReadResult readStatement(std::string_view text, Fields& fields) {
  return Scanner(text, fields).run();
}

std::string withTimeout(std::string_view text, std::size_t offset, std::size_t size,
                        std::int64_t ms) {
  std::string changed(text.substr(0, offset));
  changed += std::to_string(ms);
  changed += text.substr(offset + size);
  return changed;
}

}  // namespace reedchute::pg
