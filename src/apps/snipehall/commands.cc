#include "apps/snipehall/commands.h"

#include <boost/json.hpp>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "apps/snipehall/admin_client.h"
#include "apps/snipehall/printer.h"
#include "coordination/changes/add_plan.h"
#include "protocol/configuration_codec.h"
#include "protocol/json_pretty.h"
#include "protocol/json_text.h"
#include "transport/admin/admin_access.h"

namespace snipehall {

namespace json = boost::json;

namespace {

ExitCode ToExitCode(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kCorrupt:
      return ExitCode::kInvalidInput;
    case ErrorCode::kNotFound:
      return ExitCode::kNotFound;
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kTimeout:
      return ExitCode::kUnknownOutcome;
    case ErrorCode::kRefused:
      return ExitCode::kAccessDenied;
    case ErrorCode::kUnavailable:
    case ErrorCode::kBusy:
      return ExitCode::kUnavailable;
  }
  return ExitCode::kUnavailable;
}

Result<json::value> ReadDocument(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream.is_open()) {
    return Fail(ErrorCode::kNotFound, "cannot read " + file);
  }
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  return ParseJson(text);
}

// Runs one command of the command line and returns the exit code.
class CommandRunner {
 public:
  CommandRunner(const ToolOptions& options, AdminClient client)
      : m_options(options),
        m_client(std::move(client)),
        m_printer(options.json) {}

  ExitCode Run() {
    const auto& operands = m_options.operands;
    const auto matches = [&operands](std::size_t count, std::string_view first,
                                     std::string_view second = "") {
      return operands.size() == count && operands[0] == first &&
             (second.empty() || operands[1] == second);
    };
    if (matches(3, "config", "check")) {
      return Check(operands[2]);
    }
    if (matches(3, "config", "publish")) {
      return Publish(operands[2]);
    }
    if (matches(2, "config", "show")) {
      return ShowConfiguration();
    }
    if (matches(2, "config", "history")) {
      return ShowResource("configuration/history");
    }
    if (matches(2, "config", "undo")) {
      return Undo();
    }
    if (matches(3, "owner")) {
      return ShowResource("owner?service=" + EncodeQueryValue(operands[1]) +
                          "&key=" + EncodeQueryValue(operands[2]));
    }
    if (matches(1, "status")) {
      return ShowResource("status");
    }
    if (matches(2, "drain")) {
      return Drain(operands[1]);
    }
    std::cerr << "snipehall: unknown command or wrong number of operands\n"
              << ToolUsage();
    return ExitCode::kUsageError;
  }

 private:
  ExitCode ReportErrors(const std::vector<Error>& errors) const {
    m_printer.PrintErrors(errors);
    return ToExitCode(errors.front().code);
  }

  ExitCode Check(const std::string& file) const {
    const Result<json::value> document = ReadDocument(file);
    if (!document) {
      return ReportErrors({document.error()});
    }
    Configuration configuration;
    const std::vector<Error> errors =
        ConfigurationFromJson(document.value(), configuration);
    if (!errors.empty()) {
      return ReportErrors(errors);
    }
    m_printer.Print(json::object{{"valid", true}});
    return ExitCode::kSuccess;
  }

  ExitCode ShowResource(const std::string& resource) const {
    return PrintResponse(m_client.Get(resource));
  }

  // Prints only the document to standard output, so that it can be edited and
  // published again, and its offset to standard error.
  ExitCode ShowConfiguration() const {
    if (m_options.json) {
      return ShowResource("configuration");
    }
    const Result<json::value> entry = FetchConfiguration();
    if (!entry) {
      return ReportErrors({entry.error()});
    }
    std::cout << PrettyJson(entry.value().at("configuration")) << '\n';
    std::cerr << "offset: " << json::serialize(entry.value().at("offset"))
              << '\n';
    return ExitCode::kSuccess;
  }

  ExitCode PrintResponse(const Result<AdminApiResponse>& response) const {
    if (!response) {
      return ReportErrors({response.error()});
    }
    if (!response.value().errors.empty()) {
      return ReportErrors(response.value().errors);
    }
    m_printer.Print(response.value().body);
    return ExitCode::kSuccess;
  }

  // Returns the offset given with --based-on, or the one in force.
  Result<LogOffset> ResolveBasedOn() const {
    if (!m_options.based_on.empty()) {
      return ParseOffset(m_options.based_on, "--based-on");
    }
    const auto entry = FetchConfiguration();
    if (!entry) {
      return entry.error();
    }
    return entry.value().at("offset").to_number<LogOffset>();
  }

  static Result<LogOffset> ParseOffset(const std::string& text,
                                       const std::string& option) {
    LogOffset offset = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, offset);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
      return boost::outcome_v2::failure(Error{ErrorCode::kInvalidArgument,
                                              "invalid offset: " + option, "",
                                              text, "integer from 0"});
    }
    return offset;
  }

  Result<json::value> FetchConfiguration() const {
    auto response = m_client.Get("configuration");
    if (!response) {
      return response.error();
    }
    if (!response.value().errors.empty()) {
      return response.value().errors.front();
    }
    return std::move(response).value().body;
  }

  ExitCode PostPublication(const std::string& resource,
                           LogOffset based_on,
                           json::object body) const {
    body["based_on"] = based_on;
    body["author"] = m_options.author;
    body["reason"] = m_options.reason;
    return PrintResponse(m_client.Post(resource, body));
  }

  ExitCode Publish(const std::string& file) const {
    const Result<json::value> document = ReadDocument(file);
    if (!document) {
      return ReportErrors({document.error()});
    }
    const Result<LogOffset> based_on = ResolveBasedOn();
    if (!based_on) {
      return ReportErrors({based_on.error()});
    }
    return PostPublication("configuration", based_on.value(),
                           {{"document", document.value()}});
  }

  ExitCode Undo() const {
    const Result<LogOffset> based_on = ResolveBasedOn();
    if (!based_on) {
      return ReportErrors({based_on.error()});
    }
    json::object body;
    if (!m_options.to.empty()) {
      const Result<LogOffset> to = ParseOffset(m_options.to, "--to");
      if (!to) {
        return ReportErrors({to.error()});
      }
      body["to"] = to.value();
    }
    return PostPublication("configuration/undo", based_on.value(),
                           std::move(body));
  }

  // Adds a plan to the document in force and publishes it. All operator
  // decisions take effect through the document only.
  ExitCode Drain(const std::string& target) const {
    const Result<json::value> entry = FetchConfiguration();
    if (!entry) {
      return ReportErrors({entry.error()});
    }
    const json::value& document = entry.value().at("configuration");
    if (document.is_null()) {
      return ReportErrors(
          {{ErrorCode::kNotFound, "no configuration is in force"}});
    }
    Configuration draft;
    std::vector<Error> errors = ConfigurationFromJson(document, draft);
    if (!errors.empty()) {
      return ReportErrors(errors);
    }
    AddPlan change(
        {m_options.stop ? PlanKind::kStop : PlanKind::kDrain, target});
    const Result<void> applied = change.Apply(draft);
    if (!applied) {
      return ReportErrors({applied.error()});
    }
    return PostPublication("configuration",
                           entry.value().at("offset").to_number<LogOffset>(),
                           {{"document", ConfigurationToJson(draft)}});
  }

  const ToolOptions& m_options;
  AdminClient m_client;
  Printer m_printer;
};

bool NeedsDaemon(const std::vector<std::string>& operands) {
  return operands.size() < 2 || operands[0] != "config" ||
         operands[1] != "check";
}

}  // namespace

ExitCode RunCommand(const ToolOptions& options) {
  if (NeedsDaemon(options.operands) && !options.operands.empty() &&
      options.admin_address.empty()) {
    std::cerr << "snipehall: --admin ADDRESS is required\n";
    return ExitCode::kUsageError;
  }
  std::string token;
  if (!options.token_file.empty()) {
    const Result<std::string> loaded = LoadToken(options.token_file);
    if (!loaded) {
      std::cerr << "snipehall: " << loaded.error().message << '\n';
      return ExitCode::kUsageError;
    }
    token = loaded.value();
  }
  return CommandRunner(options, AdminClient(options.admin_address, token))
      .Run();
}

}  // namespace snipehall
