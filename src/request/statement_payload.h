// A statement in its protocol-specific form.
#pragma once

#include <cstddef>

namespace reedchute::request {

// Opaque to the pipeline. The upstream connection encodes each attempt from it immediately before
// writing, so it has to outlive all attempts of its statement.
class StatementPayload {
 public:
  virtual ~StatementPayload() = default;
  virtual std::size_t size() const = 0;  // in bytes; counts towards the memory limits
};

}  // namespace reedchute::request
