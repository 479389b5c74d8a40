#pragma once

#include <optional>

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Sets one limit of a service, of one of its classes or of a tenant.
//
// Limits of a service: slots_per_endpoint, connections_per_endpoint, and
// move_after_s, where 0 means that keys wait for their zone. Limits of a class:
// default_deadline_ms, reserved_slots_percent, queue_limit. Limit of a tenant:
// weight; a tenant that is not in the draft is added.
class SetLimit : public ConfigurationChange {
 public:
  // The entry whose limit is set. `service` and `tenant` exclude each other;
  // an empty `class_name` means the service itself.
  struct Place {
    ServiceName service;
    std::string class_name;
    std::string tenant;
  };

  SetLimit(Place place, std::string limit, int value)
      : m_place(std::move(place)), m_limit(std::move(limit)), m_value(value) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  Result<void> ApplyToTenant(Configuration& draft);
  // Sets the limit and returns the former value, or none for an unknown limit.
  std::optional<int> Exchange(ServiceConfig& service, int value) const;

  Place m_place;
  std::string m_limit;
  int m_value;
  // The former value; without one, Apply() added the tenant.
  std::optional<int> m_before;
};

}  // namespace snipehall
