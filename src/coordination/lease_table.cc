#include "coordination/lease_table.h"

#include <algorithm>
#include <utility>

#include "coordination/clock_drift.h"

namespace snipehall {

namespace {

// Number of failed attempts, for example refused connections, after which half
// the silence timeout is enough to count a target as unresponsive.
constexpr int kFailuresForEarlySilence = 2;
// Delay before the next attempt after a failure.
constexpr Milliseconds kRetryDelay{40};
// Time without an answer after which a query is sent, so that one delayed
// message does not make a target look unresponsive.
constexpr Milliseconds kAnswerTimeout{80};
// Interval at which a range set is sent again. A delayed order of the same
// version may have replaced it with an earlier, smaller list of ranges.
constexpr Milliseconds kRangesResendInterval{1000};

// Whether the range set has to be sent in addition to the new deadline.
bool MustSendRanges(MonotonicTime now,
                    const TargetLease& lease,
                    const RangeSet& range_set) {
  if (lease.assignment_version != range_set.assignment_version) {
    return true;
  }
  // A range set sent by another member is replaced only by the complete one,
  // because that member may know of more completed moves.
  if (!lease.acknowledged) {
    return range_set.complete;
  }
  return lease.acknowledged->ranges != range_set.ranges ||
         now - lease.acknowledged_at >= kRangesResendInterval;
}

}  // namespace

void LeaseTable::OnAnswer(MonotonicTime sent,
                          MonotonicTime now,
                          std::string_view target,
                          const LeaseAnswer& answer) {
  TargetLease& lease = m_leases[std::string(target)];
  if (lease.last_answer && sent < lease.answer_sent) {
    return;
  }
  Watch(now, target);
  lease.last_answer = now;
  lease.failures = 0;
  std::optional<RangeSet> ordered;
  if (lease.last_attempt && sent >= *lease.last_attempt) {
    lease.awaiting_answer = false;
    ordered = std::exchange(lease.unacknowledged, std::nullopt);
  }
  if (lease.incarnation != answer.incarnation) {
    lease.incarnation = answer.incarnation;
    lease.incarnation_learned_at = now;
    lease.acknowledged.reset();
    lease.clock_ms = answer.clock_ms;
    lease.clock_received = now;
  }
  lease.answer_sent = sent;
  if (answer.clock_ms >= lease.clock_ms) {
    lease.clock_ms = answer.clock_ms;
    lease.clock_received = now;
  }
  lease.assignment_version = answer.assignment_version;
  lease.revoked_in_progress = answer.revoked_ranges_in_progress;
  if (ordered) {
    lease.acknowledged.reset();
    if (answer.accepted &&
        answer.assignment_version == ordered->assignment_version) {
      lease.acknowledged = std::move(ordered);
      lease.acknowledged_at = now;
    }
  }
  if (lease.acknowledged &&
      lease.acknowledged->assignment_version != answer.assignment_version) {
    lease.acknowledged.reset();
  }
}

void LeaseTable::OnFailure(MonotonicTime now, std::string_view target) {
  TargetLease& lease = m_leases[std::string(target)];
  Watch(now, target);
  ++lease.failures;
  lease.awaiting_answer = false;
  if (lease.unacknowledged) {
    lease.acknowledged.reset();
    lease.unacknowledged.reset();
  }
}

void LeaseTable::Watch(MonotonicTime now, std::string_view target) {
  TargetLease& lease = m_leases[std::string(target)];
  if (!lease.watched_since) {
    lease.watched_since = now;
  }
}

void LeaseTable::RestartWatch(MonotonicTime now) {
  for (auto& [target, lease] : m_leases) {
    lease.failures = 0;
    if (lease.watched_since) {
      lease.watched_since = now;
    }
  }
}

LeaseStep LeaseTable::NextStep(MonotonicTime now,
                               std::string_view target,
                               const RangeSet& range_set,
                               bool may_extend) const {
  const TargetLease* lease = Find(target);
  if (lease == nullptr || !lease->last_attempt) {
    return LeaseStep::kQuery;
  }
  const auto since_attempt = now - *lease->last_attempt;
  if (lease->awaiting_answer) {
    return since_attempt >= kAnswerTimeout ? LeaseStep::kQuery
                                           : LeaseStep::kNothing;
  }
  if (lease->failures > 0) {
    return since_attempt >= kRetryDelay ? LeaseStep::kQuery
                                        : LeaseStep::kNothing;
  }
  const bool interval_over = since_attempt >= m_timing.extension_interval;
  if (lease->incarnation == 0 || !may_extend ||
      lease->assignment_version > range_set.assignment_version) {
    return interval_over ? LeaseStep::kQuery : LeaseStep::kNothing;
  }
  const bool must_send_ranges = MustSendRanges(now, *lease, range_set);
  if (!must_send_ranges && !interval_over) {
    return LeaseStep::kNothing;
  }
  if (!IsClockFresh(now, *lease)) {
    return LeaseStep::kQuery;
  }
  return must_send_ranges ? LeaseStep::kExtendWithRanges : LeaseStep::kExtend;
}

void LeaseTable::OnQuerySent(MonotonicTime now, std::string_view target) {
  TargetLease& lease = m_leases[std::string(target)];
  Watch(now, target);
  // An order without an answer may have arrived or may still arrive.
  if (lease.unacknowledged) {
    lease.acknowledged.reset();
    lease.unacknowledged.reset();
  }
  lease.last_attempt = now;
  lease.awaiting_answer = true;
}

LeaseOrder LeaseTable::MakeOrder(MonotonicTime now,
                                 std::string_view target,
                                 const RangeSet& range_set,
                                 LeaseStep step) {
  OnQuerySent(now, target);
  TargetLease& lease = m_leases[std::string(target)];
  LeaseOrder order;
  order.target = target;
  order.incarnation = lease.incarnation;
  order.assignment_version = range_set.assignment_version;
  order.deadline_ms = lease.clock_ms + m_timing.lease_duration.count();
  if (step == LeaseStep::kExtendWithRanges) {
    order.ranges = range_set.ranges;
    lease.unacknowledged = range_set;
  }
  const MonotonicTime end =
      lease.clock_received +
      WithDrift(m_timing.lease_duration, m_timing.max_drift_per_mille);
  lease.end_bound = lease.end_bound ? std::max(*lease.end_bound, end) : end;
  return order;
}

const TargetLease* LeaseTable::Find(std::string_view target) const {
  const auto found = m_leases.find(target);
  return found == m_leases.end() ? nullptr : &found->second;
}

bool LeaseTable::IsAnswering(MonotonicTime now, std::string_view target) const {
  const TargetLease* lease = Find(target);
  return lease != nullptr && lease->last_answer &&
         now - *lease->last_answer <= m_timing.silence_timeout &&
         !IsUnresponsive(now, target);
}

bool LeaseTable::IsUnresponsive(MonotonicTime now,
                                std::string_view target) const {
  const TargetLease* lease = Find(target);
  if (lease == nullptr || !lease->watched_since) {
    return false;
  }
  const MonotonicTime since =
      lease->last_answer ? std::max(*lease->last_answer, *lease->watched_since)
                         : *lease->watched_since;
  const auto silence = now - since;
  return silence > m_timing.silence_timeout ||
         (lease->failures >= kFailuresForEarlySilence &&
          silence > m_timing.silence_timeout / 2);
}

std::map<TargetId, std::int64_t, std::less<>> LeaseTable::Remaining(
    MonotonicTime now) const {
  std::map<TargetId, std::int64_t, std::less<>> remaining;
  for (const auto& [target, lease] : m_leases) {
    if (lease.end_bound && *lease.end_bound > now) {
      remaining[target] =
          std::chrono::ceil<Milliseconds>(*lease.end_bound - now).count();
    }
  }
  return remaining;
}

bool LeaseTable::IsClockFresh(MonotonicTime now,
                              const TargetLease& lease) const {
  return now - lease.clock_received <= 2 * m_timing.extension_interval;
}

}  // namespace snipehall
