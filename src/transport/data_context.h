#pragma once

#include <atomic>
#include <set>
#include <string>
#include <utility>

#include "protocol/settings.h"
#include "transport/data_metrics.h"
#include "transport/data_service.h"
#include "transport/service_state.h"
#include "transport/table_watch.h"
#include "transport/target_caller.h"
#include "transport/target_pool.h"

namespace snipehall {

class CallerSession;

// What the objects of the data thread share. Used on that thread only.
struct DataContext {
  DataContext(const Executor& data_executor,
              const Settings& settings,
              DataService::Inputs inputs,
              std::uint64_t seed)
      : executor(data_executor),
        confirmed_until(inputs.confirmed_until),
        limits(inputs.limits),
        metrics(std::move(inputs.registry)),
        states(*inputs.routing_table, settings.zone, seed),
        table_watch(data_executor, states),
        target_caller(data_executor, pools),
        id_prefix(seed) {}

  // Whether the folded state is confirmed now; see ControlService.
  bool IsConfirmed(MonotonicTime now) const {
    return confirmed_until != nullptr &&
           now.time_since_epoch().count() <
               confirmed_until->load(std::memory_order_acquire);
  }

  Executor executor;
  const std::atomic<MonotonicTime::rep>* confirmed_until;
  CallerLimits limits;
  DataMetrics metrics;
  ServiceStates states;
  TableWatch table_watch;
  TargetPools pools;
  TargetCaller target_caller;
  std::set<CallerSession*> sessions;
  // Generated request ids: a random number of the process and a counter.
  std::uint64_t id_prefix;
  std::uint64_t next_id = 0;
  bool draining = false;
  bool stopped = false;
};

}  // namespace snipehall
