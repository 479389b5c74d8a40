#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "coordination/messages.h"

namespace snipehall::standin {

// The lease of a target, which the target itself keeps: a set of ranges with
// fencing tokens, and a deadline on the target's own monotonic clock.
class LeaseState {
 public:
  LeaseState();

  // Reading of the target's clock, milliseconds.
  static std::int64_t ClockMs();

  // Refuses an order for another incarnation, one with a set below the present
  // one, and one that names a later set without its ranges. An accepted order
  // for the present set never shortens the lease.
  bool Apply(const LeaseOrder& order);

  // Whether the lease holds now and gives `hash` with exactly `token`.
  bool Owns(std::uint64_t hash, LogOffset token) const;

  // Whether `hash` is in the present set with exactly `token`, whatever the
  // deadline.
  bool Contains(std::uint64_t hash, LogOffset token) const;

  bool Lapsed() const { return ClockMs() >= m_deadline_ms; }

  // Number of times at which the lease began anew after it had lapsed. A
  // request during which it changes was not covered by one lease throughout.
  std::uint64_t term() const { return m_term; }

  Incarnation incarnation() const { return m_incarnation; }
  LogOffset set() const { return m_set; }
  std::int64_t deadline_ms() const { return m_deadline_ms; }
  const std::vector<LeasedRange>& ranges() const { return m_ranges; }

 private:
  Incarnation m_incarnation;
  LogOffset m_set = 0;
  std::int64_t m_deadline_ms = 0;
  std::uint64_t m_term = 0;
  // Ordered by range.
  std::vector<LeasedRange> m_ranges;
};

}  // namespace snipehall::standin
