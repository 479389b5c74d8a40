#pragma once

#include <cstdint>
#include <deque>

#include "state/types.h"

namespace snipehall {

// This instance's part of the retries that all instances may send to a service
// in any window: a share of the requests for it, and an allowance that is
// divided among the instances.
class SharedRetryBudget {
 public:
  struct Limits {
    // Retries allowed for each request.
    double ratio = 0.2;
    // Retries allowed in a window besides. An instance's own part of what all
    // instances share.
    double base = 0;
    Milliseconds window{10000};
    // Part of `ratio` and `base` that is used, so that counts which are off by
    // a few cannot exceed them.
    double used_part = 0.7;
  };

  explicit SharedRetryBudget(Limits limits) : m_limits(limits) {}

  void set_limits(Limits limits) { m_limits = limits; }

  void OnRequest(MonotonicTime now);

  // Takes one retry; false when none is left in the window.
  bool TryTake(MonotonicTime now);

 private:
  // Counts of a tenth of the window.
  struct Slice {
    std::int64_t number = 0;
    int requests = 0;
    int retries = 0;
  };

  Slice& Current(MonotonicTime now);

  Limits m_limits;
  std::deque<Slice> m_slices;
};

}  // namespace snipehall
