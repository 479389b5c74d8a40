#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "coordination/hot_key_sketch.h"
#include "state/record.h"
#include "state/types.h"

namespace snipehall {

// Number of requests to one target in a sampling interval.
struct TargetLoad {
  TargetId target;
  std::uint64_t requests = 0;
};

// What one instance counted for a keyed service in a sampling interval. The
// load balancer spreads callers evenly over the instances, so one instance's
// counts are a fair sample of all requests.
struct LoadSample {
  ServiceName service;
  // All live targets of the lease group; idle targets have zero requests.
  std::vector<TargetLoad> targets;
  // Most requested keys in descending order of requests.
  std::vector<KeyCount> hot_keys;
};

struct KeyRebalancerOptions {
  // Keys are moved off a target whose load exceeds the mean load by this
  // factor.
  double overload_ratio = 1.15;
  // Maximum number of moves in one plan, which is one record of the log.
  std::size_t max_moves = 16;
  // Maximum number of whole ranges among the moves. A range carries many cold
  // keys, so ranges are moved only off a target that has no hot key left to
  // move.
  std::size_t max_range_moves = 4;
  // Minimum number of requests in a sample; smaller samples are too noisy.
  std::uint64_t min_requests = 1000;
  // Time after which a key that is no longer hot returns to the owner of the
  // surrounding range. Bounds the number of ranges.
  Milliseconds cold_after{600000};
};

// Plans moves of hot keys between the targets of one lease group, for one
// service. A hot key is moved alone, and only if that lowers the load of the
// most loaded target. If the hottest key of a target is too large to move, some
// of its other ranges are moved instead.
class KeyRebalancer {
 public:
  // Fails with kInvalidArgument if `overload_ratio` is not above 1.
  static Result<KeyRebalancer> Create(KeyRebalancerOptions options);

  // Returns the owner changes for one sample; empty if the load is balanced.
  // Call once per sampling interval.
  std::vector<OwnerChange> Plan(MonotonicTime now,
                                const LoadSample& sample,
                                const ServiceAssignment& assignment,
                                std::string_view group);

 private:
  explicit KeyRebalancer(KeyRebalancerOptions options) : m_options(options) {}

  // Adds moves of keys that are no longer hot back to the surrounding range.
  void PlanReturns(MonotonicTime now,
                   const ServiceAssignment& assignment,
                   std::string_view group,
                   std::vector<OwnerChange>& changes);

  KeyRebalancerOptions m_options;
  // Ranges of a single key, with the time at which each returns unless the key
  // is hot again.
  std::map<std::uint64_t, MonotonicTime> m_return_at;
};

}  // namespace snipehall
