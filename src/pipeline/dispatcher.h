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
  void probe(int store);
  // Since the start, also those that never left.
  std::uint64_t executions() const { return executions_; }
  std::uint64_t probes() const { return probes_; }

 private:
  runtime::Scheduler& scheduler_;
  StatementTable& statements_;
  upstream::ConnectionPools& stores_;
  Duration probeTimeout_;
  request::ProtocolVersion probeVersion_;
  std::uint64_t executions_ = 0, probes_ = 0;
};

}  // namespace reedchute::pipeline
