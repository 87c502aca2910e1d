// The objects shared by all sessions of one protocol.
#pragma once

#include "client/client_limits.h"
#include "client/client_protocol.h"
#include "client/session_registry.h"
#include "request/request_counters.h"
#include "runtime/scheduler.h"

namespace reedchute::client {

struct SessionContext {
  runtime::Scheduler& scheduler;
  ClientProtocol& protocol;
  request::RequestCounters& counters;
  const ClientLimits& limits;
  SessionRegistry& registry;
};

}  // namespace reedchute::client
