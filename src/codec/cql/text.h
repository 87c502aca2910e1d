// Reads a CQL statement's text as far as decisions need it: what kind it is, the table that it
// names first, and whether running it twice is the same as running it once. No I/O; nothing of the
// text is rewritten.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace reedchute::cql {

enum class Kind { read, write, batch, conditional, counter, schema, use, other };

const char* nameOf(Kind k);

// Why a write isn't idempotent by its nature. What can't be told from the text counts as such.
enum class Nature {
  idempotent,
  conditional,  // IF: its outcome depends on what it has done itself
  counter,      // a counter batch
  function,     // now(), uuid() and any other function that isn't known to give the same each time
  appends,      // x = x + ...: a counter, or a list that grows; told from a set or map only by its
                // literal
  schema,       // a table made or dropped twice is an error, one emptied twice may lose what came
                // between
  byPlace,      // DELETE x[..]: of a list, the next run deletes another element
};

const char* nameOf(Nature n);

struct TextRead {
  Kind kind = Kind::other;
  Nature nature = Nature::idempotent;
  std::string keyspace, table;    // empty where the text names none; as the protocol compares them
  bool systemTable = false;       // system, system_schema and the like
  bool someSystem = false;        // any of its tables is one
  std::vector<std::size_t> bare;  // where the names of tables begin that stand without a keyspace
  int markers = 0;                // ? or :name, for a text that is prepared
  std::string_view firstLiteral;  // the first quoted literal
};

enum class TextState { good, empty, several, unclosed };

// `text` with the keyspace before each bare name, quoted.
std::string qualified(std::string_view text, const std::vector<std::size_t>& bare,
                      std::string_view keyspace);

// What a SELECT asks for: the columns by name, or none where it is all of them. False where it is
// anything else.
bool readSelection(std::string_view text, std::vector<std::string>& columns);

// Is it one of the stores' own keyspaces?
bool systemKeyspace(std::string_view keyspace);

TextState readText(std::string_view text, TextRead& into);

}  // namespace reedchute::cql
