#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// A service that receives a share of a route's requests, in proportion to its
// weight.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// Settings for the requests of one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // Requests are idempotent: when the response of a target is lost, the request
  // may be sent again, to another target or, with a key, to the owner of the
  // key, although it may have run already.
  bool idempotent = false;
  // Priority under overload; 0 is the highest.
  int priority = 0;
  // Latency objective: responses within this time are fast enough for the
  // caller. Limits how long a request waits for its key to get an owner.
  Milliseconds latency_objective{1000};
  // Maximum time from the first byte of a request to its response. The caller
  // may ask for less.
  Milliseconds timeout{30000};
  // Maximum number of times that one request is sent, to the same or different
  // targets. Failed attempts to connect do not count.
  int max_attempts = 1;
  std::vector<WeightedService> services;

  bool operator==(const Route&) const = default;
};

// Settings of a service.
struct ServicePolicy {
  ServiceName name;
  // Path of the targets' health check.
  std::string health_path;
  // Maximum number of connections that one target accepts, from all instances
  // together. Each instance opens only a part of them.
  int connection_limit = 100;
  // Each request has a header with a key, and is sent to the target that owns
  // the key; see KeyTable.
  bool keyed = false;
  // Requests per second, of all instances together, that a target bears while
  // it warms up after a cold start; zero if it bears any number.
  double cold_rate = 0;

  bool operator==(const ServicePolicy&) const = default;
};

// Limits on the requests of callers.
struct RequestLimits {
  // Maximum size of a request's head, bytes.
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  // Maximum size of a request's body, bytes.
  std::uint64_t max_body_bytes = std::uint64_t{64} << 20;
  // Timeout from the first byte of a request to the end of its head.
  Milliseconds head_timeout{3000};
  // Timeout of a connection between two requests.
  Milliseconds idle_timeout{15000};

  bool operator==(const RequestLimits&) const = default;
};

// A version of the gateway's routing configuration: routes, services and
// limits. Immutable once created.
class RoutePolicy {
 public:
  // Fails with kInvalidArgument when a route names an unknown service, has no
  // service with a weight above zero, has a prefix that does not begin and end
  // with a slash, or has the same host and prefix as another.
  static Result<std::shared_ptr<const RoutePolicy>> Create(
      std::uint64_t version,
      RequestLimits limits,
      std::vector<Route> routes,
      std::vector<ServicePolicy> services);

  std::uint64_t version() const { return m_version; }
  // Whether a route has the highest priority. The configuration then asks for
  // its requests to be served before others when there is too little room.
  bool has_urgent_routes() const;
  const RequestLimits& limits() const { return m_limits; }
  std::span<const Route> routes() const { return m_routes; }
  const std::map<ServiceName, ServicePolicy, std::less<>>& services() const {
    return m_services;
  }

  // Returns the route of the host with the longest prefix of the path in
  // `target`, an origin-form request target (RFC 9112); null when no route
  // matches. `host` is without a port and is compared with case. A path without
  // a slash at its end matches only the prefixes up to its last slash.
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  // Returns the service with the name, or null.
  const ServicePolicy* FindService(std::string_view name) const;

 private:
  RoutePolicy() = default;

  std::uint64_t m_version = 0;
  RequestLimits m_limits;
  std::vector<Route> m_routes;
  std::map<ServiceName, ServicePolicy, std::less<>> m_services;
  // Index into m_routes by host and prefix in one string; a host has no slash.
  std::unordered_map<std::string, std::size_t> m_index;
};

}  // namespace snipehall
