#include "coordination/routing_table_builder.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace snipehall {

namespace {

ServiceRoutes BuildRoutes(const ServiceConfig& service,
                          const Configuration& configuration,
                          const ServiceAssignment* assignment,
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
    routes.ranges.push_back(
        {owned.range, owned.token,
         index == indexes.end() ? RouteRange::kNoTarget : index->second});
  }
  return routes;
}

}  // namespace

std::shared_ptr<const RoutingTable> BuildRoutingTable(
    const ClusterState& state,
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
    table->services[service.name] =
        BuildRoutes(service, entry->configuration,
                    state.FindAssignment(service.name), instances);
  }
  return table;
}

}  // namespace snipehall
