#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "standins/common/http_server.h"

namespace snipehall::standin {

// Command-line option of a stand-in program.
struct ProgramOption {
  std::string help;
  // False for a flag, for which `set` is called with an empty value.
  bool has_value = true;
  // Stores the value. Returns false if the value is invalid.
  std::function<bool(std::string_view value)> set;
};

// Return options that store a text, set a flag or store an unsigned decimal
// number. `*variable` must be valid until ParseOptions() returns.
ProgramOption TextOption(std::string* variable, std::string help);
ProgramOption FlagOption(bool* variable, std::string help);
ProgramOption NumberOption(std::uint64_t* variable, std::string help);

// Parses "--name value" options. Prints the usage and exits the program on an
// error or for --help.
void ParseOptions(int argc,
                  char** argv,
                  const std::map<std::string, ProgramOption>& options);

// Starts a server, prints {"address": "ip:port"} as a line on standard output
// and serves requests until SIGTERM or SIGINT. Returns the program's exit
// status.
int RunServer(boost::asio::io_context& context,
              const HttpServer::Options& options,
              HttpHandler handler);

}  // namespace snipehall::standin
