#include "codec/cql/text.h"

#include <algorithm>
#include <array>
#include <utility>

namespace reedchute::cql {
namespace {

enum class Token { end, word, quoted, literal, number, mark, sign, unclosed };

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}
bool digit(char c) {
  return c >= '0' && c <= '9';
}
bool letter(char c) {
  return (lower(c) >= 'a' && lower(c) <= 'z') || c == '_';
}
bool blank(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v';
}

class Tokens {
 public:
  explicit Tokens(std::string_view text) : text_(text) {}

  Token next() {
    if (!skip()) return Token::unclosed;
    if (at_ >= text_.size()) return Token::end;
    std::size_t from = begun = at_;
    char c = text_[at_];
    if (letter(c)) {
      while (at_ < text_.size() && (letter(text_[at_]) || digit(text_[at_]))) ++at_;
      word.assign(text_.substr(from, at_ - from));
      std::transform(word.begin(), word.end(), word.begin(), lower);
      return Token::word;
    }
    if (digit(c)) {
      // Numbers, and uuids whose first digit is one: signs inside them are no operators.
      while (at_ < text_.size() &&
             (letter(text_[at_]) || digit(text_[at_]) || text_[at_] == '.' || inUuid(from)))
        ++at_;
      return Token::number;
    }
    if (c == '\'') return quoted('\'', Token::literal);
    if (c == '"') return quoted('"', Token::quoted);
    if (text_.substr(at_, 2) == "$$") {
      std::size_t end = text_.find("$$", at_ + 2);
      if (end == std::string_view::npos) return Token::unclosed;
      literal = text_.substr(at_ + 2, end - at_ - 2);
      at_ = end + 2;
      return Token::literal;
    }
    ++at_;
    sign = c;
    if (c == '?') return Token::mark;
    if (c == ':' && at_ < text_.size() && letter(text_[at_])) {
      while (at_ < text_.size() && (letter(text_[at_]) || digit(text_[at_]))) ++at_;
      return Token::mark;
    }
    return Token::sign;
  }

  // Does this sign stand next, but for blanks and comments?
  bool follows(char c) {
    std::size_t kept = at_;
    bool is = skip() && at_ < text_.size() && text_[at_] == c;
    at_ = kept;
    return is;
  }

  std::string word;
  std::string_view literal;
  std::size_t begun = 0;  // where the token stands
  char sign = 0;

 private:
  bool inUuid(std::size_t from) const {
    std::size_t n = at_ - from;
    return text_[at_] == '-' && (n == 8 || n == 13 || n == 18 || n == 23);
  }
  bool skip() {
    while (at_ < text_.size()) {
      if (blank(text_[at_])) {
        ++at_;
      } else if (text_.substr(at_, 2) == "--" || text_.substr(at_, 2) == "//") {
        at_ = std::min(text_.find('\n', at_), text_.size());
      } else if (text_.substr(at_, 2) == "/*") {
        std::size_t end = text_.find("*/", at_ + 2);
        if (end == std::string_view::npos) return false;
        at_ = end + 2;
      } else {
        break;
      }
    }
    return true;
  }
  Token quoted(char q, Token as) {
    word.clear();
    std::size_t from = ++at_;
    for (;;) {
      std::size_t end = text_.find(q, at_);
      if (end == std::string_view::npos) return Token::unclosed;
      word += text_.substr(at_, end - at_);
      at_ = end + 1;
      if (at_ >= text_.size() || text_[at_] != q) {
        literal = text_.substr(from, end - from);
        return as;
      }
      word += q;
      ++at_;
    }
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

bool oneOf(std::string_view word, std::initializer_list<std::string_view> words) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

// Functions that give the same for the same arguments, whenever and wherever they run.
bool pure(std::string_view f) {
  return oneOf(f, {"token", "cast", "mintimeuuid", "maxtimeuuid", "todate", "totimestamp",
                   "tounixtimestamp", "to_date", "to_timestamp", "to_unix_timestamp",
                   "min_timeuuid", "max_timeuuid", "writetime", "ttl", "tojson", "to_json",
                   "fromjson", "from_json"}) ||
         f.starts_with("blobas") || f.starts_with("blob_as_") || f.ends_with("asblob") ||
         f.ends_with("_as_blob");
}

// Words before a parenthesis that call no function.
bool noCall(std::string_view w) {
  return oneOf(w, {"values", "in", "and", "where", "if", "into", "set", "key", "contains", "using",
                   "or", "not"});
}

Kind kindOf(std::string_view word) {
  if (word == "select") return Kind::read;
  if (oneOf(word, {"insert", "update", "delete"})) return Kind::write;
  if (word == "begin") return Kind::batch;
  if (word == "use") return Kind::use;
  if (oneOf(word, {"create", "alter", "drop", "truncate", "grant", "revoke"})) return Kind::schema;
  return Kind::other;
}

class Reading {
 public:
  Reading(std::string_view text, TextRead& into) : tokens_(text), r_(into) {}

  TextState all() {
    for (;;) {
      Token t = tokens_.next();
      if (t == Token::unclosed) return TextState::unclosed;
      if (t == Token::end) {
        if (naming_ && namingState_ == 1) bareName();
        break;
      }
      if (t == Token::sign && tokens_.sign == ';') {
        ended_ = any_ && !(r_.kind == Kind::batch || r_.kind == Kind::counter) ? true
                                                                               : ended_ || applied_;
        clause_ = Clause::other;
        continue;
      }
      if (ended_) return TextState::several;
      if (t == Token::sign && !bracket(tokens_.sign)) return TextState::unclosed;
      note(t);
      any_ = true;
    }
    if (!any_) return TextState::empty;
    if (depth_ != 0) return TextState::unclosed;
    // A batch that isn't applied to its end would be another statement.
    if ((r_.kind == Kind::batch || r_.kind == Kind::counter) && !applied_)
      return TextState::unclosed;
    if (r_.kind == Kind::write && r_.nature == Nature::conditional) r_.kind = Kind::conditional;
    if (r_.kind == Kind::schema) r_.nature = Nature::schema;
    if (ofKeyspace_) r_.keyspace = std::exchange(r_.table, {});
    return TextState::good;
  }

 private:
  enum class Clause { other, set, where };

  bool bracket(char c) {
    if (c == '(' || c == '[' || c == '{') ++depth_;
    if (c == ')' || c == ']' || c == '}') --depth_;
    return depth_ >= 0;
  }

  void blame(Nature n) {
    if (writes() && r_.nature == Nature::idempotent) r_.nature = n;
  }
  bool writes() const { return r_.kind != Kind::read && r_.kind != Kind::use; }

  void note(Token t) {
    bool first = !any_;
    if (t == Token::mark) ++r_.markers;
    if (t == Token::literal && r_.firstLiteral.empty()) r_.firstLiteral = tokens_.literal;
    operate(t);
    if (naming_) {
      if (name(t)) {
        last_ = t, lastSign_ = tokens_.sign;
        return;
      }
    }
    if (t == Token::word) word(first);
    if (t == Token::quoted && tokens_.follows('(')) blame(Nature::function);
    last_ = t, lastSign_ = tokens_.sign;
  }

  // A plus or minus between two operands, in what UPDATE sets: what is left of it was there
  // already.
  void operate(Token t) {
    if (pending_ != 0) {
      bool literalSet = t == Token::sign && tokens_.sign == '{';
      bool removed = pending_ == '-' && t == Token::sign && tokens_.sign == '[';
      if (!literalSet && !removed && !setLeft_) blame(Nature::appends);
      pending_ = 0;
    }
    if (t != Token::sign || clause_ != Clause::set || depth_ != 0) return;
    if (tokens_.sign != '+' && tokens_.sign != '-') return;
    bool operand = last_ != Token::sign || lastSign_ == ')' || lastSign_ == ']' || lastSign_ == '}';
    if (!operand) return;
    pending_ = tokens_.sign;
    setLeft_ = last_ == Token::sign && lastSign_ == '}';
  }

  // The name of a table, with or without its keyspace. False: the token is none of it.
  bool name(Token t) {
    bool part = t == Token::word || t == Token::quoted;
    if (t == Token::word && namingState_ == 0 &&
        oneOf(tokens_.word, {"table", "if", "not", "exists"}))
      return true;
    if (namingState_ == 1) {
      if (t == Token::sign && tokens_.sign == '.') {
        namingState_ = 2;
        return true;
      }
      bareName();
      return false;
    }
    if (!part) {
      naming_ = false;
      return false;
    }
    if (r_.table.empty() || namingState_ == 2) {
      if (namingState_ == 2 && mine_) r_.keyspace = r_.table;
      if (namingState_ == 0 || mine_) r_.table = tokens_.word, mine_ = true;
    }
    naming_ = namingState_ == 0;
    if (naming_)
      nameAt_ = tokens_.begun, firstPart_ = tokens_.word;
    else
      mine_ = false, r_.someSystem |= systemKeyspace(firstPart_);
    namingState_ = 1;
    return true;
  }
  void bareName() {
    naming_ = false;
    if (r_.kind != Kind::use && !ofKeyspace_) r_.bare.push_back(nameAt_);
  }
  void startName() {
    // A batch is told by the table that it names first.
    naming_ = true, namingState_ = 0, mine_ = false;
  }

  void word(bool first) {
    const std::string& w = tokens_.word;
    if (first) {
      r_.kind = kindOf(w);
      if (r_.kind == Kind::use) startName();
    }
    if (depth_ == 0) {
      if (oneOf(w, {"from", "into", "update", "truncate"}) && r_.kind != Kind::use) {
        if (w != "update" || first || last_ != Token::word || lastWord_ != "for") startName();
      }
      if (r_.kind == Kind::schema && r_.table.empty() &&
          oneOf(w, {"table", "type", "view", "keyspace"})) {
        startName();
        ofKeyspace_ = w == "keyspace";
      }
      if (w == "counter" && r_.kind == Kind::batch && lastWord_ == "begin")
        r_.kind = Kind::counter, r_.nature = Nature::counter;
      if (w == "apply" && (r_.kind == Kind::batch || r_.kind == Kind::counter)) applied_ = true;
      if (w == "set") clause_ = Clause::set;
      if (w == "where") clause_ = Clause::where;
      if (w == "if" && writes() && r_.kind != Kind::schema) blame(Nature::conditional);
      if (w == "delete") deletes_ = true;
      if (w == "from") deletes_ = false;
    }
    if (deletes_ && tokens_.follows('[')) blame(Nature::byPlace);
    // Some of these keywords may also name a function; as an operand they do.
    bool operand = last_ == Token::sign &&
                   std::string_view("=+-*/%,(<>:").find(lastSign_) != std::string_view::npos;
    if (tokens_.follows('(') && (operand || !noCall(w)) && !pure(w)) blame(Nature::function);
    lastWord_ = w;
  }

  Tokens tokens_;
  TextRead& r_;
  bool any_ = false, ended_ = false, applied_ = false, deletes_ = false;
  bool naming_ = false, mine_ = false, setLeft_ = false, ofKeyspace_ = false;
  std::size_t nameAt_ = 0;
  std::string firstPart_;
  int namingState_ = 0;  // 0: a name comes; 1: a dot may; 2: the second part comes
  int depth_ = 0;
  Clause clause_ = Clause::other;
  char pending_ = 0, lastSign_ = 0;
  Token last_ = Token::end;
  std::string lastWord_;
};

}  // namespace

const char* nameOf(Kind k) {
  static constexpr std::array kNames = {"read",    "write",  "batch", "conditional",
                                        "counter", "schema", "use",   "other"};
  return kNames[static_cast<std::size_t>(k)];
}

const char* nameOf(Nature n) {
  static constexpr std::array kNames = {"idempotent", "conditional", "counter", "function",
                                        "appends",    "schema",      "byPlace"};
  return kNames[static_cast<std::size_t>(n)];
}

bool systemKeyspace(std::string_view keyspace) {
  return keyspace == "system" || keyspace.starts_with("system_");
}

std::string qualified(std::string_view text, const std::vector<std::size_t>& bare,
                      std::string_view keyspace) {
  std::string name = "\"";
  for (char c : keyspace) name += c == '"' ? "\"\"" : std::string(1, c);
  name += "\".";
  std::string out;
  std::size_t from = 0;
  for (std::size_t at : bare) {
    out += text.substr(from, at - from);
    out += name;
    from = at;
  }
  return out += text.substr(from);
}

bool readSelection(std::string_view text, std::vector<std::string>& columns) {
  Tokens t(text);
  if (t.next() != Token::word || t.word != "select") return false;
  bool comma = false, all = false;
  for (;;) {
    Token token = t.next();
    if (!comma && (token == Token::word || token == Token::quoted)) {
      if (token == Token::word && t.word == "from") return false;
      columns.push_back(t.word);
    } else if (!comma && token == Token::sign && t.sign == '*' && columns.empty()) {
      all = true;
    } else if (comma && token == Token::word && t.word == "from") {
      return all || !columns.empty();
    } else if (!(comma && !all && token == Token::sign && t.sign == ',')) {
      return false;
    }
    comma = !comma;
  }
}

TextState readText(std::string_view text, TextRead& into) {
  TextState state = Reading(text, into).all();
  into.systemTable = systemKeyspace(into.keyspace);
  if (into.kind == Kind::use) into.keyspace = std::exchange(into.table, {});
  return state;
}

}  // namespace reedchute::cql
