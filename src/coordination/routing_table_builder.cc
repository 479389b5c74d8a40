#include "coordination/routing_table_builder.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace snipehall {

namespace {

// Adds the grantable parts of a route, and the other parts without a target.
void AddGrantable(RouteRange route,
                  const std::vector<LeasedRange>& grantable,
                  std::vector<RouteRange>& ranges) {
  const std::uint64_t last = route.range.last;
  for (const LeasedRange& part : grantable) {
    if (route.range.first < part.range.first) {
      ranges.push_back({{route.range.first, part.range.first - 1},
                        route.token,
                        RouteRange::kNoTarget});
    }
    ranges.push_back({part.range, route.token, route.target});
    if (part.range.last == last) {
      return;
    }
    route.range.first = part.range.last + 1;
  }
  ranges.push_back(
      {{route.range.first, last}, route.token, RouteRange::kNoTarget});
}

ServiceRoutes BuildRoutes(const ServiceConfig& service,
                          const Configuration& configuration,
                          const ServiceAssignment* assignment,
                          const MoveTracker& move_tracker,
                          std::span<const PlatformInstance> instances) {
  ServiceRoutes routes;
  routes.config = service;
  std::map<std::string_view, std::uint32_t> indexes;
  for (const PlatformInstance& instance : instances) {
    if (instance.role != PlatformRole::kTarget ||
        instance.service != service.name || indexes.contains(instance.id)) {
      continue;
    }
    indexes[instance.id] = static_cast<std::uint32_t>(routes.targets.size());
    routes.targets.push_back(
        {instance.id, instance.zone, instance.address,
         instance.leaving || configuration.IsDrained(instance.id)});
  }
  if (!service.keyed || assignment == nullptr) {
    return routes;
  }
  for (const OwnedRange& owned : assignment->ranges) {
    const auto index = indexes.find(owned.owner);
    const RouteRange route{
        owned.range, owned.token,
        index == indexes.end() ? RouteRange::kNoTarget : index->second};
    if (service.checks_orders) {
      routes.ranges.push_back(route);
    } else {
      AddGrantable(route, move_tracker.GrantableRanges(service.name, owned),
                   routes.ranges);
    }
  }
  return routes;
}

bool HasLiveTarget(std::span<const PlatformInstance> instances,
                   std::string_view service,
                   std::string_view zone) {
  return std::any_of(instances.begin(), instances.end(),
                     [&](const PlatformInstance& instance) {
                       return instance.role == PlatformRole::kTarget &&
                              !instance.leaving &&
                              instance.service == service &&
                              instance.zone == zone;
                     });
}

}  // namespace

bool AreAssignmentsKnown(const ClusterState& state,
                         std::span<const PlatformInstance> instances) {
  const ConfigurationEntry* entry = state.configuration();
  if (entry == nullptr || instances.empty()) {
    return false;
  }
  for (const ServiceConfig& service : entry->configuration.services) {
    const ServiceAssignment* assignment = state.FindAssignment(service.name);
    for (const KeyRangeConfig& keys : service.key_ranges) {
      const bool owned = assignment != nullptr &&
                         assignment->Find(keys.range.first) != nullptr;
      if (!owned && HasLiveTarget(instances, service.name, keys.zone)) {
        return false;
      }
    }
  }
  return true;
}

std::shared_ptr<const RoutingTable> BuildRoutingTable(
    const ClusterState& state,
    const MoveTracker& move_tracker,
    std::span<const PlatformInstance> instances,
    bool ready) {
  auto table = std::make_shared<RoutingTable>();
  table->offset = state.offset();
  const auto entries = std::count_if(
      instances.begin(), instances.end(), [](const PlatformInstance& instance) {
        return instance.role == PlatformRole::kEntry && !instance.leaving;
      });
  table->instances = std::max(1, static_cast<int>(entries));
  const ConfigurationEntry* entry = state.configuration();
  if (entry == nullptr) {
    return table;
  }
  table->ready = ready;
  table->tenants = entry->configuration.tenants;
  for (const ServiceConfig& service : entry->configuration.services) {
    table->services[service.name] = BuildRoutes(
        service, entry->configuration, state.FindAssignment(service.name),
        move_tracker, instances);
  }
  return table;
}

}  // namespace snipehall
