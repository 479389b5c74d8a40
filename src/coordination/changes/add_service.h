#pragma once

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Adds a service with a new name. A keyed service without key ranges gets equal
// ranges, one for each zone of the draft.
class AddService : public ConfigurationChange {
 public:
  explicit AddService(ServiceConfig service) : m_service(std::move(service)) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  ServiceConfig m_service;
};

}  // namespace snipehall
