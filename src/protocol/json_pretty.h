#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace snipehall {

// JSON text with two spaces of indentation and no final newline.
std::string PrettyJson(const boost::json::value& value);

}  // namespace snipehall
