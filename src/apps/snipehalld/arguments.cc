#include "apps/snipehalld/arguments.h"

#include <getopt.h>

#include <string>

namespace snipehall {

namespace {

constexpr option kLongOptions[] = {
    {"settings", required_argument, nullptr, 's'},
    {"check-settings", required_argument, nullptr, 'c'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
};

}  // namespace

Result<Arguments> ParseArguments(std::span<char*> command_line) {
  Arguments arguments;
  const int count = static_cast<int>(command_line.size());
  opterr = 0;
  int option_code = 0;
  while ((option_code = getopt_long(count, command_line.data(), ":hv",
                                    kLongOptions, nullptr)) != -1) {
    switch (option_code) {
      case 's':
        arguments.mode = Arguments::Mode::kRun;
        arguments.settings_file = optarg;
        break;
      case 'c':
        arguments.mode = Arguments::Mode::kCheckSettings;
        arguments.settings_file = optarg;
        break;
      case 'h':
        return Arguments{Arguments::Mode::kHelp, {}};
      case 'v':
        return Arguments{Arguments::Mode::kVersion, {}};
      case ':':
        return Fail(
            ErrorCode::kInvalidArgument,
            std::string(command_line[optind - 1]) + " requires a file name");
      default:
        return Fail(ErrorCode::kInvalidArgument,
                    "unknown option " + std::string(command_line[optind - 1]));
    }
  }
  if (optind < count) {
    return Fail(ErrorCode::kInvalidArgument,
                "unexpected argument " + std::string(command_line[optind]));
  }
  if (arguments.settings_file.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "--settings FILE is required");
  }
  return arguments;
}

std::string_view UsageText() {
  return "Usage: snipehalld --settings FILE\n"
         "       snipehalld --check-settings FILE\n"
         "\n"
         "  --settings FILE        run with the settings in FILE\n"
         "  --check-settings FILE  check FILE and exit\n"
         "  --help                 print this text\n"
         "  --version              print the version\n"
         "\n"
         "Exit codes: 0 graceful shutdown or valid settings, 1 failed start,\n"
         "2 wrong usage, 3 settings refused, 4 requests cut off at shutdown.\n";
}

}  // namespace snipehall
