// An incremental JSON reader: it is fed bytes as they arrive and builds one value. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace reedchute::json {

struct Value {
  enum class Kind { null, boolean, number, string, array, object };
  Kind kind = Kind::null;
  bool boolean = false;
  double number = 0;
  std::string text;  // of a string; of a number, its characters in the input
  std::vector<Value> items;
  std::vector<std::pair<std::string, Value>> members;

  // Defined in json.cpp, as the members' type is complete only after this class.
  Value();
  Value(const Value&);
  Value(Value&&) noexcept;
  Value& operator=(const Value&);
  Value& operator=(Value&&) noexcept;
  ~Value();

  // The first member of this name; null if there is none.
  const Value* find(std::string_view name) const;
  bool isString() const { return kind == Kind::string; }
  bool isNumber() const { return kind == Kind::number; }
};

class Reader {
 public:
  // `maxBytes`: memory that the values may take, however short their text.
  explicit Reader(std::size_t maxBytes = SIZE_MAX) : maxBytes_(maxBytes) {}

  // False once the input can't be JSON any more; why() then tells the reason.
  bool feed(std::string_view bytes);
  // To be called at the end of the input: true if exactly one whole value was read.
  bool finish();
  const std::string& why() const { return why_; }
  Value take() { return std::move(root_); }

 private:
  // What the next character belongs to.
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
    bad
  };
  // An array or object that is not closed yet.
  struct Level {
    Value value;
    std::string name;  // of the member that is being read
  };

  // One character. All return false once the input can't be JSON any more.
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
  bool fail(const char* why);

  std::size_t maxBytes_;
  std::size_t usedBytes_ = 0;
  State state_ = State::value;
  std::vector<Level> stack_;
  std::string token_;  // the string, number or word that is being read
  bool isName_ = false;
  unsigned code_ = 0;           // of a \u escape
  unsigned highSurrogate_ = 0;  // of a pair whose second half is missing; 0: none
  int hexDigits_ = 0;
  Value root_;
  std::string why_;
};

// Reads a whole text. False if it is no JSON; `why` then tells the reason.
bool parse(std::string_view text, Value& into, std::string& why, std::size_t maxBytes = SIZE_MAX);

}  // namespace reedchute::json
