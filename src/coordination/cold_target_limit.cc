#include "coordination/cold_target_limit.h"

#include <algorithm>

#include "coordination/shared_rate_limiter.h"

namespace snipehall {

namespace {

constexpr double kMaxLeaders = 2;

}  // namespace

bool IsCold(MonotonicTime now, const ListedTarget& target, double cold_rate) {
  return cold_rate > 0 && now < target.warmup_until;
}

double ColdPermitRate(double cold_rate, const ColdTargetBounds& bounds) {
  const double most = cold_rate * bounds.overage + bounds.slack;
  // In one second a leader grants what it has kept and what falls due.
  const double burst_seconds =
      std::chrono::duration<double>(SharedRateLimiter::kBurstTime).count();
  return std::min(cold_rate, most / (kMaxLeaders * (1 + burst_seconds)));
}

}  // namespace snipehall
