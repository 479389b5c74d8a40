#include "standins/common/program.h"

#include <getopt.h>

#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>
#include <vector>

namespace snipehall::standin {

namespace {

void PrintUsage(const char* program,
                const std::map<std::string, ProgramOption>& options) {
  std::cerr << "usage: " << program << " [OPTIONS]\n";
  for (const auto& [name, option] : options) {
    std::cerr << "  --" << name << (option.has_value ? " VALUE" : "") << "  "
              << option.help << '\n';
  }
}

}  // namespace

ProgramOption TextOption(std::string* variable, std::string help) {
  return {std::move(help), true, [variable](std::string_view value) {
            *variable = value;
            return true;
          }};
}

ProgramOption FlagOption(bool* variable, std::string help) {
  return {std::move(help), false, [variable](std::string_view /*value*/) {
            *variable = true;
            return true;
          }};
}

ProgramOption NumberOption(std::uint64_t* variable, std::string help) {
  return {std::move(help), true, [variable](std::string_view value) {
            const auto number = ParseNumber(value);
            *variable = number.value_or(0);
            return number.has_value();
          }};
}

void ParseOptions(int argc,
                  char** argv,
                  const std::map<std::string, ProgramOption>& options) {
  std::vector<option> long_options;
  std::vector<const ProgramOption*> program_options;
  for (const auto& [name, program_option] : options) {
    long_options.push_back(
        {name.c_str(),
         program_option.has_value ? required_argument : no_argument, nullptr,
         0});
    program_options.push_back(&program_option);
  }
  long_options.push_back({"help", no_argument, nullptr, 0});
  long_options.push_back({nullptr, 0, nullptr, 0});
  int index = 0;
  int result = 0;
  // No other thread exists while the options are parsed.
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  while ((result = getopt_long(argc, argv, "", long_options.data(), &index)) !=
         -1) {
    const bool known = result == 0;
    if (known && static_cast<std::size_t>(index) < program_options.size() &&
        program_options[index]->set(optarg == nullptr ? "" : optarg)) {
      continue;
    }
    PrintUsage(argv[0], options);
    const bool help =
        known && long_options[index].name == std::string_view("help");
    std::exit(help ? EXIT_SUCCESS : EXIT_FAILURE);
  }
  if (optind != argc) {
    PrintUsage(argv[0], options);
    std::exit(EXIT_FAILURE);
  }
}

int RunServer(boost::asio::io_context& context,
              const HttpServer::Options& options,
              HttpHandler handler) {
  const auto server = HttpServer::Listen(context, options, std::move(handler));
  if (!server.has_value()) {
    std::cerr << server.error().message << '\n';
    return EXIT_FAILURE;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](boost::system::error_code failure, int) {
    if (!failure) {
      context.stop();
    }
  });
  std::cout << boost::json::serialize(
                   boost::json::object{{"address", server.value()->address()}})
            << std::endl;
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace snipehall::standin
