// Logs the slow starts of stores: when this process took a store for started and on what evidence,
// what it may send to it, and what it has sent.
#pragma once

#include <map>
#include <vector>

#include "base/id_index.h"
#include "decision/types.h"
#include "proxy/protocols.h"

namespace reedchute::proxy {

class SlowStartLog {
 public:
  // `ids` must outlive this object.
  explicit SlowStartLog(const EndpointIds& ids) : ids_(ids) {}

  // Logs the starts and ends of slow starts since the last call, and at most once a second the
  // progress of each. `cold`: the slow starts of all cold stores,
  // ordered by store.
  void write(const std::vector<SlowStartStatus>& cold, TimePoint now);

  // Statements of mean work that cold stores were sent by this process, and could have been sent.
  double sent() const { return total(&SlowStartStatus::sent); }
  double allowed() const { return total(&SlowStartStatus::allowed); }

 private:
  void logStarts(const std::vector<SlowStartStatus>& cold, TimePoint now);
  void logEnds(const std::vector<SlowStartStatus>& cold);
  void logProgress(const std::vector<SlowStartStatus>& cold) const;
  void finish(const SlowStartStatus& status, const char* reason);
  const char* idOf(int store) const;
  double total(double SlowStartStatus::*field) const;

  const EndpointIds& ids_;
  std::map<int, SlowStartStatus> known_;  // by store, as last seen
  SlowStartStatus finished_;              // sums over the slow starts that have ended
  TimePoint progressAt_ = kNever;
};

}  // namespace reedchute::proxy
