#include "transport/admin/admin_api.h"

#include <boost/json.hpp>
#include <charconv>
#include <initializer_list>
#include <optional>

#include "protocol/configuration_codec.h"
#include "protocol/error_json.h"
#include "protocol/json_schema.h"
#include "protocol/json_text.h"

namespace snipehall {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::string_view kApiPathPrefix = "/admin/v1/";
constexpr std::string_view kGetResources[] = {
    "configuration", "configuration/history", "status", "owner"};
constexpr std::string_view kPostResources[] = {
    "configuration", "configuration/check", "configuration/undo", "drain"};

template <std::size_t N>
bool Contains(const std::string_view (&names)[N], std::string_view name) {
  return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

Error InvalidArgument(std::string message,
                      std::string pointer,
                      std::string value,
                      std::string allowed) {
  return {ErrorCode::kInvalidArgument, std::move(message), std::move(pointer),
          std::move(value), std::move(allowed)};
}

// Reads the fields of a request's JSON body and keeps the first error.
class BodyReader {
 public:
  explicit BodyReader(const json::object& body) : m_body(body) {}

  void AllowOnly(std::initializer_list<std::string_view> names) {
    for (const auto& entry : m_body) {
      const std::string_view key = entry.key();
      if (std::find(names.begin(), names.end(), key) == names.end()) {
        std::string allowed = "one of the fields";
        for (const std::string_view name : names) {
          allowed.append(" ").append(name);
        }
        RecordError(InvalidArgument("unknown field", "/" + std::string(key),
                                    DescribeValue(entry.value()),
                                    std::move(allowed)));
      }
    }
  }

  std::string ReadText(std::string_view name) {
    const json::value* value = ReadRequired(name);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string()) {
      RecordError(InvalidArgument("wrong type", "/" + std::string(name),
                                  DescribeValue(*value), "text"));
      return {};
    }
    return std::string(value->get_string());
  }

  LogOffset ReadOffset(std::string_view name) {
    const json::value* value = ReadRequired(name);
    if (value == nullptr) {
      return 0;
    }
    json::error_code error;
    const auto offset = value->to_number<LogOffset>(error);
    if (error || value->is_double()) {
      RecordError(InvalidArgument("wrong type", "/" + std::string(name),
                                  DescribeValue(*value), "integer from 0"));
      return 0;
    }
    return offset;
  }

  LogOffset ReadOptionalOffset(std::string_view name) {
    return m_body.contains(name) ? ReadOffset(name) : 0;
  }

  const json::value* ReadRequired(std::string_view name) {
    const json::value* value = m_body.if_contains(name);
    if (value == nullptr) {
      RecordError(InvalidArgument("missing field", "/" + std::string(name),
                                  "absent", "a value"));
    }
    return value;
  }

  Publication ReadPublication() {
    return {ReadOffset("based_on"), ReadText("author"), ReadText("reason")};
  }

  const std::optional<Error>& error() const { return m_error; }

 private:
  void RecordError(Error error) {
    if (!m_error) {
      m_error = std::move(error);
    }
  }

  const json::object& m_body;
  std::optional<Error> m_error;
};

AdminResponse MakePublishResponse(const Result<LogOffset>& result) {
  if (!result) {
    return MakeErrorResponse(result.error());
  }
  return MakeJsonResponse(
      http::status::ok,
      json::object{{"outcome", "accepted"}, {"offset", result.value()}});
}

json::array ErrorsToJson(const std::vector<Error>& errors) {
  json::array array;
  for (const Error& error : errors) {
    array.push_back(ErrorToJson(error));
  }
  return array;
}

json::object EntryToJson(const ConfigurationEntry& entry) {
  return {{"offset", entry.offset},
          {"author", entry.author},
          {"reason", entry.reason},
          {"time_ms", entry.time_ms}};
}

json::array TextsToJson(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts) {
    array.emplace_back(text);
  }
  return array;
}

json::array TargetsToJson(const ControlStatus& status) {
  json::array targets;
  for (const TargetStatus& target : status.targets) {
    targets.push_back(
        json::object{{"id", target.id},
                     {"service", target.service},
                     {"zone", target.zone},
                     {"leaving", target.leaving},
                     {"reachable", target.reachable},
                     {"outstanding", target.requests_in_progress}});
  }
  return targets;
}

json::array InstancesToJson(const ControlStatus& status) {
  json::array instances;
  for (const PlatformInstance& instance : status.instances) {
    if (instance.role == PlatformRole::kEntry) {
      instances.push_back(json::object{{"id", instance.id},
                                       {"zone", instance.zone},
                                       {"address", instance.address},
                                       {"leaving", instance.leaving}});
    }
  }
  return instances;
}

json::array GroupsToJson(const ClusterState& state) {
  json::array groups;
  for (const auto& [name, group] : state.groups()) {
    groups.push_back(json::object{
        {"group", name},
        {"version", group.version},
        {"members", TextsToJson(group.members)},
        {"previous_members", TextsToJson(group.previous_members)}});
  }
  return groups;
}

json::array AssignmentsToJson(const ClusterState& state) {
  json::array assignments;
  for (const auto& [name, assignment] : state.assignments()) {
    assignments.push_back(json::object{{"service", name},
                                       {"version", assignment.version},
                                       {"ranges", assignment.ranges.size()}});
  }
  return assignments;
}

}  // namespace

AdminApi::AdminApi(const AdminBackend* backend,
                   const ConfigurationPublisher* publisher)
    : m_backend(backend), m_publisher(publisher) {}

asio::awaitable<AdminResponse> AdminApi::Handle(AdminRequest request) const {
  const std::string_view path = RequestPath(request);
  const std::string_view resource = path.starts_with(kApiPathPrefix)
                                        ? path.substr(kApiPathPrefix.size())
                                        : "";
  const bool is_get = request.method() == http::verb::get;
  const bool is_post = request.method() == http::verb::post;
  const bool allows_get = Contains(kGetResources, resource);
  const bool allows_post = Contains(kPostResources, resource);
  if (!allows_get && !allows_post) {
    co_return MakeErrorResponse(
        {ErrorCode::kNotFound, "no such resource", "", std::string(path), ""});
  }
  if (!(is_get && allows_get) && !(is_post && allows_post)) {
    const std::string allowed = allows_get && allows_post ? "GET, POST"
                                : allows_get              ? "GET"
                                                          : "POST";
    AdminResponse response = MakeErrorResponse(
        http::status::method_not_allowed,
        InvalidArgument("method is not allowed", "",
                        std::string(request.method_string()), allowed));
    response.set(http::field::allow, allowed);
    co_return response;
  }
  if (is_get) {
    const Result<Parameters> query = ParseQuery(request);
    co_return query ? HandleGet(resource, query.value())
                    : MakeErrorResponse(query.error());
  }
  const Result<json::value> body = ParseJson(request.body());
  if (!body) {
    co_return MakeErrorResponse(body.error());
  }
  if (!body.value().is_object()) {
    co_return MakeErrorResponse(InvalidArgument(
        "wrong type", "", DescribeValue(body.value()), "a JSON object"));
  }
  co_return co_await HandlePost(std::string(resource),
                                body.value().get_object());
}

AdminResponse AdminApi::HandleGet(std::string_view resource,
                                  const Parameters& query) const {
  if (resource == "configuration") {
    return GetConfiguration(query);
  }
  if (resource == "configuration/history") {
    return GetHistory();
  }
  return resource == "status" ? GetStatus() : GetOwner(query);
}

asio::awaitable<AdminResponse> AdminApi::HandlePost(std::string resource,
                                                    Body body) const {
  if (resource == "configuration/check") {
    co_return Check(body);
  }
  if (resource == "configuration") {
    co_return co_await Publish(std::move(body));
  }
  if (resource == "configuration/undo") {
    co_return co_await Undo(std::move(body));
  }
  co_return co_await Drain(std::move(body));
}

AdminResponse AdminApi::GetConfiguration(const Parameters& query) const {
  const auto status = m_backend->status();
  const std::string_view requested_offset = GetParameter(query, "offset");
  const ConfigurationEntry* found = status->state.configuration();
  if (!requested_offset.empty()) {
    LogOffset offset = 0;
    std::from_chars(requested_offset.data(),
                    requested_offset.data() + requested_offset.size(), offset);
    found = nullptr;
    for (const ConfigurationEntry& entry : status->state.history()) {
      found = entry.offset == offset ? &entry : found;
    }
    if (found == nullptr) {
      return MakeErrorResponse({ErrorCode::kNotFound,
                                "no such document in the history", "/offset",
                                std::string(requested_offset),
                                "an offset of configuration/history"});
    }
  }
  if (found == nullptr) {
    return MakeJsonResponse(
        http::status::ok,
        json::object{{"offset", 0}, {"configuration", nullptr}});
  }
  json::object body = EntryToJson(*found);
  body["configuration"] = ConfigurationToJson(found->configuration);
  return MakeJsonResponse(http::status::ok, body);
}

AdminResponse AdminApi::GetHistory() const {
  const auto status = m_backend->status();
  json::array entries;
  for (const ConfigurationEntry& entry : status->state.history()) {
    entries.push_back(EntryToJson(entry));
  }
  return MakeJsonResponse(http::status::ok,
                          json::object{{"entries", std::move(entries)}});
}

AdminResponse AdminApi::GetStatus() const {
  const auto status = m_backend->status();
  const ConfigurationEntry* entry = status->state.configuration();
  return MakeJsonResponse(
      http::status::ok,
      json::object{{"instance", status->instance},
                   {"zone", status->zone},
                   {"ready", m_backend->ready()},
                   {"log_reachable", status->log_reachable},
                   {"confirmed", status->confirmed},
                   {"offset", status->state.offset()},
                   {"configuration_offset", entry ? entry->offset : 0},
                   {"instances", InstancesToJson(*status)},
                   {"targets", TargetsToJson(*status)},
                   {"groups", GroupsToJson(status->state)},
                   {"assignments", AssignmentsToJson(status->state)}});
}

AdminResponse AdminApi::GetOwner(const Parameters& query) const {
  const auto status = m_backend->status();
  const std::string_view service = GetParameter(query, "service");
  if (service.empty() || query.find("key") == query.end()) {
    return MakeErrorResponse(
        InvalidArgument("missing parameter", "", "absent", "service and key"));
  }
  const std::uint64_t hash = HashKey(GetParameter(query, "key"));
  const ServiceAssignment* assignment = status->state.FindAssignment(service);
  const OwnedRange* range = assignment ? assignment->Find(hash) : nullptr;
  if (range == nullptr) {
    return MakeErrorResponse({ErrorCode::kNotFound, "the key has no owner",
                              "/service", std::string(service),
                              "a keyed service with assigned ranges"});
  }
  return MakeJsonResponse(http::status::ok,
                          json::object{{"service", service},
                                       {"key", GetParameter(query, "key")},
                                       {"hash", ToHex(hash)},
                                       {"owner", range->owner},
                                       {"group", range->group},
                                       {"token", range->token},
                                       {"first", ToHex(range->range.first)},
                                       {"last", ToHex(range->range.last)}});
}

AdminResponse AdminApi::Check(const Body& body) const {
  BodyReader reader(body);
  reader.AllowOnly({"document"});
  const json::value* document = reader.ReadRequired("document");
  if (reader.error()) {
    return MakeErrorResponse(*reader.error());
  }
  Configuration configuration;
  const std::vector<Error> errors =
      m_publisher->Check(*document, configuration);
  return MakeJsonResponse(http::status::ok,
                          json::object{{"valid", errors.empty()},
                                       {"errors", ErrorsToJson(errors)}});
}

asio::awaitable<AdminResponse> AdminApi::Publish(Body body) const {
  BodyReader reader(body);
  reader.AllowOnly({"based_on", "author", "reason", "document"});
  Publication publication = reader.ReadPublication();
  const json::value* document = reader.ReadRequired("document");
  if (reader.error()) {
    co_return MakeErrorResponse(*reader.error());
  }
  Configuration configuration;
  const std::vector<Error> errors =
      m_publisher->Check(*document, configuration);
  if (!errors.empty()) {
    co_return MakeJsonResponse(http::status::unprocessable_entity,
                               json::object{{"error", ErrorToJson(errors[0])},
                                            {"errors", ErrorsToJson(errors)}});
  }
  co_return MakePublishResponse(co_await m_publisher->Publish(
      std::move(publication), std::move(configuration)));
}

asio::awaitable<AdminResponse> AdminApi::Undo(Body body) const {
  BodyReader reader(body);
  reader.AllowOnly({"based_on", "author", "reason", "to"});
  Publication publication = reader.ReadPublication();
  const LogOffset restored_offset = reader.ReadOptionalOffset("to");
  if (reader.error()) {
    co_return MakeErrorResponse(*reader.error());
  }
  co_return MakePublishResponse(
      co_await m_publisher->Undo(std::move(publication), restored_offset));
}

asio::awaitable<AdminResponse> AdminApi::Drain(Body body) const {
  BodyReader reader(body);
  reader.AllowOnly({"target", "kind", "author", "reason"});
  PlanConfig plan;
  plan.target = reader.ReadText("target");
  const std::string kind =
      body.contains("kind") ? reader.ReadText("kind") : "drain";
  Publication publication{0, reader.ReadText("author"),
                          reader.ReadText("reason")};
  if (reader.error()) {
    co_return MakeErrorResponse(*reader.error());
  }
  if (kind != "drain" && kind != "stop") {
    co_return MakeErrorResponse(InvalidArgument("unknown kind of plan", "/kind",
                                                kind, "drain or stop"));
  }
  plan.kind = kind == "stop" ? PlanKind::kStop : PlanKind::kDrain;
  co_return MakePublishResponse(
      co_await m_publisher->AddPlan(std::move(publication), std::move(plan)));
}

}  // namespace snipehall
