#include "coordination/shared_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace snipehall {

namespace {

using Seconds = std::chrono::duration<double>;

// Interval at which unused buckets are removed, and the time after which a
// bucket counts as unused.
constexpr Milliseconds kRemovalInterval{30000};

}  // namespace

void SharedRateLimiter::SetTerm(std::uint64_t term) {
  if (term != m_term) {
    m_term = term;
    m_buckets.clear();
  }
}

std::optional<Milliseconds> SharedRateLimiter::TryTake(MonotonicTime now,
                                                       std::string_view target,
                                                       double limit) {
  if (now >= m_next_removal_at) {
    RemoveUnused(now);
  }
  const auto found = m_buckets.find(target);
  Bucket& bucket =
      found != m_buckets.end()
          ? found->second
          : m_buckets.emplace(TargetId(target), Bucket{.updated_at = now})
                .first->second;
  const double depth = std::max(1.0, limit * Seconds(kBurstTime).count());
  const double refill = limit * Seconds(now - bucket.updated_at).count();
  bucket.tokens = std::min(depth, bucket.tokens + refill);
  bucket.updated_at = now;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return std::nullopt;
  }
  const Seconds wait((1 - bucket.tokens) / limit);
  return std::chrono::ceil<Milliseconds>(wait);
}

void SharedRateLimiter::RemoveUnused(MonotonicTime now) {
  m_next_removal_at = now + kRemovalInterval;
  std::erase_if(m_buckets, [now](const auto& item) {
    return now - item.second.updated_at > kRemovalInterval;
  });
}

}  // namespace snipehall
