#include "apps/snipehall/options.h"

#include <getopt.h>

#include <cstdlib>

namespace snipehall {

namespace {

constexpr option kLongOptions[] = {
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {"json", no_argument, nullptr, 'j'},
    {"admin", required_argument, nullptr, 'a'},
    {"token-file", required_argument, nullptr, 't'},
    {"author", required_argument, nullptr, 'u'},
    {"reason", required_argument, nullptr, 'r'},
    {"based-on", required_argument, nullptr, 'b'},
    {"to", required_argument, nullptr, 'o'},
    {"stop", no_argument, nullptr, 's'},
    {nullptr, 0, nullptr, 0},
};

std::string GetEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

}  // namespace

Result<ToolOptions> ParseToolOptions(std::span<char*> command_line) {
  ToolOptions options;
  options.author = GetEnvironment("USER");
  options.admin_address = GetEnvironment("SNIPEHALL_ADMIN");
  const int count = static_cast<int>(command_line.size());
  opterr = 0;
  int option_code = 0;
  while ((option_code = getopt_long(count, command_line.data(), ":hv",
                                    kLongOptions, nullptr)) != -1) {
    switch (option_code) {
      case 'h':
        options.help = true;
        break;
      case 'v':
        options.version = true;
        break;
      case 'j':
        options.json = true;
        break;
      case 's':
        options.stop = true;
        break;
      case 'a':
        options.admin_address = optarg;
        break;
      case 't':
        options.token_file = optarg;
        break;
      case 'u':
        options.author = optarg;
        break;
      case 'r':
        options.reason = optarg;
        break;
      case 'b':
        options.based_on = optarg;
        break;
      case 'o':
        options.to = optarg;
        break;
      case ':':
        return Fail(
            ErrorCode::kInvalidArgument,
            std::string(command_line[optind - 1]) + " requires a value");
      default:
        return Fail(ErrorCode::kInvalidArgument,
                    "unknown option " + std::string(command_line[optind - 1]));
    }
  }
  options.operands.assign(command_line.begin() + optind, command_line.end());
  return options;
}

std::string_view ToolUsage() {
  return "Usage: snipehall [OPTION]... COMMAND\n"
         "\n"
         "Commands:\n"
         "  config check FILE    check a document; needs no daemon\n"
         "  config publish FILE  publish a document\n"
         "  config show          print the document in force\n"
         "  config history       list the published documents\n"
         "  config undo          publish an earlier document again\n"
         "  owner SERVICE KEY    print the owner of a key\n"
         "  status               print the state of the instance\n"
         "  drain TARGET         publish a plan that drains a target\n"
         "\n"
         "Options:\n"
         "  --admin ADDRESS      administration listener, IP-number:port\n"
         "                       (default: environment SNIPEHALL_ADMIN)\n"
         "  --token-file FILE    file with the administration token\n"
         "  --json               print answers and errors as JSON\n"
         "  --author NAME        author of a publication (default: USER)\n"
         "  --reason TEXT        reason of a publication\n"
         "  --based-on OFFSET    offset that the document was edited from\n"
         "                       (default: the one in force)\n"
         "  --to OFFSET          document to go back to (default: the one\n"
         "                       before the one in force)\n"
         "  --stop               drain: ask the target to stop as well\n"
         "  --help, --version\n"
         "\n"
         "Exit codes: 0 done, 1 the daemon cannot be reached or failed,\n"
         "2 wrong usage, 3 the document or request is invalid,\n"
         "4 conflict with another publication, 5 not found,\n"
         "6 the outcome is not known, 7 access refused.\n";
}

}  // namespace snipehall
