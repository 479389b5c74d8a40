#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/buffer_budget.h"
#include "coordination/key_load_recorder.h"
#include "coordination/poison_request_detector.h"
#include "coordination/request_admission.h"
#include "coordination/shutdown_schedule.h"
#include "coordination/target_pauses.h"
#include "coordination/target_rate_limits.h"
#include "protocol/gateway_headers.h"
#include "transport/gateway/gateway_metrics.h"
#include "transport/gateway/gateway_services.h"
#include "transport/gateway/gateway_settings.h"
#include "transport/gateway/permit_requests.h"
#include "transport/gateway/routing_state.h"
#include "transport/gateway/service_split.h"
#include "transport/target_pool.h"

namespace snipehall {

class GatewaySession;

// A request that ended without a complete response from a target, for the log.
struct FailedRequest {
  std::string_view request_id;
  std::string_view route;
  // Target of the last attempt; empty when no target was chosen.
  std::string_view target;
  std::string_view cause;
  // Status sent to the caller; zero when the caller had disconnected.
  int status = 0;
  int attempts = 0;
  int elapsed_ms = 0;
  // Time from the arrival of the request to the last attempt; no value if it
  // was not sent.
  std::optional<Milliseconds> sent_after;
  std::uint64_t policy_version = 0;
  // Load that the target reported in its last response.
  std::optional<ReportedLoad> target_load;
  // Key of the request; unset for a service without keys.
  std::optional<KeyNumber> key;
  RequestDigest digest = 0;
};

// State shared by all caller sessions of a gateway. Not thread-safe.
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
        services(routing_state, settings.zone, settings.retry_limits, seed),
        split(seed),
        rate_limits(seed),
        admission(seed),
        cold_bounds(settings.cold_bounds),
        request_buffers(settings.request_buffer_bytes),
        response_buffers(settings.response_buffer_bytes) {
    services.set_may_learn_capacity(settings.learned_capacity);
  }

  Executor executor;
  GatewayHeaderNames names;
  RoutingState& state;
  GatewayMetrics& metrics;
  GatewayServices services;
  ServiceSplit split;
  TargetPools pools;
  KeyLoadRecorder key_loads;
  TargetRateLimits rate_limits;
  TargetPauses pauses;
  // Until when the leader is not asked again for a permit for a cold target.
  TargetPauses cold_pauses;
  RequestAdmission admission;
  ColdTargetBounds cold_bounds;
  PoisonRequestDetector poison_requests;
  // Memory for the heads and bodies of callers' requests.
  BufferBudget request_buffers;
  // Memory for the bodies of targets' responses.
  BufferBudget response_buffers;
  // Open sessions; each adds and removes itself.
  std::set<GatewaySession*> sessions;
  // Called when a connection to a target could not be made, after the
  // TargetReachability of its service was told.
  std::function<void()> on_connect_failed;
  // Called with the owner of a key when a connection to it fails.
  std::function<void(std::string_view target)> on_target_unreachable;
  std::function<void(const FailedRequest&)> on_failed_request;
  // Called when a target begins or ends to limit its request rate; `limit` is
  // in requests per second.
  std::function<void(std::string_view target, std::optional<double> limit)>
      on_rate_limit;
  // Called when a target has crashed while it was at work on a request;
  // `blocks` tells whether the request is blocked by that.
  std::function<void(const PoisonRequestDetector::Loss&, bool blocks)>
      on_target_lost;
  // Called when a target has responded to a request that was suspected to crash
  // targets.
  std::function<void(RequestDigest digest)> on_harmless_request;
  // Called when a target has stated that it is leaving; `start_time_ms` is that
  // of its process, as far as it was known when the request was sent.
  std::function<void(std::string_view target, std::int64_t start_time_ms)>
      on_target_leaving;
  // Asks the leader for a permit to send a request to `target`, which limits
  // its request rate; see GatewayControl::RequestPermit().
  std::function<void(std::string_view target,
                     double limit,
                     PermitRequests::OnResponse on_response)>
      request_permit;
  // Called when an unexpected exception ended the work on a request.
  std::function<void(std::string_view request_id, std::string_view error)>
      on_exception;
  // The instance is shutting down: each connection is closed after its next
  // response.
  bool draining = false;
  // Steps of the shutdown; in the far future until it begins.
  ShutdownSchedule shutdown;
};

}  // namespace snipehall
