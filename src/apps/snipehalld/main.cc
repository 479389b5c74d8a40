#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "apps/snipehalld/arguments.h"
#include "apps/snipehalld/daemon.h"
#include "apps/snipehalld/stop_signal.h"

namespace snipehall {
namespace {

// Exit codes; see UsageText().
constexpr int kFailedStart = 1;
constexpr int kWrongUsage = 2;
constexpr int kSettingsRefused = 3;
constexpr int kRequestsCutOff = 4;

int ReportSettings(const Error& error) {
  std::cerr << "snipehalld: " << error.message;
  if (!error.pointer.empty()) {
    std::cerr << " at " << error.pointer << ": found \"" << error.value
              << "\", allowed: " << error.allowed;
  }
  std::cerr << '\n';
  return kSettingsRefused;
}

int Run(const Settings& settings) {
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  StopSignal signal;
  auto daemon = Daemon::Start(settings);
  if (!daemon) {
    LOG(ERROR) << "cannot start: " << daemon.error().message;
    return kFailedStart;
  }
  LOG(INFO) << "instance " << settings.instance << " serves";
  const int number = signal.Wait();
  LOG(INFO) << "graceful shutdown after signal " << number;
  const int cut_off = daemon.value()->Stop();
  if (cut_off > 0) {
    LOG(WARNING) << cut_off << " requests were cut off at the shutdown limit";
    return kRequestsCutOff;
  }
  LOG(INFO) << "all requests are finished";
  return EXIT_SUCCESS;
}

int Main(std::span<char*> command_line) {
  const Result<Arguments> arguments = ParseArguments(command_line);
  if (!arguments) {
    std::cerr << "snipehalld: " << arguments.error().message << '\n'
              << UsageText();
    return kWrongUsage;
  }
  switch (arguments.value().mode) {
    case Arguments::Mode::kHelp:
      std::cout << UsageText();
      return EXIT_SUCCESS;
    case Arguments::Mode::kVersion:
      std::cout << "snipehalld " << SNIPEHALL_VERSION << '\n';
      return EXIT_SUCCESS;
    case Arguments::Mode::kCheckSettings:
    case Arguments::Mode::kRun:
      break;
  }
  const Result<Settings> settings =
      LoadSettings(arguments.value().settings_file);
  if (!settings) {
    return ReportSettings(settings.error());
  }
  return arguments.value().mode == Arguments::Mode::kRun ? Run(settings.value())
                                                         : EXIT_SUCCESS;
}

}  // namespace
}  // namespace snipehall

// Entry point of the daemon.
int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    return snipehall::Main({argv, static_cast<std::size_t>(argc)});
  } catch (const std::exception& error) {
    LOG(ERROR) << "cannot go on: " << error.what();
    return EXIT_FAILURE;
  }
}
