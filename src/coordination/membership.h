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
  // In the zone of the group's targets.
  bool local = false;
  // Live and heard from; a candidate that is not is never added.
  bool available = false;
  // Leaving, or silent for so long that it is to be replaced.
  bool lost = false;

  bool operator==(const MemberCandidate&) const = default;
};

inline constexpr std::size_t kGroupSize = 3;

// The members that a group ought to have: the present ones without those that
// are lost, filled up to three with available candidates, local ones first.
// Foreign members give way to available local ones. A lost member stays when
// nobody can take its place. `present` is null for a new group. Returns nothing
// when no change is needed.
std::optional<std::vector<InstanceId>> PlanMembers(
    const GroupMembers* present,
    std::span<const MemberCandidate> candidates);

}  // namespace snipehall
