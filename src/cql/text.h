// Reads a CQL statement's text as far as decisions need it: what kind it is, the table that it names first, and
// whether running it twice is the same as running it once. No I/O; nothing of the text is rewritten.
#pragma once

#include <string>
#include <string_view>

namespace reedchute::cql {

enum class Kind { read, write, batch, conditional, counter, schema, use, other };

const char* nameOf(Kind k);

// Why a write isn't idempotent by its nature. What can't be told from the text counts as such.
enum class Nature {
  idempotent,
  conditional,  // IF: its outcome depends on what it has done itself
  counter,      // a counter batch
  function,     // now(), uuid() and any other function that isn't known to give the same each time
  appends,      // x = x + ...: a counter, or a list that grows; told from a set or map only by its literal
  byPlace,      // DELETE x[..]: of a list, the next run deletes another element
};

const char* nameOf(Nature n);

struct TextRead {
  Kind kind = Kind::other;
  Nature nature = Nature::idempotent;
  std::string keyspace, table;  // empty where the text names none; as the protocol compares them
  bool systemTable = false;     // system, system_schema and the like
  int markers = 0;              // ? or :name, for a text that is prepared
  std::string_view firstLiteral;  // the first quoted literal
};

enum class TextState { good, empty, several, unclosed };

TextState readText(std::string_view text, TextRead& into);

}  // namespace reedchute::cql
