#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/retry_budget.h"
#include "coordination/target_chooser.h"
#include "state/atomic_shared_ptr.h"
#include "state/routing_table.h"
#include "transport/admission_queue.h"
#include "transport/data_metrics.h"

namespace snipehall {

// State of one service on the data thread that persists between requests.
class ServiceState {
 public:
  // Fails if the service's configuration is invalid.
  static Result<std::shared_ptr<ServiceState>> Create(
      const ServiceRoutes& routes,
      const RoutingTable& table,
      const ZoneName& own_zone,
      std::uint64_t seed);

  ServiceState(const ServiceConfig& config, TargetChooser chooser)
      : m_config(config), m_chooser(std::move(chooser)) {}

  // Applies a new routing table.
  void Update(MonotonicTime now,
              const ServiceRoutes& routes,
              const RoutingTable& table);

  TargetChooser& chooser() { return m_chooser; }
  RetryBudget& budget() { return m_budget; }
  const ServiceConfig& config() const { return m_config; }

  // Returns the admission queue of the service or, for a keyed service, of
  // `owner`, creating it if needed.
  std::shared_ptr<AdmissionQueue> QueueFor(std::string_view owner);

  // Sets the queue length gauges.
  void UpdateMetrics(DataMetrics& metrics) const;

 private:
  std::shared_ptr<AdmissionQueue> CreateQueue(int slots) const;

  ServiceConfig m_config;
  std::vector<TenantConfig> m_tenants;
  int m_instances = 1;
  TargetChooser m_chooser;
  RetryBudget m_budget;
  // A service without keys has one queue, named "". A keyed service has one per
  // owner in use.
  std::map<TargetId, std::shared_ptr<AdmissionQueue>, std::less<>> m_queues;
};

// The states of all services, updated from the published routing table.
class ServiceRegistry {
 public:
  ServiceRegistry(const AtomicSharedPtr<RoutingTable>& published,
                  ZoneName own_zone,
                  std::uint64_t seed);

  // Returns the newest routing table. Applies it to the states if it has
  // changed.
  const std::shared_ptr<const RoutingTable>& Refresh(MonotonicTime now);

  // Returns null if the service is not in the table of the last Refresh().
  std::shared_ptr<ServiceState> Find(std::string_view service) const;

  auto begin() const { return m_services.begin(); }
  auto end() const { return m_services.end(); }

 private:
  void Apply(MonotonicTime now);

  const AtomicSharedPtr<RoutingTable>& m_published;
  ZoneName m_own_zone;
  std::uint64_t m_seed;
  std::shared_ptr<const RoutingTable> m_table;
  std::map<ServiceName, std::shared_ptr<ServiceState>, std::less<>> m_services;
};

}  // namespace snipehall
