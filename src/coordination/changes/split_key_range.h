#pragma once

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Splits the key range that contains a hash: the part from the hash on is
// assigned to a zone, the part before it keeps its zone.
class SplitKeyRange : public ConfigurationChange {
 public:
  SplitKeyRange(ServiceName service, std::uint64_t hash, ZoneName zone)
      : m_service(std::move(service)), m_hash(hash), m_zone(std::move(zone)) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  ServiceName m_service;
  std::uint64_t m_hash;
  ZoneName m_zone;
  // Index of the range that was split.
  std::size_t m_index = 0;
};

}  // namespace snipehall
