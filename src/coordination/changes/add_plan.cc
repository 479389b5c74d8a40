#include "coordination/changes/add_plan.h"

#include "coordination/changes/change_error.h"

namespace snipehall {

Result<void> AddPlan::Apply(Configuration& draft) {
  if (draft.IsDrained(m_plan.target)) {
    return ChangeError("the target has a plan already", "/target",
                       m_plan.target, "a target without a plan");
  }
  draft.plans.push_back(m_plan);
  return boost::outcome_v2::success();
}

void AddPlan::Undo(Configuration& draft) {
  draft.plans.pop_back();
}

std::string AddPlan::Describe() const {
  return (m_plan.kind == PlanKind::kStop ? "stop " : "drain ") + m_plan.target;
}

}  // namespace snipehall
