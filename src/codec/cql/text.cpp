#include "codec/cql/text.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <utility>

namespace reedchute::cql {
namespace {

enum class Token { end, word, quoted, literal, number, mark, sign, unclosed };

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

// Splits a text into tokens, without blanks and comments.
class Tokenizer {
 public:
  explicit Tokenizer(std::string_view text) : text_(text) {}

  Token next() {
    if (!skipBlanks()) return Token::unclosed;
    if (position_ >= text_.size()) return Token::end;
    begin_ = position_;
    char character = text_[position_];
    if (isLetter(character)) return scanWord();
    if (isDigit(character)) return scanNumber();
    if (character == '\'') return scanQuoted('\'', Token::literal);
    if (character == '"') return scanQuoted('"', Token::quoted);
    if (startsHere("$$")) return scanDollarQuoted();
    return scanSign();
  }

  // Whether this sign is next, apart from blanks and comments.
  bool isFollowedBy(char sign) {
    std::size_t position = position_;
    bool isNext = skipBlanks() && position_ < text_.size() && text_[position_] == sign;
    position_ = position;
    return isNext;
  }

  // The last word in lower case, or the last quoted name or literal without its quotes.
  const std::string& word() const { return word_; }
  // The last literal, as the text has it between its quotes.
  std::string_view literal() const { return literal_; }
  // The offset of the last token.
  std::size_t begin() const { return begin_; }
  // The first character of the last sign or mark.
  char sign() const { return sign_; }

 private:
  bool startsHere(std::string_view pair) const {
    return text_.substr(position_, kPairSize) == pair;
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

  // A number, or a uuid whose first character is a digit: signs inside them are no operators.
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
    bool isHyphenPlace = offset == 8 || offset == 13 || offset == 18 || offset == 23;
    return text_[position_] == '-' && isHyphenPlace;
  }

  Token scanDollarQuoted() {
    std::size_t begin = position_ + kPairSize;
    std::size_t end = text_.find("$$", begin);
    if (end == std::string_view::npos) return Token::unclosed;
    literal_ = text_.substr(begin, end - begin);
    position_ = end + kPairSize;
    return Token::literal;
  }

  Token scanSign() {
    sign_ = text_[position_];
    ++position_;
    if (sign_ == '?') return Token::mark;
    if (sign_ == ':' && position_ < text_.size() && isLetter(text_[position_])) {
      skipWordCharacters();
      return Token::mark;
    }
    return Token::sign;
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

  // Skips blanks and comments; false if a comment has no end.
  bool skipBlanks() {
    while (position_ < text_.size()) {
      if (isBlank(text_[position_])) {
        ++position_;
      } else if (startsHere("--") || startsHere("//")) {
        position_ = std::min(text_.find('\n', position_), text_.size());
      } else if (startsHere("/*")) {
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
  char sign_ = 0;
};

bool isOneOf(std::string_view word, std::initializer_list<std::string_view> words) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

// Functions that give the same for the same arguments, whenever and wherever they run.
bool isPure(std::string_view function) {
  return isOneOf(function, {"token", "cast", "mintimeuuid", "maxtimeuuid", "todate", "totimestamp",
                            "tounixtimestamp", "to_date", "to_timestamp", "to_unix_timestamp",
                            "min_timeuuid", "max_timeuuid", "writetime", "ttl", "tojson", "to_json",
                            "fromjson", "from_json"}) ||
         function.starts_with("blobas") || function.starts_with("blob_as_") ||
         function.ends_with("asblob") || function.ends_with("_as_blob");
}

// Keywords that may stand before a parenthesis without calling a function.
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

bool isClosingBracket(char sign) {
  return sign == ')' || sign == ']' || sign == '}';
}

// Reads one statement or batch, token by token.
class StatementReader {
 public:
  StatementReader(std::string_view text, TextRead& into) : tokens_(text), result_(into) {}

  TextState read() {
    for (;;) {
      Token token = tokens_.next();
      if (token == Token::unclosed) return TextState::unclosed;
      if (token == Token::end) break;
      if (isSign(token, ';')) {
        onSemicolon();
        continue;
      }
      if (hasEnded_) return TextState::several;
      if (token == Token::sign && !trackBracket(tokens_.sign())) return TextState::unclosed;
      onToken(token);
      hasToken_ = true;
    }
    if (isNaming_ && namingStep_ == NamingStep::dot) addBareName();
    return finish();
  }

 private:
  enum class Clause { other, set, where };
  // What is expected next of a table's name.
  enum class NamingStep { firstPart, dot, secondPart };

  TextState finish() {
    if (!hasToken_) return TextState::empty;
    if (depth_ != 0) return TextState::unclosed;
    // A batch that isn't applied to its end would be another statement.
    if (isBatch() && !isApplied_) return TextState::unclosed;
    if (result_.kind == Kind::write && result_.nature == Nature::conditional)
      result_.kind = Kind::conditional;
    if (result_.kind == Kind::schema) result_.nature = Nature::schema;
    if (isOfKeyspace_) result_.keyspace = std::exchange(result_.table, {});
    return TextState::good;
  }

  bool isBatch() const { return result_.kind == Kind::batch || result_.kind == Kind::counter; }
  bool isWriting() const { return result_.kind != Kind::read && result_.kind != Kind::use; }
  bool isSign(Token token, char sign) const {
    return token == Token::sign && tokens_.sign() == sign;
  }

  void onSemicolon() {
    bool endsStatement = hasToken_ && !isBatch();
    if (endsStatement || isApplied_) hasEnded_ = true;
    clause_ = Clause::other;
  }

  // False if a bracket is closed that wasn't opened.
  bool trackBracket(char sign) {
    if (sign == '(' || sign == '[' || sign == '{') ++depth_;
    if (isClosingBracket(sign)) --depth_;
    return depth_ >= 0;
  }

  // The first reason found is the one that is reported.
  void setNature(Nature nature) {
    if (isWriting() && result_.nature == Nature::idempotent) result_.nature = nature;
  }

  void onToken(Token token) {
    if (token == Token::mark) ++result_.markers;
    if (token == Token::literal && result_.firstLiteral.empty())
      result_.firstLiteral = tokens_.literal();
    checkOperator(token);
    bool isPartOfName = isNaming_ && readName(token);
    if (!isPartOfName) {
      if (token == Token::word) onWord();
      if (token == Token::quoted && tokens_.isFollowedBy('(')) setNature(Nature::function);
    }
    lastToken_ = token;
    lastSign_ = tokens_.sign();
  }

  // A plus or minus between two operands, in what UPDATE sets, changes a former value. Doing so
  // twice is harmless with the literal of a set or map, or where a list's elements are removed.
  void checkOperator(Token token) {
    if (pendingOperator_ != 0) {
      bool hasSetOnRight = isSign(token, '{');
      bool removesFromList = pendingOperator_ == '-' && isSign(token, '[');
      if (!hasSetOnRight && !removesFromList && !hasSetOnLeft_) setNature(Nature::appends);
      pendingOperator_ = 0;
    }
    if (clause_ != Clause::set || depth_ != 0) return;
    if (!isSign(token, '+') && !isSign(token, '-')) return;
    bool followsOperand = lastToken_ != Token::sign || isClosingBracket(lastSign_);
    if (!followsOperand) return;
    pendingOperator_ = tokens_.sign();
    hasSetOnLeft_ = lastToken_ == Token::sign && lastSign_ == '}';
  }

  // Reads a token of a table's name, with or without its keyspace; false if it isn't part of one.
  bool readName(Token token) {
    if (namingStep_ == NamingStep::dot) return readDot(token);
    bool isFirstPart = namingStep_ == NamingStep::firstPart;
    if (isFirstPart && token == Token::word &&
        isOneOf(tokens_.word(), {"table", "if", "not", "exists"}))
      return true;
    if (token != Token::word && token != Token::quoted) {
      isNaming_ = false;
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
    if (isSign(token, '.')) {
      namingStep_ = NamingStep::secondPart;
      return true;
    }
    addBareName();
    return false;
  }

  void onFirstPart() {
    if (result_.table.empty()) {
      result_.table = tokens_.word();
      isResultTable_ = true;
    }
    nameAt_ = tokens_.begin();
    firstPart_ = tokens_.word();
  }

  void onSecondPart() {
    if (isResultTable_) {
      result_.keyspace = result_.table;
      result_.table = tokens_.word();
    }
    isNaming_ = false;
    isResultTable_ = false;
    if (systemKeyspace(firstPart_)) result_.someSystem = true;
  }

  void addBareName() {
    isNaming_ = false;
    if (result_.kind != Kind::use && !isOfKeyspace_) result_.bare.push_back(nameAt_);
  }

  void startName() {
    isNaming_ = true;
    namingStep_ = NamingStep::firstPart;
    isResultTable_ = false;
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
    if (callsFunction(word) && !isPure(word)) setNature(Nature::function);
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
    isOfKeyspace_ = word == "keyspace";
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

  // A keyword may also be the name of a function, and is one where an operand is expected.
  bool callsFunction(const std::string& word) {
    if (!tokens_.isFollowedBy('(')) return false;
    bool isOperand = lastToken_ == Token::sign &&
                     std::string_view("=+-*/%,(<>:").find(lastSign_) != std::string_view::npos;
    return isOperand || !isKeywordBeforeParenthesis(word);
  }

  Tokenizer tokens_;
  TextRead& result_;
  bool hasToken_ = false;      // a token of the statement was read
  bool hasEnded_ = false;      // a semicolon ended the statement
  bool isApplied_ = false;     // APPLY of a batch was read
  bool isDeleting_ = false;    // between DELETE and FROM
  bool isOfKeyspace_ = false;  // the statement is about a keyspace, not a table

  bool isNaming_ = false;  // inside a table's name
  NamingStep namingStep_ = NamingStep::firstPart;
  bool isResultTable_ = false;  // the name is the first of the statement
  std::size_t nameAt_ = 0;      // offset of the name
  std::string firstPart_;

  int depth_ = 0;  // open brackets
  Clause clause_ = Clause::other;
  char pendingOperator_ = 0;  // a plus or minus whose right operand follows
  bool hasSetOnLeft_ = false;
  char lastSign_ = 0;
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

bool systemKeyspace(std::string_view keyspace) {
  return keyspace == "system" || keyspace.starts_with("system_");
}

std::string qualified(std::string_view text, const std::vector<std::size_t>& bare,
                      std::string_view keyspace) {
  std::string name = "\"";
  for (char character : keyspace) {
    // A quote inside a quoted name is doubled.
    if (character == '"') name += character;
    name += character;
  }
  name += "\".";
  std::string out;
  std::size_t copied = 0;
  for (std::size_t nameAt : bare) {
    out += text.substr(copied, nameAt - copied);
    out += name;
    copied = nameAt;
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
      } else if (token == Token::sign && tokens.sign() == '*' && columns.empty()) {
        selectsAll = true;
      } else {
        return false;
      }
    } else {
      if (isFrom) return selectsAll || !columns.empty();
      if (selectsAll || token != Token::sign || tokens.sign() != ',') return false;
    }
    expectsColumn = !expectsColumn;
  }
}

TextState readText(std::string_view text, TextRead& into) {
  TextState state = StatementReader(text, into).read();
  into.systemTable = systemKeyspace(into.keyspace);
  if (into.kind == Kind::use) into.keyspace = std::exchange(into.table, {});
  return state;
}

}  // namespace reedchute::cql
