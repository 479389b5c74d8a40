#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "coordination/messages.h"

namespace snipehall::standin {

// Lease state of a target stand-in: the leased ranges with their fencing tokens
// and the lease's deadline on the target's monotonic clock.
class LeaseState {
 public:
  LeaseState();

  // Returns the time of the target's monotonic clock, in milliseconds.
  static std::int64_t ClockMs();

  // Applies a lease order and returns whether it was accepted. Rejects an order
  // for another incarnation, an order with an assignment version below the
  // current one, and an order with a newer version but no ranges. An accepted
  // order with the current version never shortens the lease.
  bool Apply(const LeaseOrder& order);

  // Returns whether the lease is valid now and contains `hash` with exactly
  // `token`.
  bool Owns(std::uint64_t hash, LogOffset token) const;

  // Returns whether the current ranges contain `hash` with exactly `token`,
  // regardless of the deadline.
  bool Contains(std::uint64_t hash, LogOffset token) const;

  // Returns whether the deadline of the lease has passed.
  bool IsExpired() const { return ClockMs() >= m_deadline_ms; }

  // Number of times that a new lease began after expiry. If the term changes
  // while a request runs, the lease expired during the request.
  std::uint64_t term() const { return m_term; }

  // Random number that identifies this start of the process.
  Incarnation incarnation() const { return m_incarnation; }
  LogOffset assignment_version() const { return m_assignment_version; }
  std::int64_t deadline_ms() const { return m_deadline_ms; }
  const std::vector<LeasedRange>& ranges() const { return m_ranges; }

 private:
  Incarnation m_incarnation;
  LogOffset m_assignment_version = 0;
  std::int64_t m_deadline_ms = 0;
  std::uint64_t m_term = 0;
  // Sorted by range.
  std::vector<LeasedRange> m_ranges;
};

}  // namespace snipehall::standin
