#include "codec/json/json.h"

#include <charconv>

namespace reedchute::json {
namespace {

constexpr std::size_t kDeepest = 64;

bool blank(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

bool inNumber(char c) {
  return (c >= '0' && c <= '9') || c == '-' || c == '+' || c == '.' || c == 'e' || c == 'E';
}

// JSON's own form of a number, which is narrower than what from_chars takes.
bool wellFormed(std::string_view t) {
  auto digit = [&](std::size_t k) { return k < t.size() && t[k] >= '0' && t[k] <= '9'; };
  std::size_t k = !t.empty() && t[0] == '-' ? 1 : 0;
  if (!digit(k)) return false;
  if (t[k] == '0')
    ++k;
  else
    while (digit(k)) ++k;
  if (k < t.size() && t[k] == '.') {
    if (!digit(++k)) return false;
    while (digit(k)) ++k;
  }
  if (k < t.size() && (t[k] == 'e' || t[k] == 'E')) {
    ++k;
    if (k < t.size() && (t[k] == '+' || t[k] == '-')) ++k;
    if (!digit(k)) return false;
    while (digit(k)) ++k;
  }
  return k == t.size();
}

void addUtf8(std::string& to, unsigned code) {
  auto add = [&](unsigned byte) { to.push_back(static_cast<char>(byte)); };
  if (code < 0x80) {
    add(code);
  } else if (code < 0x800) {
    add(0xc0 | code >> 6), add(0x80 | (code & 0x3f));
  } else if (code < 0x10000) {
    add(0xe0 | code >> 12), add(0x80 | (code >> 6 & 0x3f)), add(0x80 | (code & 0x3f));
  } else {
    add(0xf0 | code >> 18), add(0x80 | (code >> 12 & 0x3f)), add(0x80 | (code >> 6 & 0x3f));
    add(0x80 | (code & 0x3f));
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

bool Reader::fail(const char* why) {
  if (state_ != State::bad) why_ = why;
  state_ = State::bad;
  return false;
}

bool Reader::feed(std::string_view bytes) {
  for (char c : bytes)
    if (!step(c)) return false;
  return state_ != State::bad;
}

bool Reader::finish() {
  if (state_ == State::number && !endNumber()) return false;
  if (state_ == State::word && !endWord()) return false;
  if (state_ != State::done) return fail("the text ends inside a value");
  return true;
}

bool Reader::step(char c) {
  switch (state_) {
    case State::number:
      if (inNumber(c)) {
        token_.push_back(c);
        return true;
      }
      return endNumber() && step(c);
    case State::word:
      if (c >= 'a' && c <= 'z') {
        token_.push_back(c);
        return token_.size() <= 5 || fail("an unknown word");
      }
      return endWord() && step(c);
    case State::text:
      if (c == '"') return endText();
      if (c == '\\') {
        state_ = State::escape;
        return true;
      }
      if (static_cast<unsigned char>(c) < 0x20) return fail("a control character in a text");
      token_.push_back(c);
      return true;
    case State::escape: {
      constexpr std::string_view from = "\"\\/bfnrt", to = "\"\\/\b\f\n\r\t";
      if (c == 'u') {
        code_ = 0, digits_ = 0, state_ = State::hex;
        return true;
      }
      std::size_t k = from.find(c);
      if (k == std::string_view::npos) return fail("an unknown escape");
      token_.push_back(to[k]);
      state_ = State::text;
      return true;
    }
    case State::hex: {
      unsigned digit = c >= '0' && c <= '9'   ? static_cast<unsigned>(c - '0')
                       : c >= 'a' && c <= 'f' ? static_cast<unsigned>(c - 'a' + 10)
                       : c >= 'A' && c <= 'F' ? static_cast<unsigned>(c - 'A' + 10)
                                              : 16;
      if (digit == 16) return fail("a broken escape");
      code_ = code_ << 4 | digit;
      if (++digits_ == 4) addCode(), state_ = State::text;
      return true;
    }
    case State::bad:
      return false;
    default:
      break;
  }
  if (blank(c)) return true;
  switch (state_) {
    case State::firstItem:
      if (c == ']') {
        Value v = std::move(stack_.back().value);
        stack_.pop_back();
        return closed(std::move(v));
      }
      return begin(c);
    case State::value:
      return begin(c);
    case State::firstName:
      if (c == '}') {
        Value v = std::move(stack_.back().value);
        stack_.pop_back();
        return closed(std::move(v));
      }
      [[fallthrough]];
    case State::name:
      if (c != '"') return fail("a member without a name");
      nameNext_ = true, token_.clear(), high_ = 0, state_ = State::text;
      return true;
    case State::colon:
      if (c != ':') return fail("a member without a colon");
      state_ = State::value;
      return true;
    case State::comma: {
      bool list = stack_.back().value.kind == Value::Kind::array;
      if (c == ',') {
        state_ = list ? State::value : State::name;
        return true;
      }
      if (c != (list ? ']' : '}')) return fail("a comma or an end is missing");
      Value v = std::move(stack_.back().value);
      stack_.pop_back();
      return closed(std::move(v));
    }
    default:
      return fail("something follows the value");
  }
}

bool Reader::begin(char c) {
  token_.clear();
  // Danger: an empty list has two bytes in the text and fifty times as many here.
  held_ += sizeof(Level);
  if (held_ > most_) return fail("more values than memory allows");
  if (c == '{' || c == '[') {
    if (stack_.size() >= kDeepest) return fail("too deep");
    stack_.emplace_back();
    stack_.back().value.kind = c == '[' ? Value::Kind::array : Value::Kind::object;
    state_ = c == '[' ? State::firstItem : State::firstName;
  } else if (c == '"') {
    nameNext_ = false, high_ = 0, state_ = State::text;
  } else if (c == '-' || (c >= '0' && c <= '9')) {
    token_.push_back(c);
    state_ = State::number;
  } else if (c >= 'a' && c <= 'z') {
    token_.push_back(c);
    state_ = State::word;
  } else {
    return fail("no value begins like that");
  }
  return true;
}

bool Reader::closed(Value v) {
  if (stack_.empty()) {
    root_ = std::move(v);
    state_ = State::done;
    return true;
  }
  Level& up = stack_.back();
  if (up.value.kind == Value::Kind::array)
    up.value.items.push_back(std::move(v));
  else
    up.value.members.emplace_back(std::move(up.name), std::move(v));
  state_ = State::comma;
  return true;
}

bool Reader::endText() {
  if (high_ != 0) return fail("half a surrogate pair");
  if (nameNext_) {
    stack_.back().name = std::move(token_);
    token_.clear();
    state_ = State::colon;
    return true;
  }
  Value v;
  v.kind = Value::Kind::string;
  v.text = std::move(token_);
  token_.clear();
  return closed(std::move(v));
}

bool Reader::endNumber() {
  if (!wellFormed(token_)) return fail("a broken number");
  Value v;
  v.kind = Value::Kind::number;
  auto [end, error] = std::from_chars(token_.data(), token_.data() + token_.size(), v.number);
  if (error != std::errc{}) return fail("a number out of range");
  v.text = token_;
  return closed(std::move(v));
}

bool Reader::endWord() {
  Value v;
  if (token_ == "true" || token_ == "false") {
    v.kind = Value::Kind::boolean;
    v.boolean = token_ == "true";
  } else if (token_ != "null") {
    return fail("an unknown word");
  }
  return closed(std::move(v));
}

void Reader::addCode() {
  if (code_ >= 0xd800 && code_ < 0xdc00 && high_ == 0) {
    high_ = code_;
  } else if (high_ != 0 && code_ >= 0xdc00 && code_ < 0xe000) {
    addUtf8(token_, 0x10000 + ((high_ - 0xd800) << 10) + (code_ - 0xdc00));
    high_ = 0;
  } else {
    addUtf8(token_, code_ >= 0xd800 && code_ < 0xe000 ? 0xfffd : code_);
  }
}

bool parse(std::string_view text, Value& into, std::string& why, std::size_t most) {
  Reader r(most);
  bool good = r.feed(text) && r.finish();
  why = r.why();
  if (good) into = r.take();
  return good;
}

}  // namespace reedchute::json
