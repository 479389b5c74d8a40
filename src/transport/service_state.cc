#include "transport/service_state.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <utility>

namespace snipehall {

namespace {

int UsableTargets(const ServiceRoutes& routes) {
  return static_cast<int>(
      std::count_if(routes.targets.begin(), routes.targets.end(),
                    [](const RouteTarget& target) { return !target.leaving; }));
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
  BOOST_OUTCOME_TRY(Admission::Create(routes.config, table.tenants));
  return std::make_shared<ServiceState>(routes.config, std::move(chooser));
}

void ServiceState::Update(MonotonicTime now,
                          const ServiceRoutes& routes,
                          const RoutingTable& table) {
  m_instances = std::max(1, table.instances);
  m_tenants = table.tenants;
  m_chooser.SetTargets(now, routes.targets);
  if (m_config.keyed) {
    std::erase_if(m_gates, [&routes](const auto& item) {
      return item.second->IsUnused() &&
             std::none_of(routes.targets.begin(), routes.targets.end(),
                          [&item](const RouteTarget& target) {
                            return target.id == item.first;
                          });
    });
  }
  const int slots = m_config.slots_per_endpoint *
                    (m_config.keyed ? 1 : UsableTargets(routes));
  for (const auto& [owner, gate] : m_gates) {
    gate->Resize(slots, m_instances);
  }
  if (!m_config.keyed && m_gates.empty()) {
    m_gates.emplace(std::string(), NewGate(slots));
  }
}

std::shared_ptr<AdmissionGate> ServiceState::NewGate(int slots) const {
  return AdmissionGate::Create(m_config, m_tenants, std::max(1, slots),
                               m_instances)
      .value();
}

std::shared_ptr<AdmissionGate> ServiceState::Gate(std::string_view owner) {
  if (!m_config.keyed) {
    return m_gates.begin()->second;
  }
  const auto found = m_gates.find(owner);
  if (found != m_gates.end()) {
    return found->second;
  }
  return m_gates
      .emplace(std::string(owner), NewGate(m_config.slots_per_endpoint))
      .first->second;
}

void ServiceState::UpdateMetrics(DataMetrics& metrics) const {
  for (std::size_t i = 0; i < m_config.classes.size(); ++i) {
    int waiting = 0;
    for (const auto& [owner, gate] : m_gates) {
      waiting += gate->waiting(i);
    }
    metrics.QueueLength(m_config.name, m_config.classes[i].name).Set(waiting);
  }
}

ServiceStates::ServiceStates(const Published<RoutingTable>& published,
                             ZoneName own_zone,
                             std::uint64_t seed)
    : m_published(published),
      m_own_zone(std::move(own_zone)),
      m_seed(seed),
      m_table(std::make_shared<RoutingTable>()) {}

const std::shared_ptr<const RoutingTable>& ServiceStates::Refresh(
    MonotonicTime now) {
  std::shared_ptr<const RoutingTable> table = m_published.Load();
  if (table && table != m_table) {
    m_table = std::move(table);
    Apply(now);
  }
  return m_table;
}

std::shared_ptr<ServiceState> ServiceStates::Find(
    std::string_view service) const {
  const auto found = m_states.find(service);
  return found == m_states.end() ? nullptr : found->second;
}

void ServiceStates::Apply(MonotonicTime now) {
  std::erase_if(m_states, [this](const auto& item) {
    return m_table->FindService(item.first) == nullptr;
  });
  for (const auto& [name, routes] : m_table->services) {
    auto& state = m_states[name];
    // A changed service starts with new queues; requests that wait in the old
    // ones keep them until they are done.
    if (!state || state->config() != routes.config) {
      auto created =
          ServiceState::Create(routes, *m_table, m_own_zone, m_seed++);
      if (!created) {
        LOG(ERROR) << "service " << name
                   << " is not served: " << created.error().message;
        m_states.erase(name);
        continue;
      }
      state = std::move(created).value();
    }
    state->Update(now, routes, *m_table);
  }
}

}  // namespace snipehall
