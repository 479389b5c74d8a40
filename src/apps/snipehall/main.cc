#include <cstdlib>
#include <exception>
#include <iostream>

#include "apps/snipehall/commands.h"
#include "apps/snipehall/options.h"

namespace snipehall {
namespace {

ExitCode Main(std::span<char*> command_line) {
  const Result<ToolOptions> options = ParseToolOptions(command_line);
  if (!options) {
    std::cerr << "snipehall: " << options.error().message << '\n'
              << ToolUsage();
    return ExitCode::kUsageError;
  }
  if (options.value().help) {
    std::cout << ToolUsage();
    return ExitCode::kSuccess;
  }
  if (options.value().version) {
    std::cout << "snipehall " << SNIPEHALL_VERSION << '\n';
    return ExitCode::kSuccess;
  }
  return RunCommand(options.value());
}

}  // namespace
}  // namespace snipehall

int main(int argc, char** argv) {
  try {
    return static_cast<int>(
        snipehall::Main({argv, static_cast<std::size_t>(argc)}));
  } catch (const std::exception& error) {
    std::cerr << "snipehall: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
