#pragma once

#include <memory>
#include <span>

#include "coordination/messages.h"
#include "coordination/move_settlement.h"
#include "state/cluster_state.h"
#include "state/routing_table.h"

namespace snipehall {

// Whether a configuration and the list are known, and every key range whose
// zone has a live target is assigned.
bool AreAssignmentsKnown(const ClusterState& state,
                         std::span<const PlatformInstance> instances);

// Makes the routing table of a folded state and the platform's list. A range
// that is not settled has no target when the service's targets do not check
// orders: the new owner would run a request while the former one may still do
// so.
std::shared_ptr<const RoutingTable> BuildRoutingTable(
    const ClusterState& state,
    const MoveSettlement& settlement,
    std::span<const PlatformInstance> instances,
    bool ready);

}  // namespace snipehall
