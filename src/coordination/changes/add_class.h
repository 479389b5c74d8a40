#pragma once

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Adds a request class with a new name to a service.
class AddClass : public ConfigurationChange {
 public:
  AddClass(ServiceName service, ClassConfig entry)
      : m_service(std::move(service)), m_class(std::move(entry)) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  ServiceName m_service;
  ClassConfig m_class;
};

}  // namespace snipehall
