#include "coordination/changes/set_limit.h"

#include <utility>

#include "coordination/changes/draft_lookup.h"
#include "coordination/changes/refuse.h"

namespace snipehall {

namespace {

constexpr const char* kServiceLimits =
    "slots_per_endpoint, connections_per_endpoint or move_after_s";
constexpr const char* kClassLimits =
    "default_deadline_ms, reserved_slots_percent or queue_limit";

std::optional<int> ExchangeMoveAfter(ServiceConfig& service, int seconds) {
  const auto before = std::exchange(
      service.move_after, seconds == 0 ? std::nullopt
                                       : std::optional<Milliseconds>(
                                             std::chrono::seconds(seconds)));
  return before ? static_cast<int>(before->count() / 1000) : 0;
}

std::optional<int> ExchangeOfClass(ClassConfig& entry,
                                   std::string_view limit,
                                   int value) {
  if (limit == "default_deadline_ms") {
    return static_cast<int>(
        std::exchange(entry.default_deadline, Milliseconds(value)).count());
  }
  if (limit == "reserved_slots_percent") {
    return std::exchange(entry.reserved_slots_percent, value);
  }
  if (limit == "queue_limit") {
    return std::exchange(entry.queue_limit, value);
  }
  return std::nullopt;
}

}  // namespace

std::optional<int> SetLimit::Exchange(ServiceConfig& service, int value) const {
  if (!m_place.class_name.empty()) {
    for (ClassConfig& entry : service.classes) {
      if (entry.name == m_place.class_name) {
        return ExchangeOfClass(entry, m_limit, value);
      }
    }
    return std::nullopt;
  }
  if (m_limit == "slots_per_endpoint") {
    return std::exchange(service.slots_per_endpoint, value);
  }
  if (m_limit == "connections_per_endpoint") {
    return std::exchange(service.connections_per_endpoint, value);
  }
  return m_limit == "move_after_s" ? ExchangeMoveAfter(service, value)
                                   : std::nullopt;
}

Result<void> SetLimit::Apply(Configuration& draft) {
  if (!m_place.tenant.empty()) {
    return ApplyToTenant(draft);
  }
  ServiceConfig* service = FindDraftService(draft, m_place.service);
  if (service == nullptr) {
    return RefuseChange("unknown service", "/service", m_place.service,
                        "a service of the draft");
  }
  if (!m_place.class_name.empty() &&
      service->FindClass(m_place.class_name) == nullptr) {
    return RefuseChange("unknown class", "/class", m_place.class_name,
                        "a class of the service");
  }
  m_before = Exchange(*service, m_value);
  if (!m_before) {
    return RefuseChange(
        "unknown limit", "/limit", m_limit,
        m_place.class_name.empty() ? kServiceLimits : kClassLimits);
  }
  return boost::outcome_v2::success();
}

Result<void> SetLimit::ApplyToTenant(Configuration& draft) {
  if (m_limit != "weight") {
    return RefuseChange("unknown limit", "/limit", m_limit, "weight");
  }
  for (TenantConfig& tenant : draft.tenants) {
    if (tenant.name == m_place.tenant) {
      m_before = std::exchange(tenant.weight, m_value);
      return boost::outcome_v2::success();
    }
  }
  m_before.reset();
  draft.tenants.push_back({m_place.tenant, m_value});
  return boost::outcome_v2::success();
}

void SetLimit::Undo(Configuration& draft) {
  if (m_place.tenant.empty()) {
    Exchange(*FindDraftService(draft, m_place.service), *m_before);
    return;
  }
  if (!m_before) {
    draft.tenants.pop_back();
    return;
  }
  for (TenantConfig& tenant : draft.tenants) {
    if (tenant.name == m_place.tenant) {
      tenant.weight = *m_before;
    }
  }
}

std::string SetLimit::Describe() const {
  std::string place = m_place.tenant.empty() ? "service " + m_place.service
                                             : "tenant " + m_place.tenant;
  if (!m_place.class_name.empty()) {
    place.append(", class ").append(m_place.class_name);
  }
  return "set " + m_limit + " of " + place + " to " + std::to_string(m_value);
}

}  // namespace snipehall
