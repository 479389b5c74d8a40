#include "coordination/request_admission.h"

#include <algorithm>
#include <cmath>

namespace snipehall {

namespace {

// Part of the time left up to which callers follow Retry-After.
constexpr double kMaxRetryShare = 1.0 / 3;

Milliseconds Scale(Milliseconds time, double factor) {
  return std::chrono::round<Milliseconds>(std::chrono::duration<double>(time) *
                                          factor);
}

}  // namespace

Milliseconds RequestAdmission::MaxWait(const AdmissionInput& input) {
  const int steps = std::max(0, input.priority - input.urgent_priority);
  return Scale(input.urgent_objective,
               kQueueShare * std::pow(kPriorityFactor, steps));
}

AdmissionDecision RequestAdmission::Decide(MonotonicTime now,
                                           const AdmissionInput& input) {
  using Action = AdmissionDecision::Action;
  // One draw for each request, however often it asks.
  const double draw = input.held ? 1 : Draw();
  if (input.expected_wait.count() <= 0 && draw < kProbeShare) {
    return {};
  }
  const MonotonicTime begins_at = now + input.expected_wait;
  if (begins_at + Scale(input.service_time, kMinServiceShare) >
      input.deadline) {
    return {Action::kRefuse,
            {},
            RetryAfter(now, input.deadline, input.expected_wait)};
  }
  AdmissionInput effective = input;
  const bool is_urgent = input.priority <= input.urgent_priority;
  if (!is_urgent && draw < kGuaranteedShare) {
    effective.priority = input.urgent_priority;
  }
  const Milliseconds excess = input.expected_wait - MaxWait(effective);
  if (excess.count() <= 0) {
    return {};
  }
  const MonotonicTime hold_until =
      input.received_at + Scale(input.objective, kHoldShare);
  const MonotonicTime retry_at =
      now + std::clamp(excess, kMinHoldInterval, kHoldInterval);
  if (retry_at <= hold_until) {
    return {Action::kWait, retry_at, {}};
  }
  return {Action::kRefuse, {}, RetryAfter(now, input.deadline, excess)};
}

AdmissionDecision RequestAdmission::DecideForKey(MonotonicTime now,
                                                 MonotonicTime deadline,
                                                 double fraction) {
  if (Draw() < fraction) {
    return {};
  }
  return {AdmissionDecision::Action::kRefuse,
          {},
          RetryAfter(now, deadline, kMaxRetryAfter)};
}

Milliseconds RequestAdmission::RetryAfter(MonotonicTime now,
                                          MonotonicTime deadline,
                                          Milliseconds time) {
  const Milliseconds latest = Scale(
      std::chrono::duration_cast<Milliseconds>(deadline - now), kMaxRetryShare);
  if (latest < kMinRetryAfter) {
    return Milliseconds(0);
  }
  const Milliseconds varied = Scale(time, 0.5 + Draw());
  return std::clamp(varied, kMinRetryAfter, std::min(latest, kMaxRetryAfter));
}

}  // namespace snipehall
