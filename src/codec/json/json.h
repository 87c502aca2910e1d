// An incremental JSON parser (RFC 8259): it is fed bytes as they arrive and builds one value. No
// I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace reedchute::json {

// A parsed JSON value. Only the fields of its kind are set.
struct Value {
  enum class Kind { null, boolean, number, string, array, object };
  Kind kind = Kind::null;
  bool boolean = false;
  double number = 0;
  std::string text;  // a string, or the characters of a number in the input
  std::vector<Value> items;
  std::vector<std::pair<std::string, Value>> members;

  // Defined in json.cpp, because Value is incomplete here as the type of its own members.
  Value();
  Value(const Value&);
  Value(Value&&) noexcept;
  Value& operator=(const Value&);
  Value& operator=(Value&&) noexcept;
  ~Value();

  // Returns the first member of this name, or null.
  const Value* find(std::string_view name) const;
  bool isString() const { return kind == Kind::string; }
  bool isNumber() const { return kind == Kind::number; }
};

class Reader {
 public:
  // `maxBytes`: the maximum memory of the values, which may be much larger than their text.
  explicit Reader(std::size_t maxBytes = SIZE_MAX) : maxBytes_(maxBytes) {}

  // Returns false once the input is invalid; error() then describes the reason.
  bool feed(std::string_view bytes);
  // Must be called at the end of the input. Returns true if exactly one complete value was read.
  bool finish();
  const std::string& error() const { return error_; }
  Value take() { return std::move(root_); }

 private:
  // The token that the next character belongs to or begins.
  enum class State {
    value,
    firstItem,  // a value, or the end of an empty array
    firstName,  // a name, or the end of an empty object
    name,
    colon,
    comma,  // or the end of the array or object
    string,
    escape,
    hex,
    number,
    word,
    done,
    failed
  };
  // An array or object that is not closed yet.
  struct Level {
    Value value;
    std::string name;  // of the member that is being read
  };

  // These process one character and return false once the input is invalid.
  bool step(char c);
  bool stepString(char c);
  bool stepEscape(char c);
  bool stepHex(char c);
  bool stepNumber(char c);
  bool stepWord(char c);
  bool stepBetweenTokens(char c);
  bool stepFirstItem(char c);
  bool stepFirstName(char c);
  bool stepName(char c);
  bool stepColon(char c);
  bool stepComma(char c);

  bool beginValue(char c);
  void beginString(bool isName);
  bool endString();
  bool endNumber();
  bool endWord();
  bool endLevel();
  bool addValue(Value value);
  void addEscapedCode();
  bool fail(const char* error);

  std::size_t maxBytes_;
  std::size_t usedBytes_ = 0;
  State state_ = State::value;
  std::vector<Level> stack_;
  std::string token_;           // the current string, number or word (true, false, null)
  bool isName_ = false;         // the current string is the name of a member
  unsigned code_ = 0;           // of a \u escape
  unsigned highSurrogate_ = 0;  // of a surrogate pair that is still incomplete; 0: none
  int hexDigits_ = 0;
  Value root_;
  std::string error_;
};

// Parses a complete text into `into`. Returns false if it is invalid; `error` then describes the
// reason.
bool parse(std::string_view text, Value& into, std::string& error, std::size_t maxBytes = SIZE_MAX);

}  // namespace reedchute::json
