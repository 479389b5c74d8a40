#pragma once

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "coordination/controller.h"
#include "coordination/group_duties.h"
#include "coordination/membership.h"
#include "coordination/peer_table.h"
#include "state/cluster_state.h"

namespace snipehall {

// What the members of groups are planned from.
struct MembershipView {
  const ClusterState& state;
  const PeerTable& peers;
  const GroupDuties& duties;
  std::span<const PlatformInstance> instances;
  // Since when members were missing from the platform's list.
  const std::map<InstanceId, MonotonicTime, std::less<>>& absent_since;
  MonotonicTime now;
  MonotonicTime started;
  InstanceId self;
  const ControllerTiming& timing;
};

// The members that this instance is to propose for the zone's group now, or
// nothing. A change is proposed by the member that acts for the group, and only
// after majorities of the present and of the previous members have read the
// present list. A new group is proposed by the zone's first instance.
std::optional<std::vector<InstanceId>> PlanGroupMembers(
    const MembershipView& view,
    std::string_view zone);

}  // namespace snipehall
