#include "transport/gateway/gateway_services.h"

#include <algorithm>
#include <limits>

#include "coordination/cold_target_limit.h"

namespace snipehall {

namespace {

// A target counts as stalled when none of its outstanding requests makes
// progress for this long. Requests may run for several seconds.
constexpr Milliseconds kTargetStallTimeout{4000};

}  // namespace

GatewayServices::GatewayServices(const RoutingState& state,
                                 ZoneName own_zone,
                                 SharedRetryBudget::Limits retry_limits,
                                 std::uint64_t seed)
    : m_state(state),
      m_own_zone(std::move(own_zone)),
      m_retry_limits(retry_limits),
      m_seed(seed) {}

GatewayService* GatewayServices::Find(MonotonicTime now,
                                      std::string_view name) {
  if (m_applied_version != m_state.version()) {
    Update(now);
  }
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second.get();
}

std::set<ServiceName, std::less<>> GatewayServices::CutOffServices() const {
  std::set<ServiceName, std::less<>> result;
  for (const auto& [name, service] : m_services) {
    if (service->reachability.cut_off() && !service->targets.empty()) {
      result.insert(name);
    }
  }
  return result;
}

void GatewayServices::SetRetryLimits(SharedRetryBudget::Limits limits) {
  m_retry_limits = limits;
  for (const auto& [name, service] : m_services) {
    service->retry_budget.set_limits(limits);
  }
}

void GatewayServices::SetInstanceCount(int count) {
  m_instances = count;
  for (const auto& [name, service] : m_services) {
    service->retry_budget.set_instance_count(count);
  }
}

bool GatewayServices::learns_capacity() const {
  return m_may_learn_capacity && m_has_urgent_routes;
}

void GatewayServices::UpdateUrgentRoutes() {
  if (m_ranked_policy == m_state.policy()) {
    return;
  }
  m_ranked_policy = m_state.policy();
  m_has_urgent_routes = m_ranked_policy->has_urgent_routes();
  for (const auto& [name, service] : m_services) {
    service->urgent_priority = std::numeric_limits<int>::max();
    service->urgent_objective = Milliseconds(0);
  }
  for (const Route& route : m_ranked_policy->routes()) {
    for (const WeightedService& part : route.services) {
      const auto found = m_services.find(part.service);
      if (found == m_services.end()) {
        continue;
      }
      GatewayService& service = *found->second;
      if (route.priority < service.urgent_priority) {
        service.urgent_priority = route.priority;
        service.urgent_objective = route.latency_objective;
      } else if (route.priority == service.urgent_priority) {
        service.urgent_objective =
            std::min(service.urgent_objective, route.latency_objective);
      }
    }
  }
}

void GatewayServices::Update(MonotonicTime now) {
  m_applied_version = m_state.version();
  if (!m_state.policy()) {
    return;
  }
  // Services that were removed from the configuration are kept: requests in
  // progress still refer to them, and there are few.
  for (const auto& [name, policy] : m_state.policy()->services()) {
    std::vector<RouteTarget> targets;
    std::vector<std::pair<TargetId, MonotonicTime>> cold_targets;
    int slots = 1;
    for (const auto& [id, target] : m_state.targets()) {
      if (target.service == name) {
        if (IsCold(now, target, policy.cold_rate)) {
          cold_targets.emplace_back(id, target.warmup_until);
        }
        targets.push_back({id, target.zone, target.address, target.draining});
        slots = std::max(slots, target.slots);
      }
    }
    std::unique_ptr<GatewayService>& service = m_services[name];
    if (!service) {
      TargetChooserOptions options;
      options.own_zone = m_own_zone;
      options.slots_per_endpoint = slots;
      options.seed = m_seed++;
      options.stall_timeout = kTargetStallTimeout;
      service = std::make_unique<GatewayService>(
          name, TargetChooser::Create(std::move(options)).value(),
          SharedRetryBudget(m_retry_limits));
      if (m_instances) {
        service->retry_budget.set_instance_count(*m_instances);
      }
    }
    service->chooser.SetTargets(now, targets);
    service->targets = std::move(targets);
    service->cold_targets = std::move(cold_targets);
  }
  UpdateUrgentRoutes();
  m_target_loads.Retain(
      [this](const TargetId& id) { return m_state.targets().contains(id); });
  for (const auto& [name, service] : m_services) {
    service->chooser.set_load_table(learns_capacity() ? &m_target_loads
                                                      : nullptr);
  }
}

}  // namespace snipehall
