#pragma once

#include <optional>
#include <span>
#include <vector>

#include "state/record.h"
#include "state/types.h"

namespace snipehall {

// An entry instance that may become a member of a group.
struct MemberCandidate {
  InstanceId id;
  // Whether it is in the zone of the group's targets.
  bool local = false;
  // Whether it was heard from recently; only available candidates are added.
  bool available = false;
  // Whether it is leaving, or unresponsive for so long that it should be
  // replaced.
  bool lost = false;

  bool operator==(const MemberCandidate&) const = default;
};

// Number of members of a full group; it tolerates the loss of one member.
inline constexpr std::size_t kGroupSize = 3;

// Returns the members that a group should have: the current ones except the
// lost ones, filled up to three with available candidates, local ones first.
// Available local candidates replace members from other zones. A lost member
// stays if there is no replacement. `current` is null for a new group. Returns
// nothing if no change is needed.
std::optional<std::vector<InstanceId>> PlanMembers(
    const GroupMembers* current,
    std::span<const MemberCandidate> candidates);

}  // namespace snipehall
