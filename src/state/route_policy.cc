#include "state/route_policy.h"

#include <algorithm>
#include <utility>

namespace snipehall {

Result<std::shared_ptr<const RoutePolicy>> RoutePolicy::Create(
    std::uint64_t version,
    RequestLimits limits,
    std::vector<Route> routes,
    std::vector<ServicePolicy> services) {
  auto policy = std::shared_ptr<RoutePolicy>(new RoutePolicy());
  policy->m_version = version;
  policy->m_limits = limits;
  policy->m_routes = std::move(routes);
  for (ServicePolicy& service : services) {
    ServiceName name = service.name;
    policy->m_services.insert_or_assign(std::move(name), std::move(service));
  }
  policy->m_index.reserve(policy->m_routes.size());
  for (std::size_t i = 0; i < policy->m_routes.size(); ++i) {
    const Route& route = policy->m_routes[i];
    if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
        route.path_prefix.back() != '/') {
      return Fail(ErrorCode::kInvalidArgument,
                  "route " + route.name + ": the prefix '" + route.path_prefix +
                      "' does not begin and end with a slash");
    }
    std::uint64_t total = 0;
    for (const WeightedService& item : route.services) {
      if (policy->FindService(item.service) == nullptr) {
        return Fail(ErrorCode::kInvalidArgument,
                    "route " + route.name + " names the unknown service " +
                        item.service);
      }
      total += item.weight;
    }
    if (total == 0) {
      return Fail(ErrorCode::kInvalidArgument,
                  "route " + route.name + " has no service with a weight");
    }
    if (!policy->m_index.emplace(route.host + route.path_prefix, i).second) {
      return Fail(ErrorCode::kInvalidArgument,
                  "two routes for " + route.host + route.path_prefix);
    }
  }
  return std::shared_ptr<const RoutePolicy>(std::move(policy));
}

bool RoutePolicy::has_urgent_routes() const {
  return std::any_of(m_routes.begin(), m_routes.end(),
                     [](const Route& route) { return route.priority == 0; });
}

const Route* RoutePolicy::FindRoute(std::string_view host,
                                    std::string_view target) const {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  std::string key(host);
  key.append(path);
  // From the longest prefix that ends with a slash to the shortest.
  std::size_t end = key.rfind('/');
  while (end != std::string::npos && end >= host.size()) {
    key.resize(end + 1);
    const auto found = m_index.find(key);
    if (found != m_index.end()) {
      return &m_routes[found->second];
    }
    if (end == 0) {
      break;
    }
    end = key.rfind('/', end - 1);
  }
  return nullptr;
}

const ServicePolicy* RoutePolicy::FindService(std::string_view name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : &found->second;
}

}  // namespace snipehall
