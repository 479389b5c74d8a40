#pragma once

#include <memory>
#include <vector>

#include "coordination/changes/configuration_change.h"

namespace snipehall {

// A configuration that is being edited, with its changes. It may be invalid.
class Draft {
 public:
  explicit Draft(Configuration base) : m_configuration(std::move(base)) {}

  // Applies the change and records it. On an error the draft is unchanged.
  Result<void> Apply(std::unique_ptr<ConfigurationChange> change);

  // Undoes the last change. Does nothing if there is none.
  void UndoLast();

  const Configuration& configuration() const { return m_configuration; }
  // In the order of application.
  const std::vector<std::unique_ptr<ConfigurationChange>>& changes() const {
    return m_changes;
  }

 private:
  Configuration m_configuration;
  std::vector<std::unique_ptr<ConfigurationChange>> m_changes;
};

}  // namespace snipehall
