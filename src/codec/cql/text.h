// Parses the text of a CQL statement as far as routing needs it: the kind of statement, the first
// table that it names, and whether it is idempotent, so that executing it twice has the same effect
// as executing it once.
//
// All functions are pure: no I/O and no state. Only `qualifyTables` rewrites a text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace reedchute::cql {

// The kind of a statement. `conditional` is a write with IF, `counter` is a batch of counter
// updates.
enum class Kind { read, write, batch, conditional, counter, schema, use, other };

// The enumerator's name.
const char* nameOf(Kind kind);

// Whether a write is idempotent and, if not, why. A write whose idempotence can't be determined
// from the text counts as not idempotent.
enum class Nature {
  idempotent,
  conditional,  // IF: the outcome depends on the effect of an earlier execution
  counter,      // a counter batch
  function,     // now(), uuid() and any other function that isn't known to be deterministic
  appends,      // x = x + ...: x may be a counter or a list; only a literal shows a set or map
  schema,       // creating or dropping a table twice is an error; truncating one twice may delete
                // the writes in between
  byPlace,      // DELETE x[..]: if x is a list, the next execution deletes another element
};

// The enumerator's name.
const char* nameOf(Nature nature);

// The result of parsing a statement. Offsets are in bytes from the start of the text.
struct ParsedText {
  Kind kind = Kind::other;
  Nature nature = Nature::idempotent;
  // The first table that the statement names; empty if absent. Unquoted names are in lower case,
  // quoted names keep their case.
  std::string keyspace, table;
  bool isSystemTable = false;                   // `keyspace` is a system keyspace
  bool usesSystemTable = false;                 // any named table is in a system keyspace
  std::vector<std::size_t> unqualifiedOffsets;  // of table names without a keyspace
  int markers = 0;                              // number of bind markers, ? or :name
  std::string_view firstLiteral;                // the first quoted literal, a view into the text
};

// Whether a text consists of exactly one statement. `unclosed` is a literal, name or comment
// without its end, unbalanced brackets, or a batch without APPLY.
enum class TextState { good, empty, several, unclosed };

// Returns `text` with the quoted keyspace and a dot inserted at each of `offsets`, which are in
// ascending order.
std::string qualifyTables(std::string_view text, const std::vector<std::size_t>& offsets,
                          std::string_view keyspace);

// Appends the names of the columns that a SELECT lists; appends none for `SELECT *`. False if the
// text isn't a SELECT of either column names or a star.
bool readSelection(std::string_view text, std::vector<std::string>& columns);

// Whether `keyspace` is a system keyspace: `system`, or one whose name starts with `system_`.
bool isSystemKeyspace(std::string_view keyspace);

// Parses `text` into `into`. If the result isn't `good`, `into` may be partly set.
TextState readText(std::string_view text, ParsedText& into);

}  // namespace reedchute::cql
