// Stage 4, send: an execution or a probe becomes a job for a store.
#pragma once

#include "pipeline/statement_table.h"
#include "upstream/connection_pools.h"

namespace reedchute::pipeline {

class Dispatcher {
 public:
  // `probes`: the version that probes go in.
  Dispatcher(runtime::Scheduler& s, StatementTable& statements, upstream::ConnectionPools& stores,
             Duration probeTimeout, request::ProtocolVersion probes)
      : scheduler_(s),
        statements_(statements),
        stores_(stores),
        probeTimeout_(probeTimeout),
        probeVersion_(probes) {}

  void sendAttempt(int statement, int store, TimePoint stopAt, TimePoint sendBy);
  void cancel(int statement, int execution);
  void sendProbe(int store);
  // Since the start, also those that never left.
  std::uint64_t attemptCount() const { return attemptCount_; }
  std::uint64_t probeCount() const { return probeCount_; }

 private:
  runtime::Scheduler& scheduler_;
  StatementTable& statements_;
  upstream::ConnectionPools& stores_;
  Duration probeTimeout_;
  request::ProtocolVersion probeVersion_;
  std::uint64_t attemptCount_ = 0, probeCount_ = 0;
};

}  // namespace reedchute::pipeline
