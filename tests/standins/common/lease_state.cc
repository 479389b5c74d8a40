#include "standins/common/lease_state.h"

#include <algorithm>
#include <random>

namespace snipehall::standin {

namespace {

Incarnation GenerateIncarnation() {
  std::random_device device;
  return (static_cast<Incarnation>(device()) << 32) | device();
}

}  // namespace

LeaseState::LeaseState() : m_incarnation(GenerateIncarnation()) {}

std::int64_t LeaseState::ClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool LeaseState::Apply(const LeaseOrder& order) {
  const bool is_new_version = order.assignment_version != m_assignment_version;
  if (order.incarnation != m_incarnation ||
      order.assignment_version < m_assignment_version ||
      (is_new_version && !order.ranges.has_value())) {
    return false;
  }
  if (IsExpired()) {
    ++m_term;
  }
  m_deadline_ms = is_new_version ? order.deadline_ms
                                 : std::max(m_deadline_ms, order.deadline_ms);
  if (order.ranges.has_value()) {
    m_ranges = *order.ranges;
    std::sort(m_ranges.begin(), m_ranges.end(),
              [](const LeasedRange& lhs, const LeasedRange& rhs) {
                return lhs.range.first < rhs.range.first;
              });
  }
  m_assignment_version = order.assignment_version;
  return true;
}

bool LeaseState::Owns(std::uint64_t hash, LogOffset token) const {
  return !IsExpired() && Contains(hash, token);
}

bool LeaseState::Contains(std::uint64_t hash, LogOffset token) const {
  const auto next =
      std::upper_bound(m_ranges.begin(), m_ranges.end(), hash,
                       [](std::uint64_t value, const LeasedRange& leased) {
                         return value < leased.range.first;
                       });
  if (next == m_ranges.begin()) {
    return false;
  }
  const LeasedRange& leased = *std::prev(next);
  return leased.range.Contains(hash) && leased.token == token;
}

}  // namespace snipehall::standin
