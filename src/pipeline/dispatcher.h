// Submits the attempts and probes that the engine decides on to the connection pools.
#pragma once

#include <cstdint>

#include "pipeline/statement_table.h"
#include "request/protocol_version.h"
#include "upstream/connection_pools.h"

namespace reedchute::pipeline {

class Dispatcher {
 public:
  // `probeVersion`: the protocol version used for probes.
  Dispatcher(runtime::Scheduler& scheduler, StatementTable& statements,
             upstream::ConnectionPools& pools, Duration probeTimeout,
             request::ProtocolVersion probeVersion)
      : scheduler_(scheduler),
        statements_(statements),
        pools_(pools),
        probeTimeout_(probeTimeout),
        probeVersion_(probeVersion) {}

  // Submits an attempt of statement `index`. It fails at `deadline`, and isn't written after
  // `sendBy`.
  void sendAttempt(int index, int store, TimePoint deadline, TimePoint sendBy);
  // No effect if the attempt has ended or was never submitted.
  void cancelAttempt(int index, int attempt);
  void sendProbe(int store);
  // Numbers submitted since process start, including requests that were never written.
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
