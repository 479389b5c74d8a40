#include "state/routing_table.h"

#include <algorithm>

namespace snipehall {

const RouteRange* ServiceRoutes::Find(std::uint64_t hash) const {
  const auto next =
      std::upper_bound(ranges.begin(), ranges.end(), hash,
                       [](std::uint64_t value, const RouteRange& entry) {
                         return value < entry.range.first;
                       });
  if (next == ranges.begin()) {
    return nullptr;
  }
  const RouteRange& entry = *std::prev(next);
  return entry.range.Contains(hash) ? &entry : nullptr;
}

const ServiceRoutes* RoutingTable::FindService(std::string_view name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

}  // namespace snipehall
