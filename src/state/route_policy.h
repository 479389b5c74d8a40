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

// A service that takes a share of a route's requests.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// What the operator decided for the requests of one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // A request may run more than once.
  bool repeatable = false;
  // Rank under overload; 0 goes first.
  int priority = 0;
  // Time within which an answer earns its full value.
  Milliseconds objective{1000};
  // Longest time that a caller is kept waiting.
  Milliseconds timeout{30000};
  // Targets to which one request may be sent.
  int max_attempts = 1;
  std::vector<WeightedService> services;

  bool operator==(const Route&) const = default;
};

// What the operator decided for a service.
struct ServicePolicy {
  ServiceName name;
  std::string health_path;
  // Connections that one target accepts from all callers together.
  int connection_limit = 100;
  // Each request belongs to a key that one target owns.
  bool keyed = false;

  bool operator==(const ServicePolicy&) const = default;
};

// Bounds of what callers may send.
struct RequestLimits {
  // Head of a request, bytes.
  std::size_t head_bytes = std::size_t{16} * 1024;
  // Body of a request, bytes.
  std::uint64_t body_bytes = std::uint64_t{64} << 20;
  // From the first byte of a request to the end of its head.
  Milliseconds head_time{3000};
  // Between two requests on a connection.
  Milliseconds idle_time{15000};

  bool operator==(const RequestLimits&) const = default;
};

// A version of the routing configuration. Immutable once created.
class RoutePolicy {
 public:
  // Fails with kInvalidArgument when a route names an unknown service, has no
  // service with a weight, or has the host and prefix of another.
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

  // The route with the longest prefix that begins the path of `target`, an
  // origin-form request target; null when there is none.
  const Route* FindRoute(std::string_view host, std::string_view target) const;
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
