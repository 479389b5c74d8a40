#include "standins/common/lease_state.h"

#include <algorithm>
#include <random>

namespace snipehall::standin {

namespace {

Incarnation DrawIncarnation() {
  std::random_device device;
  return (static_cast<Incarnation>(device()) << 32) | device();
}

}  // namespace

LeaseState::LeaseState() : m_incarnation(DrawIncarnation()) {}

std::int64_t LeaseState::ClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool LeaseState::Apply(const LeaseOrder& order) {
  const bool is_new_set = order.assignment_version != m_set;
  if (order.incarnation != m_incarnation || order.assignment_version < m_set ||
      (is_new_set && !order.ranges.has_value())) {
    return false;
  }
  if (Lapsed()) {
    ++m_term;
  }
  m_deadline_ms = is_new_set ? order.deadline_ms
                             : std::max(m_deadline_ms, order.deadline_ms);
  if (order.ranges.has_value()) {
    m_ranges = *order.ranges;
    std::sort(m_ranges.begin(), m_ranges.end(),
              [](const LeasedRange& left, const LeasedRange& right) {
                return left.range.first < right.range.first;
              });
  }
  m_set = order.assignment_version;
  return true;
}

bool LeaseState::Owns(std::uint64_t hash, LogOffset token) const {
  return !Lapsed() && Contains(hash, token);
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
