#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/retry_budget.h"
#include "coordination/target_chooser.h"
#include "state/published.h"
#include "state/routing_table.h"
#include "transport/admission_gate.h"
#include "transport/data_metrics.h"

namespace snipehall {

// What the data thread keeps of one service between requests.
class ServiceState {
 public:
  static Result<std::shared_ptr<ServiceState>> Create(
      const ServiceRoutes& routes,
      const RoutingTable& table,
      const ZoneName& own_zone,
      std::uint64_t seed);

  ServiceState(const ServiceConfig& config, TargetChooser chooser)
      : m_config(config), m_chooser(std::move(chooser)) {}

  // Applies a new table.
  void Update(MonotonicTime now,
              const ServiceRoutes& routes,
              const RoutingTable& table);

  TargetChooser& chooser() { return m_chooser; }
  RetryBudget& budget() { return m_budget; }
  const ServiceConfig& config() const { return m_config; }

  // Admission of requests for the service, or, when it is keyed, for `owner`.
  std::shared_ptr<AdmissionGate> Gate(std::string_view owner);

  void UpdateMetrics(DataMetrics& metrics) const;

 private:
  std::shared_ptr<AdmissionGate> NewGate(int slots) const;

  ServiceConfig m_config;
  std::vector<TenantConfig> m_tenants;
  int m_instances = 1;
  TargetChooser m_chooser;
  RetryBudget m_budget;
  // Without a key: one gate, named "". Keyed: one for each owner in use.
  std::map<TargetId, std::shared_ptr<AdmissionGate>, std::less<>> m_gates;
};

// The states of all services, kept up to date with the published table.
class ServiceStates {
 public:
  ServiceStates(const Published<RoutingTable>& published,
                ZoneName own_zone,
                std::uint64_t seed);

  // The newest table; applies it first when it is new.
  const std::shared_ptr<const RoutingTable>& Refresh(MonotonicTime now);

  // Null when the table of the last Refresh() lacks the service.
  std::shared_ptr<ServiceState> Find(std::string_view service) const;

  auto begin() const { return m_states.begin(); }
  auto end() const { return m_states.end(); }

 private:
  void Apply(MonotonicTime now);

  const Published<RoutingTable>& m_published;
  ZoneName m_own_zone;
  std::uint64_t m_seed;
  std::shared_ptr<const RoutingTable> m_table;
  std::map<ServiceName, std::shared_ptr<ServiceState>, std::less<>> m_states;
};

}  // namespace snipehall
