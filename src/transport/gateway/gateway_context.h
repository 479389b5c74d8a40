#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/key_load_recorder.h"
#include "protocol/gateway_headers.h"
#include "transport/gateway/gateway_metrics.h"
#include "transport/gateway/gateway_services.h"
#include "transport/gateway/gateway_settings.h"
#include "transport/gateway/routing_state.h"
#include "transport/gateway/service_split.h"
#include "transport/target_pool.h"

namespace snipehall {

class GatewaySession;

// A request that got no answer of a target, for the log.
struct FailedRequest {
  std::string_view request_id;
  std::string_view route;
  // The target of the last attempt; empty when there was none.
  std::string_view target;
  std::string_view cause;
  // Zero when the caller was gone.
  int status = 0;
  int attempts = 0;
  int elapsed_ms = 0;
  std::uint64_t policy_version = 0;
  // What the target said of its load in its last answer.
  std::optional<ReportedLoad> target_load;
  // The key of a request for a keyed service.
  std::optional<KeyNumber> key;
};

// What the objects that serve callers share. Used on one thread only.
struct GatewayContext {
  GatewayContext(const Executor& io_executor,
                 const GatewaySettings& settings,
                 const GatewayHeaderNames& header_names,
                 RoutingState& routing_state,
                 GatewayMetrics& gateway_metrics,
                 std::uint64_t seed)
      : executor(io_executor),
        names(header_names),
        state(routing_state),
        metrics(gateway_metrics),
        services(routing_state, settings.zone, settings.retries, seed),
        split(seed) {}

  Executor executor;
  GatewayHeaderNames names;
  RoutingState& state;
  GatewayMetrics& metrics;
  GatewayServices services;
  ServiceSplit split;
  TargetPools pools;
  KeyLoadRecorder key_loads;
  std::set<GatewaySession*> sessions;
  // Called with an owner of keys that cannot be reached.
  std::function<void(std::string_view target)> on_target_unreachable;
  std::function<void(const FailedRequest&)> on_failed_request;
  // The instance stops: connections end after their next answer.
  bool draining = false;
};

}  // namespace snipehall
