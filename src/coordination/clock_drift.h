#pragma once

#include "coordination/controller.h"

namespace snipehall {

// Returns the longest time, on this instance's clock, that `duration` on
// another clock can take.
inline std::chrono::nanoseconds WithDrift(Milliseconds duration,
                                          int max_drift_per_mille) {
  const std::chrono::nanoseconds exact = duration;
  return exact + exact * max_drift_per_mille / 1000;
}

// Returns the size of a majority of `count` members. Any two majorities share
// at least one member.
constexpr std::size_t MajoritySize(std::size_t count) {
  return count / 2 + 1;
}

// Returns the time, counted from when a majority of a group had read a record,
// after which no lease can be in force that was extended by a member that had
// not read the record.
inline std::chrono::nanoseconds LeaseExpiryWait(
    const ControllerTiming& timing) {
  return WithDrift(timing.confirmation_validity + timing.lease_duration,
                   timing.max_drift_per_mille);
}

}  // namespace snipehall
