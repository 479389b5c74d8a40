#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Parses JSON text. Fails with kInvalidArgument if it is malformed; the message
// gives the position in bytes.
Result<boost::json::value> ParseJson(std::string_view text);

// Returns a value as text for an error message, truncated to 80 bytes.
std::string DescribeValue(const boost::json::value& value);

}  // namespace snipehall
