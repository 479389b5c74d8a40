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

// Parameters of a query string or a form. For a repeated name the last value is
// kept.
using Parameters = std::map<std::string, std::string, std::less<>>;

// Makes an HTTP/1.1 response that must not be cached.
AdminResponse MakeResponse(boost::beast::http::status status,
                           std::string_view content_type,
                           std::string body);

// Makes a response with a JSON body, followed by a line feed.
AdminResponse MakeJsonResponse(boost::beast::http::status status,
                               const boost::json::value& body);

// Makes a response with the body {"error": {...}}. The first overload derives
// the status from the error's code.
AdminResponse MakeErrorResponse(const Error& error);
AdminResponse MakeErrorResponse(boost::beast::http::status status,
                                const Error& error);

// Returns the path of the request target, without the query.
std::string_view RequestPath(const AdminRequest& request);

// Decodes application/x-www-form-urlencoded text: "a=1&b=2" with percent
// escapes and '+' for a space. Fails with kInvalidArgument.
Result<Parameters> ParseParameters(std::string_view text);

// Decodes the query of the request target. Fails with kInvalidArgument.
Result<Parameters> ParseQuery(const AdminRequest& request);

// Returns the value of a parameter, or empty text when it is absent.
std::string_view GetParameter(const Parameters& parameters,
                              std::string_view name);

// Returns whether the media type of Content-Type is `type`, ignoring case and
// parameters such as charset.
bool HasContentType(const AdminRequest& request, std::string_view type);

}  // namespace snipehall
