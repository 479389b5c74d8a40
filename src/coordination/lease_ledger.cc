#include "coordination/lease_ledger.h"

#include <algorithm>
#include <utility>

#include "coordination/drift.h"

namespace snipehall {

namespace {

// Refused or failed attempts after which a target counts as silent early.
constexpr int kFailuresForSilence = 2;
// Pause before an attempt that follows a failure.
constexpr Milliseconds kRetryPause{40};
// Time without an answer after which a query follows, so that one delayed
// message does not make a target look silent.
constexpr Milliseconds kAnswerPatience{80};
// Interval at which a set is sent again. A delayed order of the same set may
// have replaced it with an earlier, smaller list of ranges.
constexpr Milliseconds kSetInterval{1000};

// Whether the range set has to be sent, and not only a later deadline.
bool MustSet(MonotonicTime now,
             const TargetLease& lease,
             const LeaseContent& content) {
  if (lease.set != content.set) {
    return true;
  }
  // A set that another member gave is replaced only by the complete one, since
  // that member may know of more settled moves.
  if (!lease.given) {
    return content.complete;
  }
  return lease.given->ranges != content.ranges ||
         now - lease.given_at >= kSetInterval;
}

}  // namespace

void LeaseLedger::OnAnswer(MonotonicTime sent,
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
  std::optional<LeaseContent> ordered;
  if (lease.last_attempt && sent >= *lease.last_attempt) {
    lease.awaiting_answer = false;
    ordered = std::exchange(lease.sent, std::nullopt);
  }
  if (lease.incarnation != answer.incarnation) {
    lease.incarnation = answer.incarnation;
    lease.incarnation_learned = now;
    lease.given.reset();
    lease.clock_ms = answer.clock_ms;
    lease.clock_received = now;
  }
  lease.answer_sent = sent;
  if (answer.clock_ms >= lease.clock_ms) {
    lease.clock_ms = answer.clock_ms;
    lease.clock_received = now;
  }
  lease.set = answer.set;
  lease.leaving_in_progress = answer.leaving_ranges_in_progress;
  if (ordered) {
    lease.given.reset();
    if (answer.accepted && answer.set == ordered->set) {
      lease.given = std::move(ordered);
      lease.given_at = now;
    }
  }
  if (lease.given && lease.given->set != answer.set) {
    lease.given.reset();
  }
}

void LeaseLedger::OnFailure(MonotonicTime now, std::string_view target) {
  TargetLease& lease = m_leases[std::string(target)];
  Watch(now, target);
  ++lease.failures;
  lease.awaiting_answer = false;
  if (lease.sent) {
    lease.given.reset();
    lease.sent.reset();
  }
}

void LeaseLedger::Watch(MonotonicTime now, std::string_view target) {
  TargetLease& lease = m_leases[std::string(target)];
  if (!lease.polled_since) {
    lease.polled_since = now;
  }
}

void LeaseLedger::RestartWatch(MonotonicTime now) {
  for (auto& [target, lease] : m_leases) {
    lease.failures = 0;
    if (lease.polled_since) {
      lease.polled_since = now;
    }
  }
}

LeaseStep LeaseLedger::Due(MonotonicTime now,
                           std::string_view target,
                           const LeaseContent& content,
                           bool may_extend) const {
  const TargetLease* lease = Find(target);
  if (lease == nullptr || !lease->last_attempt) {
    return LeaseStep::kQuery;
  }
  const auto since_attempt = now - *lease->last_attempt;
  if (lease->awaiting_answer) {
    return since_attempt >= kAnswerPatience ? LeaseStep::kQuery
                                            : LeaseStep::kNothing;
  }
  if (lease->failures > 0) {
    return since_attempt >= kRetryPause ? LeaseStep::kQuery
                                        : LeaseStep::kNothing;
  }
  const bool interval_over = since_attempt >= m_timing.extension_interval;
  if (lease->incarnation == 0 || !may_extend || lease->set > content.set) {
    return interval_over ? LeaseStep::kQuery : LeaseStep::kNothing;
  }
  const bool must_set = MustSet(now, *lease, content);
  if (!must_set && !interval_over) {
    return LeaseStep::kNothing;
  }
  if (!IsClockFresh(now, *lease)) {
    return LeaseStep::kQuery;
  }
  return must_set ? LeaseStep::kExtendAndSet : LeaseStep::kExtend;
}

void LeaseLedger::NoteQuery(MonotonicTime now, std::string_view target) {
  TargetLease& lease = m_leases[std::string(target)];
  Watch(now, target);
  // An order without an answer may have arrived or may arrive later.
  if (lease.sent) {
    lease.given.reset();
    lease.sent.reset();
  }
  lease.last_attempt = now;
  lease.awaiting_answer = true;
}

LeaseOrder LeaseLedger::MakeOrder(MonotonicTime now,
                                  std::string_view target,
                                  const LeaseContent& content,
                                  LeaseStep step) {
  NoteQuery(now, target);
  TargetLease& lease = m_leases[std::string(target)];
  LeaseOrder order;
  order.target = target;
  order.incarnation = lease.incarnation;
  order.set = content.set;
  order.deadline_ms = lease.clock_ms + m_timing.lease.count();
  if (step == LeaseStep::kExtendAndSet) {
    order.ranges = content.ranges;
    lease.sent = content;
  }
  const MonotonicTime end = lease.clock_received +
                            WithDrift(m_timing.lease, m_timing.drift_per_mille);
  lease.end_bound = lease.end_bound ? std::max(*lease.end_bound, end) : end;
  return order;
}

const TargetLease* LeaseLedger::Find(std::string_view target) const {
  const auto found = m_leases.find(target);
  return found == m_leases.end() ? nullptr : &found->second;
}

bool LeaseLedger::IsAnswering(MonotonicTime now,
                              std::string_view target) const {
  const TargetLease* lease = Find(target);
  return lease != nullptr && lease->last_answer &&
         now - *lease->last_answer <= m_timing.silence &&
         !IsSilent(now, target);
}

bool LeaseLedger::IsSilent(MonotonicTime now, std::string_view target) const {
  const TargetLease* lease = Find(target);
  if (lease == nullptr || !lease->polled_since) {
    return false;
  }
  const MonotonicTime since =
      lease->last_answer ? std::max(*lease->last_answer, *lease->polled_since)
                         : *lease->polled_since;
  const auto silence = now - since;
  return silence > m_timing.silence ||
         (lease->failures >= kFailuresForSilence &&
          silence > m_timing.silence / 2);
}

std::map<TargetId, std::int64_t, std::less<>> LeaseLedger::Remaining(
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

bool LeaseLedger::IsClockFresh(MonotonicTime now,
                               const TargetLease& lease) const {
  return now - lease.clock_received <= 2 * m_timing.extension_interval;
}

}  // namespace snipehall
