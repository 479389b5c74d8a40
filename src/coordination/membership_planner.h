#pragma once

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "coordination/controller.h"
#include "coordination/coordinator_selector.h"
#include "coordination/membership.h"
#include "coordination/peer_table.h"
#include "state/cluster_state.h"

namespace snipehall {

// Input of PlanGroupMembers().
struct MembershipInput {
  const ClusterState& state;
  const PeerTable& peers;
  const CoordinatorSelector& selector;
  std::span<const PlatformInstance> instances;
  // Times since which members have been missing from the platform's list.
  const std::map<InstanceId, MonotonicTime, std::less<>>& absent_since;
  MonotonicTime now;
  // Start of this instance.
  MonotonicTime started;
  InstanceId self;
  const ControllerTiming& timing;
};

// Returns the members that this instance should propose for the zone's group
// now, or nothing. The group's coordinator proposes a change, and only after
// majorities of both the current and the previous members have read the current
// member list. The zone's first instance proposes a new group.
std::optional<std::vector<InstanceId>> PlanGroupMembers(
    const MembershipInput& input,
    std::string_view zone);

}  // namespace snipehall
