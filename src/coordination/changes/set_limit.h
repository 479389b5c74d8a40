#pragma once

#include <optional>

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Sets one limit of a service, of one of its classes or of a tenant.
//
// Limits of a service: slots_per_endpoint, connections_per_endpoint, and
// move_after_s, where 0 means that the ranges of a lost zone are not moved.
// Limits of a class: default_deadline_ms, reserved_slots_percent, queue_limit.
// Limit of a tenant: weight; a tenant that is not in the draft is added.
class SetLimit : public ConfigurationChange {
 public:
  // What the limit belongs to. Either `service` or `tenant` is set; an empty
  // `class_name` means the service itself.
  struct Scope {
    ServiceName service;
    std::string class_name;
    std::string tenant;
  };

  SetLimit(Scope scope, std::string limit, int value)
      : m_scope(std::move(scope)), m_limit(std::move(limit)), m_value(value) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  Result<void> ApplyToTenant(Configuration& draft);
  // Sets the limit and returns the previous value; empty if the limit is
  // unknown.
  std::optional<int> Exchange(ServiceConfig& service, int value) const;

  Scope m_scope;
  std::string m_limit;
  int m_value;
  // The previous value; empty if Apply() added the tenant.
  std::optional<int> m_previous;
};

}  // namespace snipehall
