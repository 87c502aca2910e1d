// An incremental JSON reader: fed bytes as they come, it builds one value. No I/O.
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
  std::string text;  // of a text; of a number, its digits as they came
  std::vector<Value> items;
  std::vector<std::pair<std::string, Value>> members;

  // Defined in json.cpp, as the members' type is complete only after this class.
  Value();
  Value(const Value&);
  Value(Value&&) noexcept;
  Value& operator=(const Value&);
  Value& operator=(Value&&) noexcept;
  ~Value();

  const Value* find(std::string_view name) const;
  bool isString() const { return kind == Kind::string; }
  bool isNumber() const { return kind == Kind::number; }
};

class Reader {
 public:
  // `most`: bytes that the values may take, however short their text.
  explicit Reader(std::size_t most = SIZE_MAX) : most_(most) {}

  // False once the input can't be JSON any more; `why` then says so.
  bool feed(std::string_view bytes);
  // Call at the end of the input: true when exactly one whole value was read.
  bool finish();
  const std::string& why() const { return why_; }
  Value take() { return std::move(root_); }

 private:
  enum class State {
    value,
    firstItem,
    firstName,
    name,
    colon,
    comma,
    text,
    escape,
    hex,
    number,
    word,
    done,
    bad
  };
  struct Level {
    Value value;
    std::string name;  // of the member that is being read
  };

  bool step(char c);
  bool begin(char c);
  bool closed(Value v);
  bool endText();
  bool endNumber();
  bool endWord();
  bool fail(const char* why);
  void addCode();

  std::size_t most_, held_ = 0;
  State state_ = State::value;
  std::vector<Level> stack_;
  std::string token_;
  bool nameNext_ = false;
  unsigned code_ = 0, high_ = 0;
  int digits_ = 0;
  Value root_;
  std::string why_;
};

// A whole text at once.
bool parse(std::string_view text, Value& into, std::string& why, std::size_t most = SIZE_MAX);

}  // namespace reedchute::json
