#include "coordination/changes/remove_plan.h"

#include <algorithm>

#include "coordination/changes/change_error.h"

namespace snipehall {

Result<void> RemovePlan::Apply(Configuration& draft) {
  const auto found = std::find_if(
      draft.plans.begin(), draft.plans.end(),
      [this](const PlanConfig& plan) { return plan.target == m_target; });
  if (found == draft.plans.end()) {
    return ChangeError("the target has no plan", "/target", m_target,
                       "a target with a plan");
  }
  m_removed = *found;
  m_index = found - draft.plans.begin();
  draft.plans.erase(found);
  return boost::outcome_v2::success();
}

void RemovePlan::Undo(Configuration& draft) {
  draft.plans.insert(draft.plans.begin() + m_index, m_removed);
}

std::string RemovePlan::Describe() const {
  return "remove the plan of " + m_target;
}

}  // namespace snipehall
