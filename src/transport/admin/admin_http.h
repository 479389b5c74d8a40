#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <string>
#include <string_view>

#include "state/result.h"

namespace snipehall {

using AdminRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using AdminResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// Parameters of a query or a form; of repeated names the last one counts.
using Parameters = std::map<std::string, std::string, std::less<>>;

AdminResponse MakeResponse(boost::beast::http::status status,
                           std::string_view content_type,
                           std::string body);

AdminResponse MakeJsonResponse(boost::beast::http::status status,
                               const boost::json::value& body);

// {"error": {...}} with the status that fits the error's code.
AdminResponse MakeErrorResponse(const Error& error);
AdminResponse MakeErrorResponse(boost::beast::http::status status,
                                const Error& error);

// The target's path, without the query.
std::string_view PathOf(const AdminRequest& request);

// Decodes "a=1&b=2" with percent escapes and '+' for a space. Fails with
// kInvalidArgument.
Result<Parameters> ParseParameters(std::string_view text);

// Decodes the query of the request's target.
Result<Parameters> ParseQuery(const AdminRequest& request);

// The parameter's value, or empty text.
std::string_view Get(const Parameters& parameters, std::string_view name);

// Whether the Content-Type is `type`, whatever its parameters are.
bool HasContentType(const AdminRequest& request, std::string_view type);

}  // namespace snipehall
