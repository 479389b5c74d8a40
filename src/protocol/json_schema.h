#pragma once

#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_text.h"
#include "state/result.h"

namespace snipehall {

// Validates documents against a JSON Schema. The descriptions of allowed values
// in its errors cover the keywords that the project's schemas use: type,
// properties, required, additionalProperties, items, enum, minimum, maximum,
// minLength, maxLength, minItems, maxItems.
class JsonSchema {
 public:
  // Throws a std::exception if `text` is not a valid schema.
  explicit JsonSchema(std::string_view text);
  ~JsonSchema();

  JsonSchema(const JsonSchema&) = delete;
  JsonSchema& operator=(const JsonSchema&) = delete;

  // Returns one error (kInvalidArgument) for each invalid, missing or unknown
  // field, with its JSON pointer, its value and what is allowed.
  std::vector<Error> Check(const boost::json::value& document) const;

 private:
  class Impl;

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
