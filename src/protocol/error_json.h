#pragma once

#include <boost/json/object.hpp>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Returns the name of an error code in JSON, for example "conflict".
std::string_view ToString(ErrorCode code);

// Encodes an error as an object with the members "code", "message", "pointer",
// "value" and "allowed". The administration API and the command-line tool
// report errors in this form.
boost::json::object ErrorToJson(const Error& error);

// Decodes what ErrorToJson() returns. Missing or malformed members become empty
// strings, and an unknown code becomes kUnavailable.
Error ErrorFromJson(const boost::json::value& value);

}  // namespace snipehall
