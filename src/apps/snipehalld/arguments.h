#pragma once

#include <filesystem>
#include <span>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// What the command line asks the daemon to do.
struct Arguments {
  enum class Mode { kRun, kCheckSettings, kHelp, kVersion };

  Mode mode = Mode::kRun;
  std::filesystem::path settings_file;
};

// Reads the command line, the program's name included. Fails with
// kInvalidArgument for a usage error.
Result<Arguments> ParseArguments(std::span<char*> command_line);

// Text of --help.
std::string_view UsageText();

}  // namespace snipehall
