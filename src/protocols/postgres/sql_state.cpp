#include "protocols/postgres/sql_state.h"

#include <algorithm>
#include <array>

namespace reedchute::protocols::postgres {
namespace {

constexpr std::string_view kReadOnlyTransaction = "25006";
constexpr std::string_view kSnapshotTooOld = "72000";
constexpr std::string_view kTooManyConnections = "53300";
constexpr std::string_view kInternalError = "XX000";
constexpr std::size_t kClassSize = 2;  // leading characters of a SQLSTATE that state its class

// Classes of errors that the statement itself causes, whichever store it is sent to.
constexpr std::array<std::string_view, 7> kStatementErrorClasses{"0A", "21", "22", "23",
                                                                 "42", "44", "54"};

bool isStatementError(std::string_view sqlState) {
  std::string_view sqlStateClass = sqlState.substr(0, kClassSize);
  return std::find(kStatementErrorClasses.begin(), kStatementErrorClasses.end(), sqlStateClass) !=
         kStatementErrorClasses.end();
}

}  // namespace

AttemptOutcome outcomeOf(std::string_view sqlState) {
  if (sqlState == kReadOnlyTransaction || sqlState == kSnapshotTooOld)
    return AttemptOutcome::notServedHere;
  if (sqlState == kTooManyConnections) return AttemptOutcome::overloaded;
  return isStatementError(sqlState) ? AttemptOutcome::invalid : AttemptOutcome::error;
}

bool isLogged(std::string_view sqlState) {
  AttemptOutcome outcome = outcomeOf(sqlState);
  return outcome != AttemptOutcome::notServedHere && outcome != AttemptOutcome::overloaded &&
         sqlState != kInternalError;
}

}  // namespace reedchute::protocols::postgres
