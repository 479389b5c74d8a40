#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/controller.h"
#include "coordination/messages.h"

namespace snipehall {

// The ranges that a target should own.
struct RangeSet {
  // Version of the service's assignment that `ranges` was built from.
  LogOffset assignment_version = 0;
  std::vector<LeasedRange> ranges;
  // Whether `ranges` is the whole set, with no move pending.
  bool complete = true;

  bool operator==(const RangeSet&) const = default;
};

// What to send to a target next.
enum class LeaseStep {
  kNothing,
  kQuery,             // The clock reading is missing or too old.
  kExtend,            // Only the deadline changes.
  kExtendWithRanges,  // The range set is sent as well.
};

// State of the lease of one target, as seen by this instance.
struct TargetLease {
  // Reachability.
  std::optional<MonotonicTime> watched_since;
  std::optional<MonotonicTime> last_answer;
  // Time at which the last order or query was sent.
  std::optional<MonotonicTime> last_attempt;
  // Failed attempts since the last answer or RestartWatch().
  int failures = 0;

  // From answers of the current incarnation.
  Incarnation incarnation = 0;
  MonotonicTime incarnation_learned_at;
  // Send time of the order or query that was answered last.
  MonotonicTime answer_sent;
  // Latest reading of the target's monotonic clock, in milliseconds, and the
  // time at which it was received. Lease deadlines are computed from it.
  std::int64_t clock_ms = 0;
  MonotonicTime clock_received;
  // Version of the range set that the target owns.
  LogOffset assignment_version = 0;
  // Requests in progress on ranges that the target no longer owns.
  int revoked_in_progress = 0;
  // The range set that this instance sent and the target accepted. Empty if
  // another member sent the current one, or if it is unknown whether an order
  // arrived.
  std::optional<RangeSet> acknowledged;
  MonotonicTime acknowledged_at;

  // Orders sent by this instance.
  bool awaiting_answer = false;
  // The range set of the order that is not answered yet.
  std::optional<RangeSet> unacknowledged;
  // Upper bound on the end of the latest lease that was ordered, on this
  // instance's clock.
  std::optional<MonotonicTime> end_bound;
};

// Tracks the leases that this instance extends and decides what to send to each
// target next.
class LeaseTable {
 public:
  explicit LeaseTable(const ControllerTiming& timing) : m_timing(timing) {}

  // Handles the answer to an order or query that was sent at `sent`. Answers to
  // older messages than the last answered one are ignored.
  void OnAnswer(MonotonicTime sent,
                MonotonicTime now,
                std::string_view target,
                const LeaseAnswer& answer);
  // Call when an order or query failed without an answer.
  void OnFailure(MonotonicTime now, std::string_view target);

  // Starts to measure the target's silence, unless it is already measured.
  void Watch(MonotonicTime now, std::string_view target);

  // Restarts the measurement of silence for all targets at `now`, because this
  // instance was paused or did not poll them.
  void RestartWatch(MonotonicTime now);

  // Returns what to send to the target now. `may_extend` says whether the state
  // is confirmed for the target.
  LeaseStep NextStep(MonotonicTime now,
                     std::string_view target,
                     const RangeSet& range_set,
                     bool may_extend) const;

  // Call when a status query is sent at `now`.
  void OnQuerySent(MonotonicTime now, std::string_view target);
  // Returns a lease order to be sent at `now`.
  LeaseOrder MakeOrder(MonotonicTime now,
                       std::string_view target,
                       const RangeSet& range_set,
                       LeaseStep step);

  // Returns the lease state of the target, or null.
  const TargetLease* Find(std::string_view target) const;
  // Whether the target answered within the silence timeout.
  bool IsAnswering(MonotonicTime now, std::string_view target) const;
  // Whether the target was polled for longer than the silence timeout without
  // an answer; half the limit is enough after repeated failures such as refused
  // connections.
  bool IsUnresponsive(MonotonicTime now, std::string_view target) const;

  // Returns the remaining time, in milliseconds, of the leases that this
  // instance ordered; sent in heartbeats.
  std::map<TargetId, std::int64_t, std::less<>> Remaining(
      MonotonicTime now) const;

 private:
  bool IsClockFresh(MonotonicTime now, const TargetLease& lease) const;

  ControllerTiming m_timing;
  std::map<TargetId, TargetLease, std::less<>> m_leases;
};

}  // namespace snipehall
