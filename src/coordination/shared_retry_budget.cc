#include "coordination/shared_retry_budget.h"

namespace snipehall {

namespace {

// Number of slices of a window. The oldest slice expires as a whole, so the
// window is inexact by at most one slice.
constexpr int kSlicesPerWindow = 10;

}  // namespace

SharedRetryBudget::Slice& SharedRetryBudget::Current(MonotonicTime now) {
  const std::int64_t number =
      now.time_since_epoch() /
      (MonotonicTime::duration(m_limits.window) / kSlicesPerWindow);
  while (!m_slices.empty() &&
         m_slices.front().number <= number - kSlicesPerWindow - 1) {
    m_slices.pop_front();
  }
  if (m_slices.empty() || m_slices.back().number != number) {
    m_slices.push_back(Slice{number});
  }
  return m_slices.back();
}

void SharedRetryBudget::OnRequest(MonotonicTime now) {
  ++Current(now).requests;
}

bool SharedRetryBudget::TryTake(MonotonicTime now) {
  Slice& current = Current(now);
  int requests = 0;
  int retries = 0;
  for (const Slice& slice : m_slices) {
    requests += slice.requests;
    retries += slice.retries;
  }
  const double base = m_instances ? m_limits.base / *m_instances : 0;
  const double allowed =
      m_limits.safety_factor * (m_limits.ratio * requests + base);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace snipehall
