#pragma once

#include <map>
#include <vector>

#include "coordination/group_duties.h"
#include "coordination/lease_ledger.h"
#include "coordination/range_planner.h"
#include "state/cluster_state.h"

namespace snipehall {

using KnownTargets = std::map<TargetId, PlatformInstance, std::less<>>;

// What assignments are planned from.
struct AssignmentView {
  const ClusterState& state;
  const PeerTable& peers;
  const GroupDuties& duties;
  const LeaseLedger& leases;
  const KnownTargets& targets;
  MonotonicTime now;
  Milliseconds silence;
};

// Plans the changes of one service that this instance is to propose now: those
// of the zones for whose groups it acts, and of a lost zone that its own zone
// stands in for (`move_after`). All of them go into one record.
std::vector<OwnerChange> PlanAssignment(const AssignmentView& view,
                                        const ServiceConfig& service);

}  // namespace snipehall
