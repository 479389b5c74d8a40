#pragma once

#include "coordination/controller.h"

namespace snipehall {

// The longest time that `duration` on another clock can take on this one.
inline std::chrono::nanoseconds WithDrift(Milliseconds duration,
                                          int drift_per_mille) {
  const std::chrono::nanoseconds exact = duration;
  return exact + exact * drift_per_mille / 1000;
}

// Number of members that any two majorities of `count` members share one of.
constexpr std::size_t MajorityOf(std::size_t count) {
  return count / 2 + 1;
}

// Time after which no member that has not read a record can have a lease in
// force, counted from when a majority of its group had read the record.
inline std::chrono::nanoseconds LeaseLapseWait(const ControllerTiming& timing) {
  return WithDrift(timing.confirmation_validity + timing.lease,
                   timing.drift_per_mille);
}

}  // namespace snipehall
