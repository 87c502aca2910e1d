#include "codec/json/json.h"

#include <charconv>
#include <system_error>

namespace reedchute::json {
namespace {

constexpr std::size_t kMaxDepth = 64;      // nesting of arrays and objects
constexpr std::size_t kMaxWordLength = 5;  // characters of "false"
constexpr int kHexDigits = 4;              // of a \u escape
constexpr int kNoDigit = -1;

// Characters beyond the Basic Multilingual Plane are escaped as a pair of UTF-16 surrogates.
bool isHighSurrogate(unsigned code) {
  return code >= 0xd800 && code < 0xdc00;
}

bool isLowSurrogate(unsigned code) {
  return code >= 0xdc00 && code < 0xe000;
}

constexpr unsigned kReplacementCharacter = 0xfffd;

bool isDigit(char c) {
  return c >= '0' && c <= '9';
}

bool isWordCharacter(char c) {
  return c >= 'a' && c <= 'z';
}

int hexDigit(char c) {
  if (isDigit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return kNoDigit;
}

bool isBlank(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

bool isNumberCharacter(char c) {
  return isDigit(c) || c == '-' || c == '+' || c == '.' || c == 'e' || c == 'E';
}

// Skips over the parts of a number.
class NumberScanner {
 public:
  explicit NumberScanner(std::string_view text) : text_(text) {}

  bool atEnd() const { return position_ == text_.size(); }
  bool skip(char c) {
    if (atEnd() || text_[position_] != c) return false;
    ++position_;
    return true;
  }
  // Returns false if there is no digit.
  bool skipDigits() {
    std::size_t begin = position_;
    while (!atEnd() && isDigit(text_[position_])) ++position_;
    return position_ > begin;
  }

 private:
  std::string_view text_;
  std::size_t position_ = 0;
};

// Whether `text` is a number in JSON syntax, which is stricter than that of std::from_chars.
bool isWellFormedNumber(std::string_view text) {
  NumberScanner scanner(text);
  scanner.skip('-');
  bool hasInteger = scanner.skip('0') || scanner.skipDigits();
  if (!hasInteger) return false;
  if (scanner.skip('.') && !scanner.skipDigits()) return false;
  if (scanner.skip('e') || scanner.skip('E')) {
    if (!scanner.skip('+')) scanner.skip('-');
    if (!scanner.skipDigits()) return false;
  }
  return scanner.atEnd();
}

void appendUtf8(std::string& to, unsigned code) {
  auto append = [&](unsigned byte) { to.push_back(static_cast<char>(byte)); };
  auto appendContinuation = [&](unsigned bits) { append(0x80 | (bits & 0x3f)); };
  if (code < 0x80) {
    append(code);
  } else if (code < 0x800) {
    append(0xc0 | code >> 6);
    appendContinuation(code);
  } else if (code < 0x10000) {
    append(0xe0 | code >> 12);
    appendContinuation(code >> 6);
    appendContinuation(code);
  } else {
    append(0xf0 | code >> 18);
    appendContinuation(code >> 12);
    appendContinuation(code >> 6);
    appendContinuation(code);
  }
}

}  // namespace

Value::Value() = default;
Value::Value(const Value&) = default;
Value::Value(Value&&) noexcept = default;
Value& Value::operator=(const Value&) = default;
Value& Value::operator=(Value&&) noexcept = default;
Value::~Value() = default;

const Value* Value::find(std::string_view name) const {
  for (const auto& [known, value] : members)
    if (known == name) return &value;
  return nullptr;
}

bool Reader::fail(const char* error) {
  if (state_ != State::failed) error_ = error;
  state_ = State::failed;
  return false;
}

bool Reader::feed(std::string_view bytes) {
  for (char c : bytes)
    if (!step(c)) return false;
  return state_ != State::failed;
}

bool Reader::finish() {
  if (state_ == State::number && !endNumber()) return false;
  if (state_ == State::word && !endWord()) return false;
  if (state_ != State::done) return fail("the text ends inside a value");
  return true;
}

bool Reader::step(char c) {
  switch (state_) {
    case State::string:
      return stepString(c);
    case State::escape:
      return stepEscape(c);
    case State::hex:
      return stepHex(c);
    case State::number:
      return stepNumber(c);
    case State::word:
      return stepWord(c);
    case State::failed:
      return false;
    default:
      return isBlank(c) || stepBetweenTokens(c);
  }
}

bool Reader::stepBetweenTokens(char c) {
  switch (state_) {
    case State::value:
      return beginValue(c);
    case State::firstItem:
      return stepFirstItem(c);
    case State::firstName:
      return stepFirstName(c);
    case State::name:
      return stepName(c);
    case State::colon:
      return stepColon(c);
    case State::comma:
      return stepComma(c);
    default:
      return fail("something follows the value");
  }
}

bool Reader::stepString(char c) {
  if (c == '"') return endString();
  if (c == '\\') {
    state_ = State::escape;
    return true;
  }
  if (static_cast<unsigned char>(c) < 0x20) return fail("a control character in a text");
  token_.push_back(c);
  return true;
}

bool Reader::stepEscape(char c) {
  constexpr std::string_view kEscapes = "\"\\/bfnrt";
  constexpr std::string_view kMeanings = "\"\\/\b\f\n\r\t";
  if (c == 'u') {
    code_ = 0;
    hexDigits_ = 0;
    state_ = State::hex;
    return true;
  }
  std::size_t index = kEscapes.find(c);
  if (index == std::string_view::npos) return fail("an unknown escape");
  token_.push_back(kMeanings[index]);
  state_ = State::string;
  return true;
}

bool Reader::stepHex(char c) {
  int digit = hexDigit(c);
  if (digit == kNoDigit) return fail("a broken escape");
  code_ = code_ << 4 | static_cast<unsigned>(digit);
  if (++hexDigits_ < kHexDigits) return true;
  addEscapedCode();
  state_ = State::string;
  return true;
}

bool Reader::stepNumber(char c) {
  if (!isNumberCharacter(c)) return endNumber() && step(c);
  token_.push_back(c);
  return true;
}

bool Reader::stepWord(char c) {
  if (!isWordCharacter(c)) return endWord() && step(c);
  token_.push_back(c);
  return token_.size() <= kMaxWordLength || fail("an unknown word");
}

bool Reader::stepFirstItem(char c) {
  return c == ']' ? endLevel() : beginValue(c);
}

bool Reader::stepFirstName(char c) {
  return c == '}' ? endLevel() : stepName(c);
}

bool Reader::stepName(char c) {
  if (c != '"') return fail("a member without a name");
  beginString(true);
  return true;
}

bool Reader::stepColon(char c) {
  if (c != ':') return fail("a member without a colon");
  state_ = State::value;
  return true;
}

bool Reader::stepComma(char c) {
  bool inArray = stack_.back().value.kind == Value::Kind::array;
  if (c == ',') {
    state_ = inArray ? State::value : State::name;
    return true;
  }
  if (c != (inArray ? ']' : '}')) return fail("a comma or an end is missing");
  return endLevel();
}

bool Reader::beginValue(char c) {
  token_.clear();
  // The limit is on memory, not on the length of the text: an empty array is two bytes of text and
  // fifty times as many in memory.
  usedBytes_ += sizeof(Level);
  if (usedBytes_ > maxBytes_) return fail("more values than memory allows");
  if (c == '{' || c == '[') {
    if (stack_.size() >= kMaxDepth) return fail("too deep");
    stack_.emplace_back();
    stack_.back().value.kind = c == '[' ? Value::Kind::array : Value::Kind::object;
    state_ = c == '[' ? State::firstItem : State::firstName;
    return true;
  }
  if (c == '"') {
    beginString(false);
    return true;
  }
  bool isNumber = c == '-' || isDigit(c);
  if (!isNumber && !isWordCharacter(c)) return fail("no value begins like that");
  token_.push_back(c);
  state_ = isNumber ? State::number : State::word;
  return true;
}

void Reader::beginString(bool isName) {
  isName_ = isName;
  token_.clear();
  highSurrogate_ = 0;
  state_ = State::string;
}

bool Reader::endString() {
  if (highSurrogate_ != 0) return fail("half a surrogate pair");
  if (isName_) {
    stack_.back().name = std::move(token_);
    token_.clear();
    state_ = State::colon;
    return true;
  }
  Value value;
  value.kind = Value::Kind::string;
  value.text = std::move(token_);
  token_.clear();
  return addValue(std::move(value));
}

bool Reader::endNumber() {
  if (!isWellFormedNumber(token_)) return fail("a broken number");
  Value value;
  value.kind = Value::Kind::number;
  auto [end, error] = std::from_chars(token_.data(), token_.data() + token_.size(), value.number);
  if (error != std::errc{}) return fail("a number out of range");
  value.text = token_;
  return addValue(std::move(value));
}

bool Reader::endWord() {
  Value value;
  if (token_ == "true" || token_ == "false") {
    value.kind = Value::Kind::boolean;
    value.boolean = token_ == "true";
  } else if (token_ != "null") {
    return fail("an unknown word");
  }
  return addValue(std::move(value));
}

bool Reader::endLevel() {
  Value value = std::move(stack_.back().value);
  stack_.pop_back();
  return addValue(std::move(value));
}

// Adds a complete value to the array or object that contains it.
bool Reader::addValue(Value value) {
  if (stack_.empty()) {
    root_ = std::move(value);
    state_ = State::done;
    return true;
  }
  Level& outer = stack_.back();
  if (outer.value.kind == Value::Kind::array)
    outer.value.items.push_back(std::move(value));
  else
    outer.value.members.emplace_back(std::move(outer.name), std::move(value));
  state_ = State::comma;
  return true;
}

void Reader::addEscapedCode() {
  if (isHighSurrogate(code_) && highSurrogate_ == 0) {
    highSurrogate_ = code_;
    return;
  }
  if (isLowSurrogate(code_) && highSurrogate_ != 0) {
    appendUtf8(token_, 0x10000 + ((highSurrogate_ - 0xd800) << 10) + (code_ - 0xdc00));
    highSurrogate_ = 0;
    return;
  }
  bool isHalf = isHighSurrogate(code_) || isLowSurrogate(code_);
  appendUtf8(token_, isHalf ? kReplacementCharacter : code_);
}

bool parse(std::string_view text, Value& into, std::string& error, std::size_t maxBytes) {
  Reader reader(maxBytes);
  bool isWhole = reader.feed(text) && reader.finish();
  error = reader.error();
  if (isWhole) into = reader.take();
  return isWhole;
}

}  // namespace reedchute::json
