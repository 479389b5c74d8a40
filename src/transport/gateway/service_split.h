#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "state/route_policy.h"

namespace snipehall {

// Distributes the requests of each route over its services by weight, with
// smooth weighted round robin: unlike random choice, it is close to the weights
// over any sequence of requests and not only in the long run.
class ServiceSplit {
 public:
  explicit ServiceSplit(std::uint64_t seed) : m_random(seed) {}

  // The service for the next request of `route`, which must have services.
  const ServiceName& Select(const Route& route);

 private:
  struct RouteState {
    std::vector<WeightedService> services;
    std::vector<std::int64_t> credits;
  };

  RouteState NewRouteState(const Route& route);

  std::mt19937_64 m_random;
  std::map<std::string, RouteState, std::less<>> m_routes;
};

}  // namespace snipehall
