#pragma once

#include <cstddef>
#include <map>
#include <span>

#include "coordination/key_load.h"
#include "coordination/key_planner.h"
#include "state/key_table.h"
#include "state/types.h"

namespace snipehall {

// Part of the requests for each busy key that may be sent to its owner, from 0
// to 1; all requests of other keys.
using KeyFractions = std::map<KeyNumber, double>;

// Decides on the leader which requests of a keyed service are more than the
// owners of their keys can serve. It answers hot keys: a key has one owner, so
// what its owner cannot serve is refused before it is sent, instead of waiting
// there until its deadline passes and delaying the requests for all other keys
// of that owner.
//
// The capacity of an owner is divided among its keys by max-min fairness: keys
// with few requests get all of theirs served, and the busiest ones share what
// is left equally.
class KeyAdmissionPlanner {
 public:
  // Part of an owner's slots that may be busy. Above it, requests wait longer
  // than they take.
  static constexpr double kMaxUtilization = 0.9;
  // Maximum number of busy keys of a service, so that they fit in a datagram.
  // The busiest ones count.
  static constexpr std::size_t kMaxKeys = 256;

  // Returns the busy keys of a service, whose keys are assigned by `ranges`.
  // Owners that are not among `owners` are ignored.
  static KeyFractions Plan(MonotonicTime now,
                           std::span<const KeyAssignment> ranges,
                           std::span<const KeyCandidate> owners,
                           const KeyLoad& load);
};

}  // namespace snipehall
