#include "coordination/cold_target_limit.h"

#include <algorithm>

#include "coordination/shared_rate_limiter.h"

namespace snipehall {

namespace {

constexpr double kMaxLeaders = 2;
// Requests per second; keeps a cold target in use if the bound is very low.
constexpr double kMinPermitRate = 0.1;

}  // namespace

bool IsCold(MonotonicTime now, const ListedTarget& target, double cold_rate) {
  return cold_rate > 0 && now < target.warmup_until;
}

double ColdPermitRate(double cold_rate, const ColdTargetBounds& bounds) {
  const double leader_share =
      (cold_rate * bounds.overage + bounds.slack) / kMaxLeaders;
  // In one second a leader grants what it has kept, which is at least one
  // permit, and what falls due.
  const double burst_seconds =
      std::chrono::duration<double>(SharedRateLimiter::kBurstTime).count();
  const double rate =
      std::min(leader_share / (1 + burst_seconds), leader_share - 1);
  return std::min(cold_rate, std::max(rate, kMinPermitRate));
}

}  // namespace snipehall
