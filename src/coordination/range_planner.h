#pragma once

#include <span>
#include <vector>

#include "coordination/messages.h"
#include "state/configuration.h"
#include "state/record.h"

namespace snipehall {

enum class TargetCondition {
  kUsable,   // Answers and accepts requests.
  kUnknown,  // Not polled for long enough; it keeps its ranges.
  kLost,     // Unresponsive, leaving or drained; its ranges are moved.
};

// A target with its condition.
struct PlanTarget {
  TargetId id;
  GroupId group;
  TargetCondition condition = TargetCondition::kUnknown;

  bool operator==(const PlanTarget&) const = default;
};

// Plans the owners of one key range of a service. Returns the changes to make;
// empty if there are none. `targets` are the targets of the key range's home
// zone or of its failover zone. Ranges of lost and of unlisted targets are
// distributed over the usable targets. A usable target with less than half its
// share of the hash space is filled up to its share. Nothing changes if no
// target is usable.
std::vector<OwnerChange> PlanKeyRange(const HashRange& key_range,
                                      const ServiceAssignment* assignment,
                                      std::span<const PlanTarget> targets);

}  // namespace snipehall
