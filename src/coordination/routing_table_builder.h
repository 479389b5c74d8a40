#pragma once

#include <memory>
#include <span>

#include "coordination/messages.h"
#include "state/cluster_state.h"
#include "state/routing_table.h"

namespace snipehall {

// Makes the routing table of a folded state and the platform's list. `ready`
// says whether the state was confirmed since the start.
std::shared_ptr<const RoutingTable> BuildRoutingTable(
    const ClusterState& state,
    std::span<const PlatformInstance> instances,
    bool ready);

}  // namespace snipehall
