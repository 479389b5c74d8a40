#pragma once

#include <memory>
#include <span>

#include "coordination/messages.h"
#include "coordination/move_tracker.h"
#include "state/cluster_state.h"
#include "state/routing_table.h"

namespace snipehall {

// Whether the configuration and the platform's list are known, and every key
// range whose zone has a live target is assigned.
bool AreAssignmentsKnown(const ClusterState& state,
                         std::span<const PlatformInstance> instances);

// Builds the routing table from the cluster state and the platform's list. If
// the targets of a service do not check lease orders, a range whose move is
// pending has no target: the new owner could run a request while the former
// owner still runs one.
std::shared_ptr<const RoutingTable> BuildRoutingTable(
    const ClusterState& state,
    const MoveTracker& move_tracker,
    std::span<const PlatformInstance> instances,
    bool ready);

}  // namespace snipehall
