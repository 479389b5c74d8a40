#include "protocol/json_schema.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace snipehall {

namespace json = boost::json;

namespace {

// Path to a field: member names and indexes.
using Path = std::vector<std::string>;

// The path of valijson's context, which begins with the root and has each name
// or index in brackets.
Path ToPath(const std::vector<std::string>& context) {
  Path path;
  for (std::size_t i = 1; i < context.size(); ++i) {
    path.push_back(context[i].substr(1, context[i].size() - 2));
  }
  return path;
}

std::string ToPointer(const Path& path) {
  std::string pointer;
  for (const std::string& token : path) {
    pointer += '/';
    for (const char c : token) {
      pointer += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
    }
  }
  return pointer;
}

const json::value* Member(const json::value* value, std::string_view name) {
  return value != nullptr && value->is_object()
             ? value->get_object().if_contains(name)
             : nullptr;
}

const json::value* FindInDocument(const json::value& document,
                                  const Path& path) {
  const json::value* found = &document;
  for (const std::string& token : path) {
    if (found != nullptr && found->is_array()) {
      found = found->get_array().if_contains(std::stoul(token));
    } else {
      found = Member(found, token);
    }
  }
  return found;
}

const json::value* FindInSchema(const json::value& schema, const Path& path) {
  const json::value* found = &schema;
  for (const std::string& token : path) {
    const json::value* items = Member(found, "items");
    found = items ? items : Member(Member(found, "properties"), token);
  }
  return found;
}

std::string Number(const json::value& schema, std::string_view name) {
  const json::value* value = Member(&schema, name);
  return value == nullptr ? "any" : json::serialize(*value);
}

std::string Names(const json::value* object) {
  std::string text;
  if (object != nullptr && object->is_object()) {
    for (const auto& entry : object->get_object()) {
      text.append(text.empty() ? "" : ", ").append(entry.key());
    }
  }
  return text;
}

// What the schema allows at one place, in words.
std::string DescribeSchema(const json::value& schema) {
  if (const json::value* values = Member(&schema, "enum")) {
    return "one of " + json::serialize(*values);
  }
  const json::value* type = Member(&schema, "type");
  if (type == nullptr || !type->is_string()) {
    return "a value of the schema";
  }
  const std::string_view name = type->get_string();
  if (name == "integer") {
    return "integer from " + Number(schema, "minimum") + " to " +
           Number(schema, "maximum");
  }
  if (name == "string") {
    const json::value* shortest = Member(&schema, "minLength");
    return "text of " + (shortest ? json::serialize(*shortest) : "0") + " to " +
           Number(schema, "maxLength") + " characters";
  }
  if (name == "array") {
    const json::value* least = Member(&schema, "minItems");
    return "list of " + (least ? json::serialize(*least) : "0") + " to " +
           Number(schema, "maxItems") + " entries";
  }
  if (name == "boolean") {
    return "true or false";
  }
  return "object with the fields " + Names(Member(&schema, "properties"));
}

Error MakeError(std::string message,
                const Path& path,
                std::string value,
                std::string allowed) {
  return {ErrorCode::kInvalidArgument, std::move(message), ToPointer(path),
          std::move(value), std::move(allowed)};
}

// Errors of an object's member names.
void CheckMembers(const json::object& object,
                  const json::value& schema,
                  const Path& path,
                  std::vector<Error>& errors) {
  const json::value* properties = Member(&schema, "properties");
  Path member = path;
  member.emplace_back();
  for (const auto& entry : object) {
    if (Member(properties, entry.key()) == nullptr) {
      member.back() = std::string(entry.key());
      errors.push_back(MakeError("unknown field", member,
                                 DescribeValue(entry.value()),
                                 "one of the fields " + Names(properties)));
    }
  }
  const json::value* required = Member(&schema, "required");
  if (required == nullptr) {
    return;
  }
  for (const json::value& name : required->as_array()) {
    if (object.if_contains(name.as_string()) == nullptr) {
      member.back() = std::string(name.as_string());
      const json::value* wanted = Member(properties, member.back());
      errors.push_back(MakeError("missing field", member, "absent",
                                 DescribeSchema(wanted ? *wanted : schema)));
    }
  }
}

}  // namespace

class JsonSchema::Impl {
 public:
  explicit Impl(std::string_view text) : m_text(json::parse(text)) {
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::BoostJsonAdapter(m_text),
                          m_schema);
  }

  std::vector<Error> Check(const json::value& document) const {
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(m_schema,
                           valijson::adapters::BoostJsonAdapter(document),
                           &results)) {
      return {};
    }
    // A field's failure is reported for each object around it as well.
    std::set<Path> places;
    for (const auto& failure : results) {
      places.insert(ToPath(failure.context));
    }
    std::vector<Error> errors;
    for (const Path& path : places) {
      const std::size_t before = errors.size();
      CheckPlace(document, path, errors);
      if (errors.size() == before && !HasInner(places, path)) {
        AddWrongValue(document, path, errors);
      }
    }
    return errors;
  }

 private:
  static bool HasInner(const std::set<Path>& places, const Path& path) {
    const auto next = places.upper_bound(path);
    return next != places.end() && next->size() > path.size() &&
           std::equal(path.begin(), path.end(), next->begin());
  }

  void CheckPlace(const json::value& document,
                  const Path& path,
                  std::vector<Error>& errors) const {
    const json::value* value = FindInDocument(document, path);
    const json::value* schema = FindInSchema(m_text, path);
    if (value != nullptr && schema != nullptr && value->is_object() &&
        Member(schema, "properties") != nullptr) {
      CheckMembers(value->get_object(), *schema, path, errors);
    }
  }

  void AddWrongValue(const json::value& document,
                     const Path& path,
                     std::vector<Error>& errors) const {
    const json::value* value = FindInDocument(document, path);
    const json::value* schema = FindInSchema(m_text, path);
    errors.push_back(MakeError(
        "value is not allowed", path, value ? DescribeValue(*value) : "absent",
        schema ? DescribeSchema(*schema) : "a value of the schema"));
  }

  json::value m_text;
  valijson::Schema m_schema;
};

JsonSchema::JsonSchema(std::string_view text)
    : m_impl(std::make_unique<Impl>(text)) {}

JsonSchema::~JsonSchema() = default;

std::vector<Error> JsonSchema::Check(const json::value& document) const {
  return m_impl->Check(document);
}

}  // namespace snipehall
