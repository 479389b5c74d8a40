#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "coordination/shared_retry_budget.h"
#include "coordination/target_chooser.h"
#include "transport/gateway/routing_state.h"

namespace snipehall {

// What a gateway keeps of one service between requests.
struct GatewayService {
  GatewayService(ServiceName service_name,
                 TargetChooser target_chooser,
                 SharedRetryBudget budget)
      : name(std::move(service_name)),
        chooser(std::move(target_chooser)),
        retries(std::move(budget)) {}

  ServiceName name;
  TargetChooser chooser;
  SharedRetryBudget retries;
  // The targets by the index that the chooser uses.
  std::vector<RouteTarget> targets;
};

// The services of the routing state, kept up to date with it.
class GatewayServices {
 public:
  GatewayServices(const RoutingState& state,
                  ZoneName own_zone,
                  SharedRetryBudget::Limits retries,
                  std::uint64_t seed);

  void SetRetryLimits(SharedRetryBudget::Limits limits);

  // The service with its newest targets; null when the configuration has no
  // such service.
  GatewayService* Find(MonotonicTime now, std::string_view name);

 private:
  void Update(MonotonicTime now);

  const RoutingState& m_state;
  ZoneName m_own_zone;
  SharedRetryBudget::Limits m_retries;
  std::uint64_t m_seed;
  std::uint64_t m_version = 0;
  std::map<ServiceName, std::unique_ptr<GatewayService>, std::less<>>
      m_services;
};

}  // namespace snipehall
