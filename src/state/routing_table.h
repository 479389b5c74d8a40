#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/types.h"

namespace snipehall {

// A target as the request path on the data thread uses it.
struct RouteTarget {
  TargetId id;
  ZoneName zone;
  // "address:port", an IP number and not a name.
  std::string address;
  // A draining or drained target gets no new requests.
  bool draining = false;

  bool operator==(const RouteTarget&) const = default;
};

// A range of the hash space and the target that owns it. `target` is an index
// into `ServiceRoutes::targets`, or `kNoTarget` while the owner is unknown.
struct RouteRange {
  static constexpr std::uint32_t kNoTarget = UINT32_MAX;

  HashRange range;
  // Fencing token of the owner; see OwnedRange::token.
  LogOffset token = 0;
  std::uint32_t target = kNoTarget;

  bool operator==(const RouteRange&) const = default;
};

// Configuration, targets and key owners of a service.
struct ServiceRoutes {
  ServiceConfig config;
  std::vector<RouteTarget> targets;
  // Ordered by range; keyed services only.
  std::vector<RouteRange> ranges;

  // Returns the range that contains `hash`, or null.
  const RouteRange* Find(std::uint64_t hash) const;

  bool operator==(const ServiceRoutes&) const = default;
};

// All that the data thread needs to route requests. The control thread builds
// it and publishes it as an immutable object.
struct RoutingTable {
  // Offset of the log that the table was built from.
  LogOffset offset = 0;
  std::map<ServiceName, ServiceRoutes, std::less<>> services;
  std::vector<TenantConfig> tenants;
  // Number of live router instances, this one included. An endpoint's
  // connection limit is divided among them.
  int instances = 1;
  // False until the configuration and the assignments have been confirmed once.
  bool ready = false;

  // Returns the routes of the service, or null.
  const ServiceRoutes* FindService(std::string_view name) const;

  bool operator==(const RoutingTable&) const = default;
};

}  // namespace snipehall
