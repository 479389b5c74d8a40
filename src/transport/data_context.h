#pragma once

#include <atomic>
#include <set>
#include <string>
#include <utility>

#include "protocol/settings.h"
#include "transport/control_request_sender.h"
#include "transport/data_metrics.h"
#include "transport/data_service.h"
#include "transport/routing_table_watcher.h"
#include "transport/service_state.h"
#include "transport/target_pool.h"

namespace snipehall {

class CallerSession;

// Shared state of the data plane. Used on the data thread only.
struct DataContext {
  DataContext(const Executor& data_executor,
              const Settings& settings,
              DataService::Inputs inputs,
              std::uint64_t seed)
      : executor(data_executor),
        confirmed_until(inputs.confirmed_until),
        limits(inputs.limits),
        metrics(std::move(inputs.registry)),
        services(*inputs.routing_table, settings.zone, seed),
        table_watcher(data_executor, services),
        control_sender(data_executor, pools),
        request_id_prefix(seed) {}

  // Returns whether the routing state derived from the log is confirmed as
  // current at `now`; see ControlService::confirmed_until().
  bool IsConfirmed(MonotonicTime now) const {
    return confirmed_until != nullptr &&
           now.time_since_epoch().count() <
               confirmed_until->load(std::memory_order_acquire);
  }

  Executor executor;
  const std::atomic<MonotonicTime::rep>* confirmed_until;
  CallerLimits limits;
  DataMetrics metrics;
  ServiceRegistry services;
  RoutingTableWatcher table_watcher;
  TargetPools pools;
  ControlRequestSender control_sender;
  std::set<CallerSession*> sessions;
  // Generated request IDs consist of a random number per process and a counter.
  std::uint64_t request_id_prefix;
  std::uint64_t request_id_counter = 0;
  // Connections are closed after their current request.
  bool draining = false;
  // The event loop is shutting down.
  bool stopped = false;
};

}  // namespace snipehall
