#include "coordination/changes/set_limit.h"

#include <utility>

#include "coordination/changes/change_error.h"
#include "coordination/changes/draft_lookup.h"

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
  if (!m_scope.class_name.empty()) {
    for (ClassConfig& entry : service.classes) {
      if (entry.name == m_scope.class_name) {
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
  if (!m_scope.tenant.empty()) {
    return ApplyToTenant(draft);
  }
  ServiceConfig* service = FindDraftService(draft, m_scope.service);
  if (service == nullptr) {
    return ChangeError("unknown service", "/service", m_scope.service,
                       "a service of the draft");
  }
  if (!m_scope.class_name.empty() &&
      service->FindClass(m_scope.class_name) == nullptr) {
    return ChangeError("unknown class", "/class", m_scope.class_name,
                       "a class of the service");
  }
  m_previous = Exchange(*service, m_value);
  if (!m_previous) {
    return ChangeError(
        "unknown limit", "/limit", m_limit,
        m_scope.class_name.empty() ? kServiceLimits : kClassLimits);
  }
  return boost::outcome_v2::success();
}

Result<void> SetLimit::ApplyToTenant(Configuration& draft) {
  if (m_limit != "weight") {
    return ChangeError("unknown limit", "/limit", m_limit, "weight");
  }
  for (TenantConfig& tenant : draft.tenants) {
    if (tenant.name == m_scope.tenant) {
      m_previous = std::exchange(tenant.weight, m_value);
      return boost::outcome_v2::success();
    }
  }
  m_previous.reset();
  draft.tenants.push_back({m_scope.tenant, m_value});
  return boost::outcome_v2::success();
}

void SetLimit::Undo(Configuration& draft) {
  if (m_scope.tenant.empty()) {
    Exchange(*FindDraftService(draft, m_scope.service), *m_previous);
    return;
  }
  if (!m_previous) {
    draft.tenants.pop_back();
    return;
  }
  for (TenantConfig& tenant : draft.tenants) {
    if (tenant.name == m_scope.tenant) {
      tenant.weight = *m_previous;
    }
  }
}

std::string SetLimit::Describe() const {
  std::string scope = m_scope.tenant.empty() ? "service " + m_scope.service
                                             : "tenant " + m_scope.tenant;
  if (!m_scope.class_name.empty()) {
    scope.append(", class ").append(m_scope.class_name);
  }
  return "set " + m_limit + " of " + scope + " to " + std::to_string(m_value);
}

}  // namespace snipehall
