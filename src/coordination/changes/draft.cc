#include "coordination/changes/draft.h"

namespace snipehall {

Result<void> Draft::Apply(std::unique_ptr<ConfigurationChange> change) {
  Result<void> applied = change->Apply(m_configuration);
  if (applied) {
    m_changes.push_back(std::move(change));
  }
  return applied;
}

void Draft::UndoLast() {
  if (!m_changes.empty()) {
    m_changes.back()->Undo(m_configuration);
    m_changes.pop_back();
  }
}

}  // namespace snipehall
