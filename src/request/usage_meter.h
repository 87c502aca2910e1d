// The interface to usage accounting.
#pragma once

#include "request/usage_record.h"

namespace reedchute::request {

class UsageMeter {
 public:
  virtual ~UsageMeter() = default;
  // False while usage can't be recorded and statements must therefore be rejected.
  virtual bool acceptsStatements() const = 0;
  // Called once for each statement, before its final response is sent to the client.
  virtual void record(const UsageRecord& usage) = 0;
};

}  // namespace reedchute::request
