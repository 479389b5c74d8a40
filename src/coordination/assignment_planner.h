#pragma once

#include <map>
#include <vector>

#include "coordination/coordinator_selector.h"
#include "coordination/lease_table.h"
#include "coordination/range_planner.h"
#include "state/cluster_state.h"

namespace snipehall {

// Targets by id.
using KnownTargets = std::map<TargetId, PlatformInstance, std::less<>>;

// Input of PlanAssignment().
struct AssignmentInput {
  const ClusterState& state;
  const PeerTable& peers;
  const CoordinatorSelector& selector;
  const LeaseTable& leases;
  const KnownTargets& targets;
  MonotonicTime now;
  // Time without a message after which a member counts as lost.
  Milliseconds silence_timeout;
};

// Returns the owner changes of one service that this instance should propose
// now, to be put into one record: for the zones whose groups it coordinates,
// and for lost zones (`move_after`) for which one of these zones is the
// failover zone.
std::vector<OwnerChange> PlanAssignment(const AssignmentInput& input,
                                        const ServiceConfig& service);

}  // namespace snipehall
