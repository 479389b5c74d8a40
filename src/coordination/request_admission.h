#pragma once

#include <random>

#include "state/types.h"

namespace snipehall {

// What is known of a request and of the target chosen for it, before it is
// sent.
struct AdmissionInput {
  // Priority of the request's route; 0 is the most urgent.
  int priority = 0;
  // The most urgent priority of the routes to the same service, and the
  // shortest latency objective of those routes.
  int urgent_priority = 0;
  Milliseconds urgent_objective{0};
  // The request has been held before, so that this is not the first decision
  // about it.
  bool held = false;
  // Arrival of the request, and the route's latency objective.
  MonotonicTime received_at;
  Milliseconds objective{0};
  // When the caller or the route gives the request up.
  MonotonicTime deadline;
  // Expected time of the request in the target's queue, and in work after it.
  Milliseconds expected_wait{0};
  Milliseconds service_time{0};
};

struct AdmissionDecision {
  enum class Action {
    kSend,
    // Ask again at `retry_at`.
    kWait,
    // Tell the caller to return after `retry_after`; zero if it would be too
    // late.
    kRefuse,
  };

  Action action = Action::kSend;
  MonotonicTime retry_at;
  Milliseconds retry_after{0};
};

// Decides whether a request is sent to its target, held for a short time, or
// refused at once. It answers callers that compete for too little room: a
// target takes requests in order of arrival, so the order has to be made before
// the send.
//
// - What cannot be served by its deadline is refused at once, except for a
//   small part of what finds a free slot, so that a service time that is no
//   longer true is corrected.
// - The most urgent requests of a service may find a queue that uses up half of
//   their latency objective; less urgent ones only a part of that, so that the
//   rest of the queue is left to the urgent ones. A request that finds a free
//   slot is always sent.
// - A small part of the less urgent requests is treated as urgent, so that none
//   starves while urgent ones fill the targets.
// - A request that finds too long a queue is held for a part of its own
//   objective, since queues are short-lived, and refused after that. Callers
//   are told to return when the queue is expected to be short enough, at times
//   that differ.
class RequestAdmission {
 public:
  // Part of the urgent objective that may be spent in a target's queue.
  static constexpr double kQueueShare = 0.5;
  // Factor by which a queue must be shorter for each step of priority.
  static constexpr double kPriorityFactor = 0.7;
  // Part of the less urgent requests that are treated as urgent.
  static constexpr double kGuaranteedShare = 0.1;
  // Part of the requests that are sent to a free slot although the expected
  // service time is too long.
  static constexpr double kProbeShare = 0.02;
  // Part of a request's objective for which it is held at most.
  static constexpr double kHoldShare = 0.125;
  // Part of the expected service time that must be left before the deadline.
  // Most requests take less than the mean.
  static constexpr double kMinServiceShare = 0.5;
  // Bounds of the interval at which a request that is held asks again.
  static constexpr Milliseconds kMinHoldInterval{10};
  static constexpr Milliseconds kHoldInterval{40};
  // Bounds of the time after which a caller is told to return.
  static constexpr Milliseconds kMinRetryAfter{100};
  static constexpr Milliseconds kMaxRetryAfter{1000};

  explicit RequestAdmission(std::uint64_t seed) : m_random(seed) {}

  AdmissionDecision Decide(MonotonicTime now, const AdmissionInput& input);

  // Decides the same for a request to a busy key, of whose requests only
  // `fraction` may be sent; see KeyAdmissionPlanner. The request is sent or
  // refused.
  AdmissionDecision DecideForKey(MonotonicTime now,
                                 MonotonicTime deadline,
                                 double fraction);

  // Longest queue that the request may find.
  static Milliseconds MaxWait(const AdmissionInput& input);

 private:
  // Returns `time`, varied at random and within the bounds, or zero if the
  // caller would have too little time left then.
  Milliseconds RetryAfter(MonotonicTime now,
                          MonotonicTime deadline,
                          Milliseconds time);
  double Draw() { return std::uniform_real_distribution<double>()(m_random); }

  std::mt19937_64 m_random;
};

}  // namespace snipehall
