#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace snipehall {

// Formats a value as JSON text, indented by two spaces for each level, without
// a final newline.
std::string PrettyJson(const boost::json::value& value);

}  // namespace snipehall
