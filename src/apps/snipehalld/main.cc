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
constexpr int kExitStartFailed = 1;
constexpr int kExitUsageError = 2;
constexpr int kExitInvalidSettings = 3;
constexpr int kExitRequestsAborted = 4;

int ReportSettingsError(const Error& error) {
  std::cerr << "snipehalld: " << error.message;
  if (!error.pointer.empty()) {
    std::cerr << " at " << error.pointer << ": found \"" << error.value
              << "\", allowed: " << error.allowed;
  }
  std::cerr << '\n';
  return kExitInvalidSettings;
}

int Run(const Settings& settings) {
  // Writing to a connection that the peer has closed must not terminate the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  StopSignal signal;
  auto daemon = Daemon::Start(settings);
  if (!daemon) {
    LOG(ERROR) << "cannot start: " << daemon.error().message;
    return kExitStartFailed;
  }
  LOG(INFO) << "instance " << settings.instance << " serves";
  const int signal_number = signal.Wait();
  LOG(INFO) << "shutting down gracefully after signal " << signal_number;
  const int aborted_requests = daemon.value()->Stop();
  if (aborted_requests > 0) {
    LOG(WARNING) << aborted_requests
                 << " requests were aborted at the shutdown limit";
    return kExitRequestsAborted;
  }
  LOG(INFO) << "all requests have completed";
  return EXIT_SUCCESS;
}

int Main(std::span<char*> command_line) {
  const Result<Arguments> arguments = ParseArguments(command_line);
  if (!arguments) {
    std::cerr << "snipehalld: " << arguments.error().message << '\n'
              << UsageText();
    return kExitUsageError;
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
    return ReportSettingsError(settings.error());
  }
  return arguments.value().mode == Arguments::Mode::kRun ? Run(settings.value())
                                                         : EXIT_SUCCESS;
}

}  // namespace
}  // namespace snipehall

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    return snipehall::Main({argv, static_cast<std::size_t>(argc)});
  } catch (const std::exception& error) {
    LOG(ERROR) << "unhandled exception: " << error.what();
    return EXIT_FAILURE;
  }
}
