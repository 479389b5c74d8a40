#pragma once

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Assigns a range of a keyed service's hash space to a zone. Overlapping ranges
// are cut, so that ranges that cover the space without gaps still do.
class AddKeyRange : public ConfigurationChange {
 public:
  AddKeyRange(ServiceName service, KeyRangeConfig range)
      : m_service(std::move(service)), m_range(std::move(range)) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  ServiceName m_service;
  KeyRangeConfig m_range;
  // The service's ranges before the change.
  std::vector<KeyRangeConfig> m_previous;
};

}  // namespace snipehall
