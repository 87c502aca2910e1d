#include "codec/pg/statement.h"

#include "base/parse_number.h"

namespace reedchute::pg {
namespace {

constexpr std::size_t kCommentMarkSize = 2;  // bytes of "/*", "*/" and "--"

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

// Reads the wait time and records where its digits stand in `text`, which holds `value`.
bool readWait(std::string_view text, std::string_view value, Fields& fields) {
  if (!readInteger(value, fields.waitMs) || *fields.waitMs < 0) return false;
  fields.waitAt = static_cast<std::size_t>(value.data() - text.data());
  fields.waitSize = value.size();
  return true;
}

// Unknown names are ignored; false if the value of a known one can't be read.
bool readField(std::string_view text, std::string_view name, std::string_view value,
               Fields& fields) {
  if (name == "id") fields.id = value;
  if (name == "c") fields.workload = value;
  if (name == "k") fields.mark = value;
  if (name == "tenant") fields.tenant = value;
  if (name == "r") fields.repeated = value == "1";
  if (name == "cluster") return readInteger(value, fields.group);
  if (name == "after") return readInteger(value, fields.afterMs);
  if (name == "d") return readWait(text, value, fields);
  return true;
}

// Reads name=value pairs separated by commas; false if a value can't be read.
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

// Walks over a statement's text once, token by token.
class Scanner {
 public:
  Scanner(std::string_view text, Fields& fields) : text_(text), fields_(fields) {}

  Read run() {
    while (position_ < text_.size()) {
      Read result = step();
      if (result != Read::good) return result;
    }
    if (!hasStatement_) return Read::empty;
    bool isComplete = !fields_.id.empty() && !fields_.workload.empty() && fields_.waitMs &&
                      fields_.group;
    return isComplete ? Read::good : Read::noFields;
  }

 private:
  Read step() {
    char character = text_[position_];
    if (isBlank(character)) {
      ++position_;
      return Read::good;
    }
    if (character == ';') {
      hasEnded_ = hasStatement_;
      ++position_;
      return Read::good;
    }
    std::string_view mark = text_.substr(position_, kCommentMarkSize);
    if (mark == "/*") return scanBlockComment();
    if (mark == "--") return skipLineComment();
    if (hasEnded_) return Read::several;
    hasStatement_ = true;
    if (character == '\'' || character == '"') return scanQuoted(character);
    ++position_;
    return Read::good;
  }

  Read scanBlockComment() {
    std::size_t begin = position_ + kCommentMarkSize;
    std::size_t end = text_.find("*/", begin);
    if (end == std::string_view::npos) return Read::unclosed;
    if (!readComment(text_, text_.substr(begin, end - begin), fields_)) return Read::badField;
    position_ = end + kCommentMarkSize;
    return Read::good;
  }

  Read skipLineComment() {
    std::size_t end = text_.find('\n', position_);
    position_ = end == std::string_view::npos ? text_.size() : end + 1;
    return Read::good;
  }

  // A doubled quote begins the next literal, which changes nothing here.
  Read scanQuoted(char quote) {
    std::size_t begin = position_ + 1;
    std::size_t end = text_.find(quote, begin);
    if (end == std::string_view::npos) return Read::unclosed;
    if (quote == '\'' && fields_.key.empty()) fields_.key = text_.substr(begin, end - begin);
    position_ = end + 1;
    return Read::good;
  }

  std::string_view text_;
  Fields& fields_;
  std::size_t position_ = 0;
  bool hasStatement_ = false;  // something beside blanks, semicolons and comments was there
  bool hasEnded_ = false;      // and a semicolon behind it
};

}  // namespace

Read readStatement(std::string_view text, Fields& fields) {
  return Scanner(text, fields).run();
}

std::string withWait(std::string_view text, std::size_t at, std::size_t size, std::int64_t ms) {
  std::string changed(text.substr(0, at));
  changed += std::to_string(ms);
  changed += text.substr(at + size);
  return changed;
}

}  // namespace reedchute::pg
