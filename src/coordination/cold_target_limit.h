#pragma once

#include <optional>

#include "state/target_list.h"
#include "state/types.h"

namespace snipehall {

// How far the requests that a cold target gets in one second may exceed the
// rate that it bears.
struct ColdTargetBounds {
  // Factor of the rate, at least 1, and requests beyond that.
  double overage = 1;
  double slack = 0;

  bool operator==(const ColdTargetBounds&) const = default;
};

// Whether the target is warming up after a cold start and bears only
// `cold_rate` requests per second until then; any number if that is zero.
bool IsCold(MonotonicTime now, const ListedTarget& target, double cold_rate);

// Returns the rate, in requests per second, at which the leader grants permits
// for a cold target that bears `cold_rate`; see SharedRateLimiter. It answers
// targets that come back cold, on their own or with their whole zone: all
// instances together send such a target no more than it bears, and without a
// permit none sends it anything, so that the bound also holds while some
// instances hear nothing.
//
// The rate is low enough for the bound to hold with two leaders at a time, each
// of which grants a burst: one that was replaced while it was disconnected may
// still answer instances near it. A bound of less than two requests per second
// holds with one leader only.
double ColdPermitRate(double cold_rate, const ColdTargetBounds& bounds);

}  // namespace snipehall
