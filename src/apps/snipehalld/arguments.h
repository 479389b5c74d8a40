#pragma once

#include <filesystem>
#include <span>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Parsed command line of the daemon.
struct Arguments {
  enum class Mode { kRun, kCheckSettings, kHelp, kVersion };

  Mode mode = Mode::kRun;
  std::filesystem::path settings_file;
};

// Parses the command line, including the program name. Fails with
// kInvalidArgument for a usage error.
Result<Arguments> ParseArguments(std::span<char*> command_line);

// Returns the text of --help.
std::string_view UsageText();

}  // namespace snipehall
