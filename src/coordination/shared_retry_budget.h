#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "state/types.h"

namespace snipehall {

// Limits the retries that this instance sends to a service, so that those of
// all instances together stay within a budget in any window: a ratio of the
// requests, plus a fixed allowance that is divided among the instances.
class SharedRetryBudget {
 public:
  struct Limits {
    // Retries allowed for each request.
    double ratio = 0.2;
    // Additional retries allowed per window, by all instances together.
    double base = 0;
    Milliseconds window{10000};
    // Fraction of `ratio` and `base` that is used, so that the budget holds
    // although the counts are not exact.
    double safety_factor = 0.7;
  };

  explicit SharedRetryBudget(Limits limits) : m_limits(limits) {}

  void set_limits(Limits limits) { m_limits = limits; }
  // Sets the number of instances among which the fixed allowance is divided, at
  // least 1. None of it is used until the number is known.
  void set_instance_count(int count) { m_instances = count; }

  // Call once for each request, not for its retries.
  void OnRequest(MonotonicTime now);

  // Takes one retry from the budget. Returns false when none is left in the
  // window; the request must not be retried then.
  bool TryTake(MonotonicTime now);

 private:
  // Counts of a tenth of the window; `number` is its index since the epoch of
  // the clock.
  struct Slice {
    std::int64_t number = 0;
    int requests = 0;
    int retries = 0;
  };

  Slice& Current(MonotonicTime now);

  Limits m_limits;
  std::optional<int> m_instances;
  std::deque<Slice> m_slices;
};

}  // namespace snipehall
