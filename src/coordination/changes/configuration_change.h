#pragma once

#include <string>

#include "state/configuration.h"
#include "state/result.h"

namespace snipehall {

// An undoable edit of a draft configuration. A change is applied at most once
// at a time; changes are undone in reverse order.
class ConfigurationChange {
 public:
  virtual ~ConfigurationChange() = default;

  // Applies the change to the draft. On an error the draft is unchanged. The
  // draft need not be valid before or after; see ValidateConfiguration().
  virtual Result<void> Apply(Configuration& draft) = 0;

  // Reverts Apply().
  virtual void Undo(Configuration& draft) = 0;

  // Returns a one-line description for operators.
  virtual std::string Describe() const = 0;
};

}  // namespace snipehall
