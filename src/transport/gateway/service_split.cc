#include "transport/gateway/service_split.h"

#include <algorithm>

namespace snipehall {

const ServiceName& ServiceSplit::Select(const Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  RouteState& state = m_routes[route.name];
  if (state.services != route.services) {
    state = NewRouteState(route);
  }
  std::int64_t total = 0;
  for (std::size_t i = 0; i < state.services.size(); ++i) {
    state.credits[i] += state.services[i].weight;
    total += state.services[i].weight;
  }
  const auto best =
      std::max_element(state.credits.begin(), state.credits.end());
  *best -= total;
  return route.services[static_cast<std::size_t>(best - state.credits.begin())]
      .service;
}

// Starts with random credits, so that instances that start at the same time do
// not select the same services in lockstep.
ServiceSplit::RouteState ServiceSplit::NewRouteState(const Route& route) {
  RouteState state;
  state.services = route.services;
  for (const WeightedService& item : route.services) {
    state.credits.push_back(
        static_cast<std::int64_t>(m_random() % (item.weight + 1)));
  }
  return state;
}

}  // namespace snipehall
