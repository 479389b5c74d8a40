#include "coordination/concurrency_limit.h"

#include <algorithm>

namespace snipehall {

namespace {

constexpr double kReductionFactor = 0.9;

}  // namespace

void ConcurrencyLimit::Resize(int total_slots, int instances) {
  m_total_slots = std::max(1, total_slots);
  // Rounded up, since shares that add up to less than all slots would leave
  // some unused.
  const int count = std::max(1, instances);
  const int share = (std::max(1, total_slots) + count - 1) / count;
  m_equal_share = share;
  m_limit = std::clamp(m_limit, m_equal_share, m_total_slots);
}

void ConcurrencyLimit::OnAnswered(MonotonicTime now, int running, bool queued) {
  if (queued) {
    if (now >= m_next_reduction) {
      m_limit = std::max(m_equal_share, m_limit * kReductionFactor);
      m_next_reduction = now + kReductionInterval;
    }
    return;
  }
  if (running + 1 >= limit()) {
    m_limit = std::min(m_total_slots, m_limit + 1 / m_limit);
  }
}

}  // namespace snipehall
