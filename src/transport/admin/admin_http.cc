#include "transport/admin/admin_http.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>
#include <boost/url/params_view.hpp>
#include <boost/url/parse_query.hpp>

#include "protocol/error_json.h"

namespace snipehall {

namespace http = boost::beast::http;

namespace {

http::status StatusForError(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return http::status::bad_request;
    case ErrorCode::kNotFound:
      return http::status::not_found;
    case ErrorCode::kConflict:
      return http::status::conflict;
    case ErrorCode::kUnavailable:
    case ErrorCode::kBusy:
      return http::status::service_unavailable;
    case ErrorCode::kTimeout:
      return http::status::gateway_timeout;
    case ErrorCode::kRefused:
      return http::status::forbidden;
    case ErrorCode::kCorrupt:
      return http::status::internal_server_error;
  }
  return http::status::internal_server_error;
}

}  // namespace

AdminResponse MakeResponse(http::status status,
                           std::string_view content_type,
                           std::string body) {
  AdminResponse response(status, 11);
  response.set(http::field::content_type, content_type);
  response.set(http::field::cache_control, "no-store");
  response.set("X-Content-Type-Options", "nosniff");
  response.body() = std::move(body);
  return response;
}

AdminResponse MakeJsonResponse(http::status status,
                               const boost::json::value& body) {
  return MakeResponse(status, "application/json",
                      boost::json::serialize(body) + "\n");
}

AdminResponse MakeErrorResponse(const Error& error) {
  return MakeErrorResponse(StatusForError(error.code), error);
}

AdminResponse MakeErrorResponse(http::status status, const Error& error) {
  return MakeJsonResponse(status,
                          boost::json::object{{"error", ErrorToJson(error)}});
}

std::string_view RequestPath(const AdminRequest& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  return target.substr(0, target.find('?'));
}

Result<Parameters> ParseParameters(std::string_view text) {
  Parameters parameters;
  if (text.empty()) {
    return parameters;
  }
  // params_view of Boost 1.81 does not decode '+' as a space.
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    c == '+' ? escaped.append("%20") : escaped.append(1, c);
  }
  const auto parsed = boost::urls::parse_query(escaped);
  if (!parsed) {
    return Fail(ErrorCode::kInvalidArgument, "malformed parameters");
  }
  for (const auto& entry : boost::urls::params_view(escaped)) {
    parameters[entry.key] = entry.value;
  }
  return parameters;
}

Result<Parameters> ParseQuery(const AdminRequest& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  const std::size_t query_start = target.find('?');
  return ParseParameters(query_start == std::string_view::npos
                             ? ""
                             : target.substr(query_start + 1));
}

std::string_view GetParameter(const Parameters& parameters,
                              std::string_view name) {
  const auto found = parameters.find(name);
  return found == parameters.end() ? std::string_view()
                                   : std::string_view(found->second);
}

bool HasContentType(const AdminRequest& request, std::string_view type) {
  const auto field = request[http::field::content_type];
  std::string_view value(field.data(), field.size());
  value = value.substr(0, value.find(';'));
  while (value.ends_with(' ')) {
    value.remove_suffix(1);
  }
  return boost::beast::iequals({value.data(), value.size()},
                               {type.data(), type.size()});
}

}  // namespace snipehall
