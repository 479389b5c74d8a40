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

// A service that receives a share of a route's requests.
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
  // Requests are idempotent: one may be sent to a target again although it may
  // have run already.
  bool idempotent = false;
  // Priority under overload; 0 is the highest.
  int priority = 0;
  // Latency objective: answers within this time have their full value to the
  // caller.
  Milliseconds latency_objective{1000};
  // Maximum time from a request to its answer.
  Milliseconds timeout{30000};
  // Maximum number of targets to which one request is sent.
  int max_attempts = 1;
  std::vector<WeightedService> services;

  bool operator==(const Route&) const = default;
};

// Settings of a service.
struct ServicePolicy {
  ServiceName name;
  std::string health_path;
  // Maximum number of connections that one target accepts, from all instances
  // together.
  int connection_limit = 100;
  // Each request carries a key that one target owns.
  bool keyed = false;

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
  const RequestLimits& limits() const { return m_limits; }
  std::span<const Route> routes() const { return m_routes; }
  const std::map<ServiceName, ServicePolicy, std::less<>>& services() const {
    return m_services;
  }

  // Returns the route of the host with the longest prefix of the path in
  // `target`, an origin-form request target (RFC 9112); null when no route
  // matches.
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
