#pragma once

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Adds an availability zone with a new name.
class AddZone : public ConfigurationChange {
 public:
  explicit AddZone(ZoneConfig zone) : m_zone(std::move(zone)) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  ZoneConfig m_zone;
};

}  // namespace snipehall
