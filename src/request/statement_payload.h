// A statement in the form of its protocol.
#pragma once

#include <cstddef>

namespace reedchute::request {

// Opaque to the pipeline. The upstream connection encodes each attempt from it at the moment of
// writing, so it outlives all attempts of its statement.
class StatementPayload {
 public:
  virtual ~StatementPayload() = default;
  virtual std::size_t size() const = 0;  // bytes, for the memory limits
};

}  // namespace reedchute::request
