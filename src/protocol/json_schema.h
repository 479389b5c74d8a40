#pragma once

#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json_text.h"
#include "state/result.h"

namespace snipehall {

// A JSON Schema that documents are checked against. It describes what is
// allowed from the keywords that the project's schemas use: type, properties,
// required, additionalProperties, items, enum, minimum, maximum, minLength,
// maxLength, minItems, maxItems.
class JsonSchema {
 public:
  // Throws std::exception when `text` is no schema.
  explicit JsonSchema(std::string_view text);
  ~JsonSchema();

  JsonSchema(const JsonSchema&) = delete;
  JsonSchema& operator=(const JsonSchema&) = delete;

  // Returns one error for each field that breaks the schema, with pointer,
  // value and what is allowed.
  std::vector<Error> Check(const boost::json::value& document) const;

 private:
  class Impl;

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
