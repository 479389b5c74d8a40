#pragma once

#include <span>
#include <vector>

#include "coordination/messages.h"
#include "state/configuration.h"
#include "state/record.h"

namespace snipehall {

enum class TargetCondition {
  kUsable,   // Answers and takes new work.
  kUnknown,  // Not watched for long enough: it keeps what it has.
  kLost,     // Silent, leaving or drained: its ranges move away.
};

// A target as the planner sees it.
struct PlanTarget {
  TargetId id;
  GroupId group;
  TargetCondition condition = TargetCondition::kUnknown;

  bool operator==(const PlanTarget&) const = default;
};

// Plans the owners of one key range of a service. Returns the changes to make,
// empty when all is well. `targets` are the targets of the key range's home
// zone, or of the zone that takes over for it. Ranges of lost and of unlisted
// targets are spread over the usable ones, and a usable target with less than
// half its share is filled up to its share of the space. Nothing changes when
// no target is usable.
std::vector<OwnerChange> PlanKeyRange(const HashRange& key_range,
                                      const ServiceAssignment* assignment,
                                      std::span<const PlanTarget> targets);

}  // namespace snipehall
