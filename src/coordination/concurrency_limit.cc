#include "coordination/concurrency_limit.h"

#include <algorithm>

namespace snipehall {

namespace {

constexpr double kReduction = 0.9;

}  // namespace

void ConcurrencyLimit::Resize(int total_slots, int instances) {
  m_total = std::max(1, total_slots);
  // Rounded up: shares that add up to less than all slots would waste some.
  const int count = std::max(1, instances);
  const int share = (std::max(1, total_slots) + count - 1) / count;
  m_share = share;
  m_limit = std::clamp(m_limit, m_share, m_total);
}

void ConcurrencyLimit::OnAnswered(MonotonicTime now, int running, bool queued) {
  if (queued) {
    if (now >= m_next_reduction) {
      m_limit = std::max(m_share, m_limit * kReduction);
      m_next_reduction = now + kReductionInterval;
    }
    return;
  }
  if (running + 1 >= limit()) {
    m_limit = std::min(m_total, m_limit + 1 / m_limit);
  }
}

}  // namespace snipehall
