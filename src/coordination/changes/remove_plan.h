#pragma once

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Removes a target's plan, so that it receives requests again.
class RemovePlan : public ConfigurationChange {
 public:
  explicit RemovePlan(TargetId target) : m_target(std::move(target)) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  TargetId m_target;
  PlanConfig m_removed;
  // Index of the removed plan.
  std::ptrdiff_t m_index = 0;
};

}  // namespace snipehall
