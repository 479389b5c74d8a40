#pragma once

#include <string>

#include "state/configuration.h"
#include "state/result.h"

namespace snipehall {

// An undoable edit of a draft. A change is applied at most once at a time, and
// undone in the reverse order of application.
class ConfigurationChange {
 public:
  virtual ~ConfigurationChange() = default;

  // Changes the draft, or fails and leaves it as it was. The draft need not be
  // valid before or after; ValidateConfiguration() tells.
  virtual Result<void> Apply(Configuration& draft) = 0;

  // Restores what Apply() changed.
  virtual void Undo(Configuration& draft) = 0;

  // One line for operators.
  virtual std::string Describe() const = 0;
};

}  // namespace snipehall
