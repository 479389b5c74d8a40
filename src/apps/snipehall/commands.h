#pragma once

#include "apps/snipehall/options.h"

namespace snipehall {

// Exit codes of the tool; see ToolUsage().
enum class ExitCode {
  kSuccess = 0,
  kUnavailable = 1,
  kUsageError = 2,
  kInvalidInput = 3,
  kConflict = 4,
  kNotFound = 5,
  kUnknownOutcome = 6,
  kAccessDenied = 7,
};

// Runs the command that the options name. Prints the response to standard
// output and errors to standard error, or both as JSON to standard output with
// `options.json`.
ExitCode RunCommand(const ToolOptions& options);

}  // namespace snipehall
