#include "coordination/target_rate_limits.h"

#include <algorithm>
#include <cmath>

namespace snipehall {

bool TargetRateLimits::OnResponse(MonotonicTime now,
                                  std::string_view target,
                                  std::optional<double> limit) {
  const auto found = m_targets.find(target);
  const bool known = found != m_targets.end();
  if (!limit) {
    if (known) {
      m_targets.erase(found);
    }
    return known;
  }
  Share& share = known ? found->second : m_targets[TargetId(target)];
  const double before = share.limit;
  share.limit = std::max(*limit, kMinLimit);
  if (!known) {
    Assign(now, share);
  }
  return share.limit != before;
}

std::optional<double> TargetRateLimits::Limit(std::string_view target) const {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? std::nullopt
                                  : std::optional(found->second.limit);
}

bool TargetRateLimits::TryTake(MonotonicTime now, std::string_view target) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) {
    return true;
  }
  Share& share = found->second;
  if (now >= share.window_end) {
    Assign(now, share);
  }
  if (share.remaining == 0) {
    return false;
  }
  --share.remaining;
  return true;
}

Milliseconds TargetRateLimits::TimeToNextShare(MonotonicTime now,
                                               std::string_view target) const {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || now >= found->second.window_end) {
    return Milliseconds(0);
  }
  return std::chrono::duration_cast<Milliseconds>(found->second.window_end -
                                                  now);
}

void TargetRateLimits::Assign(MonotonicTime now, Share& share) {
  const double requests = kShareFactor * share.limit *
                          std::chrono::duration<double>(kWindow).count() /
                          m_instances;
  const double whole = std::floor(requests);
  const bool round_up =
      std::uniform_real_distribution<double>()(m_random) < requests - whole;
  share.remaining = static_cast<int>(whole) + (round_up ? 1 : 0);
  share.window_end = now + kWindow;
}

}  // namespace snipehall
