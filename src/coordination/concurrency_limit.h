#pragma once

#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// Finds how many requests one instance may have running at the targets of a
// service, while other instances use the same slots.
//
// The limit lies between this instance's equal share of the slots and all of
// them. It grows by one a round of answers while it is used up and no target
// reports a queue, and shrinks by a tenth, at most once an interval, when one
// does. So an instance that gets more than its share of the callers can use
// slots that others leave free, and all fall back to equal shares at the crest.
class ConcurrencyLimit {
 public:
  // Shortest time between two reductions. About one answer's time: a second
  // reduction before the first had an effect would go too far.
  static constexpr Milliseconds kReductionInterval{50};

  static Result<ConcurrencyLimit> Create(int total_slots, int instances) {
    if (total_slots < 1 || instances < 1) {
      return Fail(ErrorCode::kInvalidArgument,
                  "slots and instances must be at least 1");
    }
    return ConcurrencyLimit(total_slots, instances);
  }

  // Applies a change of targets or instances.
  void Resize(int total_slots, int instances);

  // An answer came while `running` requests of this instance were at targets;
  // `queued` says whether the target reported more work than slots, or shed.
  void OnAnswered(MonotonicTime now, int running, bool queued);

  int limit() const { return static_cast<int>(m_limit); }

 private:
  ConcurrencyLimit(int total_slots, int instances) {
    Resize(total_slots, instances);
    m_limit = m_share;
  }

  double m_share = 1;
  double m_total = 1;
  double m_limit = 1;
  MonotonicTime m_next_reduction;
};

}  // namespace snipehall
