#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Parses JSON text. Fails with kInvalidArgument and the position for text that
// is not JSON.
Result<boost::json::value> ParseJson(std::string_view text);

// A value as text for an error, shortened to 80 bytes.
std::string DescribeValue(const boost::json::value& value);

}  // namespace snipehall
