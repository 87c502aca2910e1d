// Turns the engine's decisions to send into requests of the connection pools.
#pragma once

#include <cstdint>

#include "pipeline/statement_table.h"
#include "request/protocol_version.h"
#include "upstream/connection_pools.h"

namespace reedchute::pipeline {

class Dispatcher {
 public:
  // `probeVersion`: the protocol version in which stores are probed.
  Dispatcher(runtime::Scheduler& scheduler, StatementTable& statements,
             upstream::ConnectionPools& pools, Duration probeTimeout,
             request::ProtocolVersion probeVersion)
      : scheduler_(scheduler),
        statements_(statements),
        pools_(pools),
        probeTimeout_(probeTimeout),
        probeVersion_(probeVersion) {}

  void sendAttempt(int index, int store, TimePoint deadline, TimePoint sendBy);
  void cancelAttempt(int index, int attempt);
  void sendProbe(int store);
  // Since the start, with those that were never written.
  std::uint64_t attemptCount() const { return attemptCount_; }
  std::uint64_t probeCount() const { return probeCount_; }

 private:
  runtime::Scheduler& scheduler_;
  StatementTable& statements_;
  upstream::ConnectionPools& pools_;
  Duration probeTimeout_;
  request::ProtocolVersion probeVersion_;
  std::uint64_t attemptCount_ = 0;
  std::uint64_t probeCount_ = 0;
};

}  // namespace reedchute::pipeline
