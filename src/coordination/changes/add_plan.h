#pragma once

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// Adds a drain or stop plan for a target that has none.
class AddPlan : public ConfigurationChange {
 public:
  explicit AddPlan(PlanConfig plan) : m_plan(std::move(plan)) {}

  Result<void> Apply(Configuration& draft) override;
  void Undo(Configuration& draft) override;
  std::string Describe() const override;

 private:
  PlanConfig m_plan;
};

}  // namespace snipehall
