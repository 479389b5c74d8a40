#pragma once

#include <string_view>

namespace snipehall {

// JSON Schemas of the configuration document and of the daemon's settings file:
// the files in docs/schema without white space at their start and end.
extern const std::string_view kConfigurationSchema;
extern const std::string_view kSettingsSchema;

}  // namespace snipehall
