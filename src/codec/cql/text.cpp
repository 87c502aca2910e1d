#include "codec/cql/text.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <utility>

namespace reedchute::cql {
namespace {

enum class Token { end, word, quoted, literal, number, bindMarker, symbol, unclosed };

constexpr std::size_t kPairSize = 2;  // bytes of "--", "//", "/*", "*/" and "$$"

char lower(char character) {
  bool isUpper = character >= 'A' && character <= 'Z';
  return isUpper ? static_cast<char>(character - 'A' + 'a') : character;
}

bool isDigit(char character) {
  return character >= '0' && character <= '9';
}

bool isLetter(char character) {
  return (lower(character) >= 'a' && lower(character) <= 'z') || character == '_';
}

bool isWordCharacter(char character) {
  return isLetter(character) || isDigit(character);
}

bool isBlank(char character) {
  return character == ' ' || character == '\t' || character == '\n' || character == '\r' ||
         character == '\f' || character == '\v';
}

// Splits a text into tokens, skipping blanks and comments.
class Tokenizer {
 public:
  explicit Tokenizer(std::string_view text) : text_(text) {}

  Token next() {
    if (!skipBlanksAndComments()) return Token::unclosed;
    if (position_ >= text_.size()) return Token::end;
    begin_ = position_;
    char character = text_[position_];
    if (isLetter(character)) return scanWord();
    if (isDigit(character)) return scanNumber();
    if (character == '\'') return scanQuoted('\'', Token::literal);
    if (character == '"') return scanQuoted('"', Token::quoted);
    if (startsWithPair("$$")) return scanDollarQuoted();
    return scanSymbol();
  }

  // Whether the next character after blanks and comments is `symbol`. Consumes nothing.
  bool isFollowedBy(char symbol) {
    std::size_t position = position_;
    bool isNext = skipBlanksAndComments() && position_ < text_.size() && text_[position_] == symbol;
    position_ = position;
    return isNext;
  }

  // The last word in lower case, or the last quoted name or literal without its quotes and with
  // doubled quotes unescaped. Dollar-quoted literals don't set it.
  const std::string& word() const { return word_; }
  // The last literal without its quotes, otherwise exactly as in the text.
  std::string_view literal() const { return literal_; }
  // The offset of the last token.
  std::size_t begin() const { return begin_; }
  // The first character of the last symbol or bind marker.
  char symbol() const { return symbol_; }

 private:
  bool startsWithPair(std::string_view characters) const {
    return text_.substr(position_, kPairSize) == characters;
  }

  void skipWordCharacters() {
    while (position_ < text_.size() && isWordCharacter(text_[position_])) ++position_;
  }

  Token scanWord() {
    skipWordCharacters();
    word_.assign(text_.substr(begin_, position_ - begin_));
    std::transform(word_.begin(), word_.end(), word_.begin(), lower);
    return Token::word;
  }

  // Scans a number, or a UUID whose first character is a digit. The hyphens of a UUID must not be
  // taken for operators.
  Token scanNumber() {
    while (position_ < text_.size()) {
      char character = text_[position_];
      if (!isWordCharacter(character) && character != '.' && !isUuidHyphen()) break;
      ++position_;
    }
    return Token::number;
  }

  bool isUuidHyphen() const {
    std::size_t offset = position_ - begin_;
    bool isHyphenOffset = offset == 8 || offset == 13 || offset == 18 || offset == 23;
    return text_[position_] == '-' && isHyphenOffset;
  }

  Token scanDollarQuoted() {
    std::size_t begin = position_ + kPairSize;
    std::size_t end = text_.find("$$", begin);
    if (end == std::string_view::npos) return Token::unclosed;
    literal_ = text_.substr(begin, end - begin);
    position_ = end + kPairSize;
    return Token::literal;
  }

  Token scanSymbol() {
    symbol_ = text_[position_];
    ++position_;
    if (symbol_ == '?') return Token::bindMarker;
    if (symbol_ == ':' && position_ < text_.size() && isLetter(text_[position_])) {
      skipWordCharacters();
      return Token::bindMarker;
    }
    return Token::symbol;
  }

  Token scanQuoted(char quote, Token token) {
    word_.clear();
    ++position_;
    std::size_t begin = position_;
    for (;;) {
      std::size_t end = text_.find(quote, position_);
      if (end == std::string_view::npos) return Token::unclosed;
      word_ += text_.substr(position_, end - position_);
      position_ = end + 1;
      if (position_ >= text_.size() || text_[position_] != quote) {
        literal_ = text_.substr(begin, end - begin);
        return token;
      }
      word_ += quote;
      ++position_;
    }
  }

  // False if a comment is unclosed.
  bool skipBlanksAndComments() {
    while (position_ < text_.size()) {
      if (isBlank(text_[position_])) {
        ++position_;
      } else if (startsWithPair("--") || startsWithPair("//")) {
        position_ = std::min(text_.find('\n', position_), text_.size());
      } else if (startsWithPair("/*")) {
        std::size_t end = text_.find("*/", position_ + kPairSize);
        if (end == std::string_view::npos) return false;
        position_ = end + kPairSize;
      } else {
        break;
      }
    }
    return true;
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::string word_;
  std::string_view literal_;
  std::size_t begin_ = 0;
  char symbol_ = 0;
};

bool isOneOf(std::string_view word, std::initializer_list<std::string_view> words) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

// Whether a function is known to be deterministic: the same arguments yield the same result at any
// time and on any server.
bool isPureFunction(std::string_view function) {
  return isOneOf(function, {"token", "cast", "mintimeuuid", "maxtimeuuid", "todate", "totimestamp",
                            "tounixtimestamp", "to_date", "to_timestamp", "to_unix_timestamp",
                            "min_timeuuid", "max_timeuuid", "writetime", "ttl", "tojson", "to_json",
                            "fromjson", "from_json"}) ||
         function.starts_with("blobas") || function.starts_with("blob_as_") ||
         function.ends_with("asblob") || function.ends_with("_as_blob");
}

// Whether a keyword may precede a parenthesis without being a function call.
bool isKeywordBeforeParenthesis(std::string_view word) {
  return isOneOf(word, {"values", "in", "and", "where", "if", "into", "set", "key", "contains",
                        "using", "or", "not"});
}

Kind kindOf(std::string_view word) {
  if (word == "select") return Kind::read;
  if (isOneOf(word, {"insert", "update", "delete"})) return Kind::write;
  if (word == "begin") return Kind::batch;
  if (word == "use") return Kind::use;
  if (isOneOf(word, {"create", "alter", "drop", "truncate", "grant", "revoke"}))
    return Kind::schema;
  return Kind::other;
}

bool isClosingBracket(char symbol) {
  return symbol == ')' || symbol == ']' || symbol == '}';
}

// Parses one statement or batch, token by token.
class StatementReader {
 public:
  StatementReader(std::string_view text, ParsedText& into) : tokens_(text), result_(into) {}

  TextState read() {
    for (;;) {
      Token token = tokens_.next();
      if (token == Token::unclosed) return TextState::unclosed;
      if (token == Token::end) break;
      if (isSymbol(token, ';')) {
        onSemicolon();
        continue;
      }
      if (hasEnded_) return TextState::several;
      if (token == Token::symbol && !trackBracket(tokens_.symbol())) return TextState::unclosed;
      onToken(token);
      hasToken_ = true;
    }
    if (isInName_ && namingStep_ == NamingStep::dot) addUnqualifiedName();
    return finish();
  }

 private:
  enum class Clause { other, set, where };
  // The part of a table's name that is expected next.
  enum class NamingStep { firstPart, dot, secondPart };

  TextState finish() {
    if (!hasToken_) return TextState::empty;
    if (depth_ != 0) return TextState::unclosed;
    // A batch without APPLY is incomplete; executing it as a whole one would be a different
    // statement.
    if (isBatch() && !isApplied_) return TextState::unclosed;
    if (result_.kind == Kind::write && result_.nature == Nature::conditional)
      result_.kind = Kind::conditional;
    if (result_.kind == Kind::schema) result_.nature = Nature::schema;
    if (namesKeyspace_) result_.keyspace = std::exchange(result_.table, {});
    return TextState::good;
  }

  bool isBatch() const { return result_.kind == Kind::batch || result_.kind == Kind::counter; }
  bool mayWrite() const { return result_.kind != Kind::read && result_.kind != Kind::use; }
  bool isSymbol(Token token, char symbol) const {
    return token == Token::symbol && tokens_.symbol() == symbol;
  }

  void onSemicolon() {
    bool endsStatement = hasToken_ && !isBatch();
    if (endsStatement || isApplied_) hasEnded_ = true;
    clause_ = Clause::other;
  }

  // Updates the bracket depth; false on a closing bracket without an opening one.
  bool trackBracket(char symbol) {
    if (symbol == '(' || symbol == '[' || symbol == '{') ++depth_;
    if (isClosingBracket(symbol)) --depth_;
    return depth_ >= 0;
  }

  // Only the first reason found is kept.
  void setNature(Nature nature) {
    if (mayWrite() && result_.nature == Nature::idempotent) result_.nature = nature;
  }

  void onToken(Token token) {
    if (token == Token::bindMarker) ++result_.markers;
    if (token == Token::literal && result_.firstLiteral.empty())
      result_.firstLiteral = tokens_.literal();
    checkOperator(token);
    bool isPartOfName = isInName_ && readName(token);
    if (!isPartOfName) {
      if (token == Token::word) onWord();
      if (token == Token::quoted && tokens_.isFollowedBy('(')) setNature(Nature::function);
    }
    lastToken_ = token;
    lastSymbol_ = tokens_.symbol();
  }

  // In the SET clause of an UPDATE, a plus or minus between two operands modifies the previous
  // value. Repeating that is harmless if one operand is a set or map literal, or if list elements
  // are removed.
  void checkOperator(Token token) {
    if (pendingOperator_ != 0) {
      bool hasSetLiteralOnRight = isSymbol(token, '{');
      bool removesFromList = pendingOperator_ == '-' && isSymbol(token, '[');
      if (!hasSetLiteralOnRight && !removesFromList && !hasSetLiteralOnLeft_)
        setNature(Nature::appends);
      pendingOperator_ = 0;
    }
    if (clause_ != Clause::set || depth_ != 0) return;
    if (!isSymbol(token, '+') && !isSymbol(token, '-')) return;
    bool followsOperand = lastToken_ != Token::symbol || isClosingBracket(lastSymbol_);
    if (!followsOperand) return;
    pendingOperator_ = tokens_.symbol();
    hasSetLiteralOnLeft_ = lastToken_ == Token::symbol && lastSymbol_ == '}';
  }

  // Reads a token of a table's name, with or without keyspace; false if the token isn't part of it.
  bool readName(Token token) {
    if (namingStep_ == NamingStep::dot) return readDot(token);
    bool isFirstPart = namingStep_ == NamingStep::firstPart;
    if (isFirstPart && token == Token::word &&
        isOneOf(tokens_.word(), {"table", "if", "not", "exists"}))
      return true;
    if (token != Token::word && token != Token::quoted) {
      isInName_ = false;
      return false;
    }
    if (isFirstPart) {
      onFirstPart();
    } else {
      onSecondPart();
    }
    namingStep_ = NamingStep::dot;
    return true;
  }

  bool readDot(Token token) {
    if (isSymbol(token, '.')) {
      namingStep_ = NamingStep::secondPart;
      return true;
    }
    addUnqualifiedName();
    return false;
  }

  void onFirstPart() {
    if (result_.table.empty()) {
      result_.table = tokens_.word();
      isFirstTable_ = true;
    }
    nameOffset_ = tokens_.begin();
    firstPart_ = tokens_.word();
  }

  void onSecondPart() {
    if (isFirstTable_) {
      result_.keyspace = result_.table;
      result_.table = tokens_.word();
    }
    isInName_ = false;
    isFirstTable_ = false;
    if (isSystemKeyspace(firstPart_)) result_.usesSystemTable = true;
  }

  void addUnqualifiedName() {
    isInName_ = false;
    if (result_.kind != Kind::use && !namesKeyspace_)
      result_.unqualifiedOffsets.push_back(nameOffset_);
  }

  void startName() {
    isInName_ = true;
    namingStep_ = NamingStep::firstPart;
    isFirstTable_ = false;
  }

  void onWord() {
    const std::string& word = tokens_.word();
    if (!hasToken_) {
      result_.kind = kindOf(word);
      if (result_.kind == Kind::use) startName();
    }
    if (depth_ == 0) {
      startNameAfter(word);
      onKeyword(word);
    }
    if (isDeleting_ && tokens_.isFollowedBy('[')) setNature(Nature::byPlace);
    if (callsFunction(word) && !isPureFunction(word)) setNature(Nature::function);
    lastWord_ = word;
  }

  void startNameAfter(const std::string& word) {
    bool isForUpdate = word == "update" && hasToken_ && lastToken_ == Token::word &&
                       lastWord_ == "for";
    bool precedesTable = isOneOf(word, {"from", "into", "update", "truncate"});
    if (precedesTable && result_.kind != Kind::use && !isForUpdate) startName();
    if (result_.kind != Kind::schema || !result_.table.empty()) return;
    if (!isOneOf(word, {"table", "type", "view", "keyspace"})) return;
    startName();
    namesKeyspace_ = word == "keyspace";
  }

  void onKeyword(const std::string& word) {
    if (word == "counter" && result_.kind == Kind::batch && lastWord_ == "begin") {
      result_.kind = Kind::counter;
      result_.nature = Nature::counter;
    }
    if (word == "apply" && isBatch()) isApplied_ = true;
    if (word == "set") clause_ = Clause::set;
    if (word == "where") clause_ = Clause::where;
    if (word == "if" && result_.kind != Kind::schema) setNature(Nature::conditional);
    if (word == "delete") isDeleting_ = true;
    if (word == "from") isDeleting_ = false;
  }

  // A keyword can also be the name of a function. Where an operand is expected, it is one.
  bool callsFunction(const std::string& word) {
    if (!tokens_.isFollowedBy('(')) return false;
    bool isOperand = lastToken_ == Token::symbol &&
                     std::string_view("=+-*/%,(<>:").find(lastSymbol_) != std::string_view::npos;
    return isOperand || !isKeywordBeforeParenthesis(word);
  }

  Tokenizer tokens_;
  ParsedText& result_;
  bool hasToken_ = false;       // a token of the statement has been read
  bool hasEnded_ = false;       // the statement's final semicolon has been read
  bool isApplied_ = false;      // APPLY of a batch has been read
  bool isDeleting_ = false;     // between DELETE and FROM
  bool namesKeyspace_ = false;  // the DDL statement names a keyspace, not a table

  bool isInName_ = false;  // inside a table's name
  NamingStep namingStep_ = NamingStep::firstPart;
  bool isFirstTable_ = false;   // the name is the first table name of the statement
  std::size_t nameOffset_ = 0;  // offset of the current name
  std::string firstPart_;

  int depth_ = 0;  // open brackets
  Clause clause_ = Clause::other;
  char pendingOperator_ = 0;  // plus or minus whose right operand comes next; 0 if none
  bool hasSetLiteralOnLeft_ = false;
  char lastSymbol_ = 0;
  Token lastToken_ = Token::end;
  std::string lastWord_;
};

}  // namespace

const char* nameOf(Kind kind) {
  static constexpr std::array kNames = {"read",    "write",  "batch", "conditional",
                                        "counter", "schema", "use",   "other"};
  return kNames[static_cast<std::size_t>(kind)];
}

const char* nameOf(Nature nature) {
  static constexpr std::array kNames = {"idempotent", "conditional", "counter", "function",
                                        "appends",    "schema",      "byPlace"};
  return kNames[static_cast<std::size_t>(nature)];
}

bool isSystemKeyspace(std::string_view keyspace) {
  return keyspace == "system" || keyspace.starts_with("system_");
}

std::string qualifyTables(std::string_view text, const std::vector<std::size_t>& offsets,
                          std::string_view keyspace) {
  std::string name = "\"";
  for (char character : keyspace) {
    // A double quote inside a quoted name is escaped by doubling it.
    if (character == '"') name += character;
    name += character;
  }
  name += "\".";
  std::string out;
  std::size_t copied = 0;
  for (std::size_t nameOffset : offsets) {
    out += text.substr(copied, nameOffset - copied);
    out += name;
    copied = nameOffset;
  }
  out += text.substr(copied);
  return out;
}

bool readSelection(std::string_view text, std::vector<std::string>& columns) {
  Tokenizer tokens(text);
  if (tokens.next() != Token::word || tokens.word() != "select") return false;
  bool expectsColumn = true;
  bool selectsAll = false;
  for (;;) {
    Token token = tokens.next();
    bool isFrom = token == Token::word && tokens.word() == "from";
    if (expectsColumn) {
      if (isFrom) return false;
      if (token == Token::word || token == Token::quoted) {
        columns.push_back(tokens.word());
      } else if (token == Token::symbol && tokens.symbol() == '*' && columns.empty()) {
        selectsAll = true;
      } else {
        return false;
      }
    } else {
      if (isFrom) return selectsAll || !columns.empty();
      if (selectsAll || token != Token::symbol || tokens.symbol() != ',') return false;
    }
    expectsColumn = !expectsColumn;
  }
}

TextState readText(std::string_view text, ParsedText& into) {
  TextState state = StatementReader(text, into).read();
  into.isSystemTable = isSystemKeyspace(into.keyspace);
  if (into.kind == Kind::use) into.keyspace = std::exchange(into.table, {});
  return state;
}

}  // namespace reedchute::cql
