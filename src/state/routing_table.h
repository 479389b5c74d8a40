#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/types.h"

namespace snipehall {

// A target as the data thread sees it.
struct RouteTarget {
  TargetId id;
  ZoneName zone;
  // "address:port", an IP number and not a name.
  std::string address;
  // A leaving or drained target gets no new work.
  bool leaving = false;

  bool operator==(const RouteTarget&) const = default;
};

// A range with the target that owns it. `target` indexes
// `ServiceRoutes::targets`, or is `kNoTarget` while the owner is unknown.
struct RouteRange {
  static constexpr std::uint32_t kNoTarget = UINT32_MAX;

  HashRange range;
  LogOffset token = 0;
  std::uint32_t target = kNoTarget;

  bool operator==(const RouteRange&) const = default;
};

struct ServiceRoutes {
  ServiceConfig config;
  std::vector<RouteTarget> targets;
  // Ordered by range; keyed services only.
  std::vector<RouteRange> ranges;

  // The range that contains `hash`, or null.
  const RouteRange* Find(std::uint64_t hash) const;

  bool operator==(const ServiceRoutes&) const = default;
};

// What the data thread needs to route requests. Immutable once published.
struct RoutingTable {
  // Log offset that the table was made from.
  LogOffset offset = 0;
  std::map<ServiceName, ServiceRoutes, std::less<>> services;
  std::vector<TenantConfig> tenants;
  // Number of live entry instances, this one included. An endpoint's
  // connection limit is divided among them.
  int instances = 1;
  // False before configuration and assignments were confirmed once.
  bool ready = false;

  const ServiceRoutes* FindService(std::string_view name) const;

  bool operator==(const RoutingTable&) const = default;
};

}  // namespace snipehall
