// Reads a CQL statement's text as far as routing needs it: its kind, the table that it names first,
// and whether running it twice has the same effect as running it once.
//
// All functions are pure: no I/O and no state. The only rewriting is `qualified`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace reedchute::cql {

// What a statement does. `conditional` is a write with IF, `counter` a batch of counter updates.
enum class Kind { read, write, batch, conditional, counter, schema, use, other };

// The kind's name, as in the enum.
const char* nameOf(Kind kind);

// Why a write isn't idempotent. What the text doesn't show counts as not idempotent.
enum class Nature {
  idempotent,
  conditional,  // IF: the outcome depends on the effect of an earlier run
  counter,      // a counter batch
  function,     // now(), uuid() and any other function that isn't known to be pure
  appends,      // x = x + ...: a counter, or a list that grows; only its literal shows a set or map
  schema,       // a table made or dropped twice is an error, and one truncated twice may lose the
                // writes in between
  byPlace,      // DELETE x[..]: of a list, the next run deletes another element
};

// The nature's name, as in the enum.
const char* nameOf(Nature nature);

// What was read of a statement. Offsets count from the start of the text, in bytes.
struct TextRead {
  Kind kind = Kind::other;
  Nature nature = Nature::idempotent;
  // Empty where the text names none. Unquoted names are in lower case, quoted ones as they stand.
  std::string keyspace, table;
  bool systemTable = false;       // `keyspace` is a system keyspace
  bool someSystem = false;        // any of the statement's tables is in one
  std::vector<std::size_t> bare;  // offsets of the names of tables without a keyspace
  int markers = 0;                // bind markers, ? or :name
  std::string_view firstLiteral;  // the first quoted literal, a view into the text
};

// Whether a text is one statement. `unclosed` also stands for brackets that don't match and for a
// batch without its APPLY.
enum class TextState { good, empty, several, unclosed };

// Returns `text` with the quoted keyspace and a dot inserted at each offset in `bare`.
std::string qualified(std::string_view text, const std::vector<std::size_t>& bare,
                      std::string_view keyspace);

// Appends the names of the columns that a SELECT asks for, or none for all of them. False if the
// text is anything else than SELECT with a list of names or a star.
bool readSelection(std::string_view text, std::vector<std::string>& columns);

// Whether this is one of the servers' own keyspaces.
bool systemKeyspace(std::string_view keyspace);

// Reads `text` into `into`. Unless the result is `good`, `into` may be set in part.
TextState readText(std::string_view text, TextRead& into);

}  // namespace reedchute::cql
