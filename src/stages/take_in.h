// Stage 1, take in: from the bytes of a query to what the module is told of it, or to what is wrong with it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/index.h"
#include "rules.h"
#include "stages/statement.h"
#include "terms/terms.h"

namespace reedchute::stages {

// A statement that was understood.
struct Taken {
  Statement statement;
  Arrival arrival;
};

class TakeIn {
 public:
  TakeIn(const Names& names, const Index<std::int64_t>& groups, const OpenIds& openIds)
      : names_(names), groups_(groups), openIds_(openIds) {}

  // Either fills `taken`, or returns the whole answer that the client gets at once.
  std::optional<std::string> read(std::string_view text, TimePoint now, Taken& taken) const;

 private:
  const Names& names_;
  const Index<std::int64_t>& groups_;
  const OpenIds& openIds_;
};

}  // namespace reedchute::stages
