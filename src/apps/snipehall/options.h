#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "state/result.h"

namespace snipehall {

// The tool's command line.
struct ToolOptions {
  bool help = false;
  bool version = false;
  // Print answers as JSON.
  bool json = false;
  // Address of the administration listener, "IP-number:port".
  std::string admin_address;
  std::string token_file;
  std::string author;
  std::string reason;
  // Offset that a document was edited from; empty: that of the document in
  // force.
  std::string based_on;
  // Offset to go back to.
  std::string to;
  // Publish a plan to stop and not only to drain.
  bool stop = false;
  // Command and operands.
  std::vector<std::string> operands;
};

// Reads the command line, the program's name included. Options may stand
// before, between and after operands. Fails with kInvalidArgument.
Result<ToolOptions> ParseToolOptions(std::span<char*> command_line);

// Text of --help.
std::string_view ToolUsage();

}  // namespace snipehall
