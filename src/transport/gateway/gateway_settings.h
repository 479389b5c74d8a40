#pragma once

#include <cstddef>
#include <string>

#include "coordination/cold_target_limit.h"
#include "coordination/shared_retry_budget.h"
#include "state/types.h"

namespace snipehall {

// Settings of a gateway process.
struct GatewaySettings {
  // Id and availability zone of this instance.
  InstanceId instance;
  ZoneName zone;
  // "address:port" of the listeners for callers, and for status requests
  // (readiness and metrics).
  std::string caller_address;
  std::string status_address;
  // "address:port" for other instances: UDP for control messages, TCP for reads
  // of relayed log records.
  std::string peer_address;
  // "address:port" of the platform's log.
  std::string log_address;
  // Limits of the retries of all instances; see SharedRetryBudget.
  SharedRetryBudget::Limits retry_limits;
  // How far requests to cold targets may exceed the rate that they bear.
  ColdTargetBounds cold_bounds;
  // Network link of the instance, Mbit/s; zero when unknown. Instances with
  // faster links are preferred as the leader and as relays of the log.
  LinkRate link_mbps = 0;
  // Memory for the heads and bodies of callers' requests that are being
  // received or served, bytes; see BufferBudget.
  std::size_t request_buffer_bytes = std::size_t{512} << 20;
  // Maximum number of connections of callers.
  std::size_t max_caller_connections = 10000;
  // Memory for responses of targets that are being received or sent on, bytes.
  std::size_t response_buffer_bytes = std::size_t{64} << 20;
  // Targets may be chosen by their learned capacity, and requests admitted by
  // their priority; see GatewayServices::learns_capacity().
  bool learned_capacity = true;
  // Time from the signal to stop within which the process must end.
  Milliseconds shutdown_timeout{6000};
};

}  // namespace snipehall
