#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "coordination/shared_retry_budget.h"
#include "coordination/target_chooser.h"
#include "coordination/target_load_table.h"
#include "coordination/target_reachability.h"
#include "transport/gateway/routing_state.h"

namespace snipehall {

// State of one service that outlives a request.
struct GatewayService {
  GatewayService(ServiceName service_name,
                 TargetChooser target_chooser,
                 SharedRetryBudget budget)
      : name(std::move(service_name)),
        chooser(std::move(target_chooser)),
        retry_budget(std::move(budget)) {}

  ServiceName name;
  TargetChooser chooser;
  SharedRetryBudget retry_budget;
  TargetReachability reachability;
  // Targets at the indexes that `chooser` returns.
  std::vector<RouteTarget> targets;
  // Targets that were cold when `targets` was set, and until when.
  std::vector<std::pair<TargetId, MonotonicTime>> cold_targets;
  // The most urgent priority of the routes to the service, and the shortest
  // latency objective of the routes with it.
  int urgent_priority = 0;
  Milliseconds urgent_objective{0};
};

// All services of the routing configuration; Find() follows changes of the
// routing state.
class GatewayServices {
 public:
  GatewayServices(const RoutingState& state,
                  ZoneName own_zone,
                  SharedRetryBudget::Limits retry_limits,
                  std::uint64_t seed);

  // Whether targets are chosen by their learned capacity, and requests admitted
  // by their priority: the configuration has urgent routes, and the settings
  // allow it.
  bool learns_capacity() const;
  void set_may_learn_capacity(bool may_learn) {
    m_may_learn_capacity = may_learn;
  }
  TargetLoadTable& target_loads() { return m_target_loads; }

  // Changes the retry limits of all services; counts are kept.
  void SetRetryLimits(SharedRetryBudget::Limits limits);

  // Sets the number of instances that share the retry budgets, at least 1.
  void SetInstanceCount(int count);

  // The service with its current targets, or null when the configuration has no
  // such service. The pointer stays valid as long as this object.
  GatewayService* Find(MonotonicTime now, std::string_view name);

  // Calls `function` for each service, with its current targets.
  template <typename Function>
  void ForEach(MonotonicTime now, Function function) {
    Find(now, std::string_view());
    for (const auto& [name, service] : m_services) {
      function(*service);
    }
  }

  // The services with targets of which this instance reaches none; see
  // TargetReachability.
  std::set<ServiceName, std::less<>> CutOffServices() const;

 private:
  // Applies the current routing state.
  void Update(MonotonicTime now);
  // Derives the urgent routes of all services from the configuration.
  void UpdateUrgentRoutes();

  const RoutingState& m_state;
  ZoneName m_own_zone;
  SharedRetryBudget::Limits m_retry_limits;
  std::optional<int> m_instances;
  std::uint64_t m_seed;
  // Version of the routing state of the last Update().
  std::uint64_t m_applied_version = 0;
  std::map<ServiceName, std::unique_ptr<GatewayService>, std::less<>>
      m_services;
  // The configuration of the last UpdateUrgentRoutes().
  std::shared_ptr<const RoutePolicy> m_ranked_policy;
  bool m_may_learn_capacity = true;
  bool m_has_urgent_routes = false;
  TargetLoadTable m_target_loads;
};

}  // namespace snipehall
