#pragma once

#include <boost/json/value.hpp>

#include "state/configuration.h"

namespace snipehall {

// Encodes a configuration as JSON in canonical form: object members are in the
// order of the schema.
boost::json::object ConfigurationToJson(const Configuration& configuration);

// Decodes a configuration document. Validates it against the JSON schema, and
// then against the rules that a schema cannot express. Returns all errors
// found. `configuration` is set only if there are none.
std::vector<Error> ConfigurationFromJson(const boost::json::value& document,
                                         Configuration& configuration);

}  // namespace snipehall
