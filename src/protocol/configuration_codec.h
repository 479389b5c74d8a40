#pragma once

#include <boost/json/value.hpp>

#include "state/configuration.h"

namespace snipehall {

// The canonical JSON value of a document.
boost::json::object ConfigurationToJson(const Configuration& configuration);

// Checks the schema, then the meaning, and returns every error found. On
// success `configuration` holds the document.
std::vector<Error> ConfigurationFromJson(const boost::json::value& document,
                                         Configuration& configuration);

}  // namespace snipehall
