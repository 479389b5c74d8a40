#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "state/result.h"

namespace snipehall {

// Parsed command line of the snipehall tool.
struct ToolOptions {
  bool help = false;
  bool version = false;
  // Print responses and errors as JSON.
  bool json = false;
  // Address of the administration listener, "IP-number:port".
  std::string admin_address;
  std::string token_file;
  std::string author;
  std::string reason;
  // Offset that a document was edited from; empty selects the document in
  // force.
  std::string based_on;
  // Offset of the document to publish again; empty selects the predecessor of
  // the one in force.
  std::string to;
  // Publish a plan that stops the target instead of only draining it.
  bool stop = false;
  // The command and its operands.
  std::vector<std::string> operands;
};

// Parses the command line, including the program name. Options may be placed
// before, between and after operands. Defaults for the author and the address
// come from the environment variables USER and SNIPEHALL_ADMIN. Fails with
// kInvalidArgument.
Result<ToolOptions> ParseToolOptions(std::span<char*> command_line);

// Returns the text of --help.
std::string_view ToolUsage();

}  // namespace snipehall
