// The interface of usage accounting.
#pragma once

#include "request/usage_record.h"

namespace reedchute::request {

class UsageMeter {
 public:
  virtual ~UsageMeter() = default;
  // False while records can't be kept and statements are to be rejected for it.
  virtual bool acceptsStatements() const = 0;
  // Called once a statement, before its final response goes to the client.
  virtual void record(const UsageRecord& usage) = 0;
};

}  // namespace reedchute::request
