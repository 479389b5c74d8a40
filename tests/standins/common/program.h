#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "standins/common/http_server.h"

namespace snipehall::standin {

// An option of a stand-in program and what it does with its value. The
// function returns false for a value that is not allowed.
struct ProgramOption {
  std::string help;
  // Flags have no value; the function gets an empty one.
  bool has_value = true;
  std::function<bool(std::string_view value)> set;
};

// Setters for common kinds of options. `*variable` outlives the parsing.
ProgramOption TextOption(std::string* variable, std::string help);
ProgramOption FlagOption(bool* variable, std::string help);
ProgramOption NumberOption(std::uint64_t* variable, std::string help);

// Reads "--name value" options. Prints a message and ends the program on an
// error or for --help.
void ParseOptions(int argc,
                  char** argv,
                  const std::map<std::string, ProgramOption>& options);

// Listens, prints {"address": "ip:port"} on a line of standard output, and
// serves until SIGTERM or SIGINT. Returns the program's exit status.
int RunServer(boost::asio::io_context& context,
              const HttpServer::Options& options,
              HttpHandler handler);

}  // namespace snipehall::standin
