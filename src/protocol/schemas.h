#pragma once

#include <string_view>

namespace snipehall {

// JSON Schema texts, equal to the files in docs/schema but for white space at
// both ends.
extern const std::string_view kConfigurationSchema;
extern const std::string_view kSettingsSchema;

}  // namespace snipehall
