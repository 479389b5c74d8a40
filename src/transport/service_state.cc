#include "transport/service_state.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <utility>

namespace snipehall {

namespace {

int UsableTargets(const ServiceRoutes& routes) {
  return static_cast<int>(std::count_if(
      routes.targets.begin(), routes.targets.end(),
      [](const RouteTarget& target) { return !target.draining; }));
}

}  // namespace

Result<std::shared_ptr<ServiceState>> ServiceState::Create(
    const ServiceRoutes& routes,
    const RoutingTable& table,
    const ZoneName& own_zone,
    std::uint64_t seed) {
  TargetChooserOptions options;
  options.own_zone = own_zone;
  options.slots_per_endpoint = routes.config.slots_per_endpoint;
  options.seed = seed;
  BOOST_OUTCOME_TRY(TargetChooser chooser,
                    TargetChooser::Create(std::move(options)));
  BOOST_OUTCOME_TRY(AdmissionController::Create(routes.config, table.tenants));
  return std::make_shared<ServiceState>(routes.config, std::move(chooser));
}

void ServiceState::Update(MonotonicTime now,
                          const ServiceRoutes& routes,
                          const RoutingTable& table) {
  m_instances = std::max(1, table.instances);
  m_tenants = table.tenants;
  m_chooser.SetTargets(now, routes.targets);
  if (m_config.keyed) {
    std::erase_if(m_queues, [&routes](const auto& item) {
      return item.second->IsIdle() &&
             std::none_of(routes.targets.begin(), routes.targets.end(),
                          [&item](const RouteTarget& target) {
                            return target.id == item.first;
                          });
    });
  }
  const int slots = m_config.slots_per_endpoint *
                    (m_config.keyed ? 1 : UsableTargets(routes));
  for (const auto& [owner, queue] : m_queues) {
    queue->Resize(slots, m_instances);
  }
  if (!m_config.keyed && m_queues.empty()) {
    m_queues.emplace(std::string(), CreateQueue(slots));
  }
}

std::shared_ptr<AdmissionQueue> ServiceState::CreateQueue(int slots) const {
  return AdmissionQueue::Create(m_config, m_tenants, std::max(1, slots),
                                m_instances)
      .value();
}

std::shared_ptr<AdmissionQueue> ServiceState::QueueFor(std::string_view owner) {
  if (!m_config.keyed) {
    return m_queues.begin()->second;
  }
  const auto found = m_queues.find(owner);
  if (found != m_queues.end()) {
    return found->second;
  }
  return m_queues
      .emplace(std::string(owner), CreateQueue(m_config.slots_per_endpoint))
      .first->second;
}

void ServiceState::UpdateMetrics(DataMetrics& metrics) const {
  for (std::size_t i = 0; i < m_config.classes.size(); ++i) {
    int waiting = 0;
    for (const auto& [owner, queue] : m_queues) {
      waiting += queue->waiting(i);
    }
    metrics.QueueLength(m_config.name, m_config.classes[i].name).Set(waiting);
  }
}

ServiceRegistry::ServiceRegistry(const AtomicSharedPtr<RoutingTable>& published,
                                 ZoneName own_zone,
                                 std::uint64_t seed)
    : m_published(published),
      m_own_zone(std::move(own_zone)),
      m_seed(seed),
      m_table(std::make_shared<RoutingTable>()) {}

const std::shared_ptr<const RoutingTable>& ServiceRegistry::Refresh(
    MonotonicTime now) {
  std::shared_ptr<const RoutingTable> table = m_published.Load();
  if (table && table != m_table) {
    m_table = std::move(table);
    Apply(now);
  }
  return m_table;
}

std::shared_ptr<ServiceState> ServiceRegistry::Find(
    std::string_view service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : found->second;
}

void ServiceRegistry::Apply(MonotonicTime now) {
  std::erase_if(m_services, [this](const auto& item) {
    return m_table->FindService(item.first) == nullptr;
  });
  for (const auto& [name, routes] : m_table->services) {
    auto& state = m_services[name];
    // A changed service gets new queues. Requests waiting in the old ones keep
    // those alive until they finish.
    if (!state || state->config() != routes.config) {
      auto created =
          ServiceState::Create(routes, *m_table, m_own_zone, m_seed++);
      if (!created) {
        LOG(ERROR) << "service " << name
                   << " has an invalid configuration and is not served: "
                   << created.error().message;
        m_services.erase(name);
        continue;
      }
      state = std::move(created).value();
    }
    state->Update(now, routes, *m_table);
  }
}

}  // namespace snipehall
