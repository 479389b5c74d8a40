#pragma once

#include <boost/json/object.hpp>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Name of an error code in JSON, for example "conflict".
std::string_view ToString(ErrorCode code);

// {"code", "message", "pointer", "value", "allowed"}; the administration API
// and the tool show errors in this shape.
boost::json::object ErrorToJson(const Error& error);

// Reads what ErrorToJson() writes. Missing or malformed members read as empty,
// and an unknown code as kUnavailable.
Error ErrorFromJson(const boost::json::value& value);

}  // namespace snipehall
