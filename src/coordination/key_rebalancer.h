#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "coordination/hot_key_sketch.h"
#include "state/record.h"
#include "state/types.h"

namespace snipehall {

// Requests to one target in a sampling interval.
struct TargetLoad {
  TargetId target;
  std::uint64_t requests = 0;
};

// What one instance counted for a keyed service in a sampling interval. The
// balancer spreads callers evenly over instances, so one instance's counts are
// a fair sample of all requests.
struct LoadSample {
  ServiceName service;
  // All live targets of the lease group, idle ones with zero.
  std::vector<TargetLoad> targets;
  // Most requested keys, most first.
  std::vector<KeyCount> hot_keys;
};

struct KeyRebalancerOptions {
  // A target above this multiple of the mean load gives keys away.
  double overload_ratio = 1.15;
  // Most keys moved by one plan, which is one record of the log.
  std::size_t max_moves = 16;
  // Most whole ranges among them. They carry many cold keys, so they move only
  // off a target that has no hot key left to give.
  std::size_t max_range_moves = 4;
  // Requests that a sample needs before it is acted on; fewer are noise.
  std::uint64_t min_requests = 1000;
  // Time after which a key that is no longer hot returns to the owner of the
  // range around it, so that the number of ranges stays bounded.
  Milliseconds cold_after{600000};
};

// Plans moves of single hot keys between the targets of one lease group, for
// one service. A hot key moves alone, and only where that lowers the load of
// the fullest target. A target whose hottest key is too large to move gives
// away some of its other ranges instead.
class KeyRebalancer {
 public:
  static Result<KeyRebalancer> Create(KeyRebalancerOptions options);

  std::vector<OwnerChange> Plan(MonotonicTime now,
                                const LoadSample& sample,
                                const ServiceAssignment& assignment,
                                std::string_view group);

 private:
  explicit KeyRebalancer(KeyRebalancerOptions options) : m_options(options) {}

  void PlanReturns(MonotonicTime now,
                   const ServiceAssignment& assignment,
                   std::string_view group,
                   std::vector<OwnerChange>& changes);

  KeyRebalancerOptions m_options;
  // Single-key ranges with the time at which they return unless hot again.
  std::map<std::uint64_t, MonotonicTime> m_return_at;
};

}  // namespace snipehall
