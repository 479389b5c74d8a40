#pragma once

#include "apps/snipehall/options.h"

namespace snipehall {

// Exit codes of the tool; see ToolUsage().
enum class ExitCode {
  kDone = 0,
  kUnavailable = 1,
  kWrongUsage = 2,
  kInvalid = 3,
  kConflict = 4,
  kNotFound = 5,
  kUnknownOutcome = 6,
  kAccessRefused = 7,
};

// Runs the command of the options: prints the answer to standard output and
// errors to standard error.
ExitCode RunCommand(const ToolOptions& options);

}  // namespace snipehall
