#pragma once

#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Adaptive limit (additive increase, multiplicative decrease) of the requests
// that one instance may have running at the targets of a service, while other
// instances use the same slots.
//
// The limit lies between this instance's equal share of the slots and all of
// them. While it is reached and no target reports a queue, it grows by about
// one per `limit()` responses; when a target reports a queue, it shrinks by a
// tenth, at most once per kReductionInterval. So an instance with more than its
// share of the callers can use slots that others leave free, and all return to
// equal shares under peak load.
class ConcurrencyLimit {
 public:
  // Minimum time between two reductions. About one service time: a second
  // reduction before the first takes effect would overshoot.
  static constexpr Milliseconds kReductionInterval{50};

  // Fails with kInvalidArgument when either number is below 1.
  static Result<ConcurrencyLimit> Create(int total_slots, int instances) {
    if (total_slots < 1 || instances < 1) {
      return Fail(ErrorCode::kInvalidArgument,
                  "slots and instances must be at least 1");
    }
    return ConcurrencyLimit(total_slots, instances);
  }

  // Applies a change of the number of slots or instances.
  void Resize(int total_slots, int instances);

  // Call for each response. `running` is the number of requests that this
  // instance had running at targets; `queued` is whether the target reported
  // more work than slots or refused the request.
  void OnAnswered(MonotonicTime now, int running, bool queued);

  // Maximum number of requests that this instance may have running.
  int limit() const { return static_cast<int>(m_limit); }

 private:
  ConcurrencyLimit(int total_slots, int instances) {
    Resize(total_slots, instances);
    m_limit = m_equal_share;
  }

  double m_equal_share = 1;
  double m_total_slots = 1;
  double m_limit = 1;
  MonotonicTime m_next_reduction;
};

}  // namespace snipehall
