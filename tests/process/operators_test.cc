#include <boost/json.hpp>

#include <csignal>
#include <fstream>
#include <string>
#include <vector>

#include "process/support/cluster.h"
#include "protocol/record_codec.h"

#include <criterion/criterion.h>

// Tests of the command-line tool `snipehall` and of the start and shutdown of
// the daemon, with real processes.

namespace snipehall::test {

namespace {

namespace json = boost::json;
using std::chrono::seconds;

constexpr char kConfigurationDocument[] = R"({
  "zones": [{"name": "zone-a", "region": "r"}],
  "services": [{"name": "s", "default_class": "c",
                "classes": [{"name": "c"}]}]})";

// Exit status and output of a program.
struct ProgramResult {
  int status = -1;
  std::vector<std::string> lines;
  std::string errors;

  // The first output line, parsed.
  json::value json() const { return json::parse(lines.at(0)); }
};

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  return {std::istreambuf_iterator<char>(stream), {}};
}

// Runs a program of the build until it exits, for at most 30 s. The status is
// negative if it did not exit by itself.
ProgramResult RunProgram(const std::string& program,
                         const TemporaryDirectory& directory,
                         std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(),
                   std::string(SNIPEHALL_BIN_DIR) + "/src/" + program);
  const std::string errors = directory.path() / "stderr";
  std::ofstream(errors).close();
  const auto deadline = Clock::now() + seconds(30);
  Process process(std::move(arguments), errors);
  ProgramResult run;
  try {
    for (;;) {
      run.lines.push_back(process.ReadLine(deadline));
    }
  } catch (const TestFailure&) {
    // The program closed its output.
  }
  run.status = process.Wait(deadline).value_or(-1000);
  run.errors = ReadFile(errors);
  return run;
}

std::string WriteFile(const TemporaryDirectory& directory,
                      const std::string& name,
                      const std::string& text) {
  std::string path = directory.path() / name;
  std::ofstream(path) << text;
  return path;
}

void RequireStatus(const ProgramResult& run, int status) {
  std::string output;
  for (const std::string& line : run.lines) {
    output += line + "\n";
  }
  Require(run.status == status, "exit status " + std::to_string(run.status) +
                                    ", not " + std::to_string(status) + ": " +
                                    output + run.errors);
}

ClusterOptions MakeOptions() {
  ClusterOptions options;
  options.services = {{MakeService("gearshelf", true, {"zone-a"}, 3), 2}};
  return options;
}

// Runs the command-line tool with one instance of a cluster as its server.
class Tool {
 public:
  explicit Tool(std::string address) : m_address(std::move(address)) {}

  ProgramResult operator()(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(),
                     {"--admin", m_address, "--json", "--author", "ana",
                      "--reason", "test"});
    return RunProgram("snipehall", m_directory, std::move(arguments));
  }

  const TemporaryDirectory& directory() const { return m_directory; }

 private:
  std::string m_address;
  TemporaryDirectory m_directory;
};

LogOffset CurrentOffset(const Tool& tool) {
  const ProgramResult shown = tool({"config", "show"});
  RequireStatus(shown, 0);
  return shown.json().at("offset").to_number<LogOffset>();
}

}  // namespace

// Guards against incorrect usage that exits with status 0, which a script would
// take for success.
Test(operators, incorrect_usage_is_an_error) {
  const TemporaryDirectory directory;
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{
           {},
           {"--other"},
           {"--admin"},
           {"config"},
           {"other"},
           {"status"},
           {"config", "check"},
           {"--token-file", "no-such-file", "status"}}) {
    RequireStatus(RunProgram("snipehall", directory, arguments), 2);
  }
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{
           {}, {"--other"}, {"--settings"}, {"--settings", "x", "y"}}) {
    RequireStatus(RunProgram("snipehalld", directory, arguments), 2);
  }
  for (const char* program : {"snipehall", "snipehalld"}) {
    for (const char* option : {"--help", "--version"}) {
      const ProgramResult run = RunProgram(program, directory, {option});
      RequireStatus(run, 0);
      Require(!run.lines.empty(), "the program printed nothing");
    }
  }
}

// Guards against `config check` needing a daemon, or accepting other documents
// than the codec.
Test(operators, documents_are_checked_without_a_daemon) {
  const TemporaryDirectory directory;
  const std::string valid =
      WriteFile(directory, "valid", kConfigurationDocument);
  RequireStatus(RunProgram("snipehall", directory, {"config", "check", valid}),
                0);
  const std::string invalid = WriteFile(
      directory, "invalid", R"({"zones": [], "services": [], "zone": 1})");
  const ProgramResult run = RunProgram("snipehall", directory,
                                       {"--json", "config", "check", invalid});
  RequireStatus(run, 3);
  const json::value error = run.json().at("errors").as_array().at(0);
  Require(error.at("pointer").as_string() == "/zone", run.lines[0]);
  Require(error.at("value").as_string() == "1", run.lines[0]);
  RequireStatus(
      RunProgram("snipehall", directory, {"config", "check", "no-such-file"}),
      5);
}

// Guards against a daemon that ignores an unknown setting.
Test(operators, unknown_settings_are_rejected) {
  const TemporaryDirectory directory;
  json::object settings{{"instance", "e"},
                        {"zone", "z"},
                        {"caller_address", "127.0.0.1:0"},
                        {"peer_address", "127.0.0.1:0"},
                        {"log_address", "127.0.0.1:1"},
                        {"instance_list_address", "127.0.0.1:1"}};
  const std::string valid =
      WriteFile(directory, "valid", json::serialize(settings));
  RequireStatus(
      RunProgram("snipehalld", directory, {"--check-settings", valid}), 0);
  settings["shutdown_limit_s"] = 5;
  const std::string invalid =
      WriteFile(directory, "invalid", json::serialize(settings));
  for (const char* option : {"--check-settings", "--settings"}) {
    const ProgramResult run =
        RunProgram("snipehalld", directory, {option, invalid});
    RequireStatus(run, 3);
    Require(run.errors.find("/shutdown_limit_s") != std::string::npos,
            run.errors);
  }
}

// Guards against a daemon that keeps running although it could not bind one of
// its listeners.
Test(operators, daemon_exits_when_a_listener_cannot_be_bound) {
  const TemporaryDirectory directory;
  Process log({StandinPath("log_service")}, directory.path() / "errors");
  const std::string taken = ReadAddress(log);
  for (const char* listener :
       {"caller_address", "peer_address", "admin_address"}) {
    json::object settings{{"instance", "e"},
                          {"zone", "z"},
                          {"caller_address", "127.0.0.1:0"},
                          {"peer_address", "127.0.0.1:0"},
                          {"log_address", taken},
                          {"instance_list_address", taken}};
    settings[listener] = taken;
    const std::string file =
        WriteFile(directory, "settings", json::serialize(settings));
    RequireStatus(RunProgram("snipehalld", directory, {"--settings", file}), 1);
  }
}

// Guards against a publication that is reported as accepted but does not take
// effect at every instance within 6 s, and against a conflict that is not
// reported.
Test(operators, publications_take_effect_at_every_instance) {
  Cluster cluster(MakeOptions());
  const Tool tool(cluster.instances()[0]->admin_address);
  const Tool other(cluster.instances()[1]->admin_address);
  const LogOffset before = CurrentOffset(tool);
  const ProgramResult shown = tool({"config", "show"});
  json::object document = shown.json().at("configuration").as_object();
  document["tenants"] =
      json::array{json::object{{"name", "shop"}, {"weight", 7}}};
  const std::string file =
      WriteFile(tool.directory(), "document", json::serialize(document));
  const ProgramResult published = tool({"config", "publish", file});
  RequireStatus(published, 0);
  Require(published.json().at("outcome").as_string() == "accepted",
          published.lines[0]);
  const auto offset = published.json().at("offset").to_number<LogOffset>();
  const auto deadline = Clock::now() + seconds(6);
  Require(WaitUntil(deadline, [&] { return CurrentOffset(other) == offset; }),
          "the publication did not take effect at the other instance");
  const ProgramResult conflict =
      other({"--based-on", std::to_string(before), "config", "publish", file});
  RequireStatus(conflict, 4);
  const json::value error = conflict.json().at("errors").as_array().at(0);
  Require(error.at("value").as_string() == std::to_string(before) &&
              error.at("allowed").as_string() == std::to_string(offset),
          conflict.lines[0]);
  RequireStatus(other({"config", "undo"}), 0);
  const ProgramResult history = other({"config", "history"});
  Require(history.json().at("entries").as_array().size() == 3,
          history.lines[0]);
  Require(other({"config", "show"}).json().at("configuration") ==
              shown.json().at("configuration"),
          "config undo did not restore the previous configuration");
}

// Guards against a drained target that keeps its keys, and against a drain of
// an unknown target that reports success.
Test(operators, drained_target_loses_its_keys) {
  Cluster cluster(MakeOptions());
  const Tool tool(cluster.instances()[0]->admin_address);
  const auto shown_owner = [&tool] {
    const ProgramResult run = tool({"owner", "gearshelf", "board 7"});
    return run.status == 0 ? TargetId(run.json().at("owner").as_string())
                           : TargetId();
  };
  Require(WaitUntil(Clock::now() + seconds(10),
                    [&] { return !shown_owner().empty(); }),
          "the key has no owner");
  const TargetId owner = shown_owner();
  Require(cluster.OwnerOf("gearshelf", "board 7") == owner,
          "the tool reports another owner than the log");
  RequireStatus(tool({"owner", "gearshop", "board 7"}), 5);
  RequireStatus(tool({"drain", "no-such-target"}), 3);
  RequireStatus(tool({"drain", owner}), 0);
  RequireStatus(tool({"drain", owner}), 3);
  Require(WaitUntil(Clock::now() + seconds(10),
                    [&] {
                      const TargetId now = shown_owner();
                      return !now.empty() && now != owner;
                    }),
          "the drained target still owns the key");
}

// Guards against a daemon that does not exit after SIGTERM, or that still
// answers the tool afterwards.
Test(operators, sigterm_ends_the_daemon_gracefully) {
  Cluster cluster(MakeOptions());
  Process& daemon = cluster.instances()[1]->process;
  daemon.Signal(SIGTERM);
  Require(daemon.Wait(Clock::now() + seconds(10)) == 0,
          "the daemon did not exit with status 0");
  const Tool tool(cluster.instances()[1]->admin_address);
  RequireStatus(tool({"status"}), 1);
}

}  // namespace snipehall::test
