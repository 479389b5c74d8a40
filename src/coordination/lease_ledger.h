#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/controller.h"
#include "coordination/messages.h"

namespace snipehall {

// What a target ought to hold.
struct LeaseContent {
  LogOffset set = 0;
  std::vector<LeasedRange> ranges;
  // Whether `ranges` is the whole set, with no move outstanding.
  bool complete = true;

  bool operator==(const LeaseContent&) const = default;
};

enum class LeaseStep {
  kNothing,
  kQuery,         // The clock reading is missing or too old.
  kExtend,        // Only the deadline changes.
  kExtendAndSet,  // The range set is sent as well.
};

// What this instance knows about the lease of one target.
struct TargetLease {
  // Contact.
  std::optional<MonotonicTime> polled_since;
  std::optional<MonotonicTime> last_answer;
  std::optional<MonotonicTime> last_attempt;
  int failures = 0;

  // From the answers of the present incarnation.
  Incarnation incarnation = 0;
  MonotonicTime incarnation_learned;
  MonotonicTime answer_sent;
  std::int64_t clock_ms = 0;
  MonotonicTime clock_received;
  LogOffset set = 0;
  int leaving_in_progress = 0;
  // The set that this instance gave to the target; empty when another member
  // gave it, or when it is not known whether an order arrived.
  std::optional<LeaseContent> given;
  MonotonicTime given_at;

  // Own orders.
  bool awaiting_answer = false;
  std::optional<LeaseContent> sent;
  // Bound on the end of the latest lease that was ordered; on the own clock.
  std::optional<MonotonicTime> end_bound;
};

// Keeps the leases that this instance extends, and says what is due.
class LeaseLedger {
 public:
  explicit LeaseLedger(const ControllerTiming& timing) : m_timing(timing) {}

  void OnAnswer(MonotonicTime sent,
                MonotonicTime now,
                std::string_view target,
                const LeaseAnswer& answer);
  void OnFailure(MonotonicTime now, std::string_view target);

  // Starts to count the target's silence, unless it is counted already.
  void Watch(MonotonicTime now, std::string_view target);

  // Counts the silence of all targets from `now` on, since this instance was
  // paused or did not watch them.
  void RestartWatch(MonotonicTime now);

  // What to send to the target now. `may_extend` says whether the state is
  // confirmed for it.
  LeaseStep Due(MonotonicTime now,
                std::string_view target,
                const LeaseContent& content,
                bool may_extend) const;

  // Notes a query that is sent at `now`.
  void NoteQuery(MonotonicTime now, std::string_view target);
  // Makes the order that is sent at `now`.
  LeaseOrder MakeOrder(MonotonicTime now,
                       std::string_view target,
                       const LeaseContent& content,
                       LeaseStep step);

  const TargetLease* Find(std::string_view target) const;
  // The target answered within the limit of silence.
  bool IsAnswering(MonotonicTime now, std::string_view target) const;
  // The target was watched for the limit of silence and did not answer, or
  // refused connections.
  bool IsSilent(MonotonicTime now, std::string_view target) const;

  // Time left of the leases that this instance ordered, for a heartbeat.
  std::map<TargetId, std::int64_t, std::less<>> Remaining(
      MonotonicTime now) const;

 private:
  bool IsClockFresh(MonotonicTime now, const TargetLease& lease) const;

  ControllerTiming m_timing;
  std::map<TargetId, TargetLease, std::less<>> m_leases;
};

}  // namespace snipehall
