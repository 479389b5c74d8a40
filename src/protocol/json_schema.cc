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

// Path of a field: member names and array indexes.
using Path = std::vector<std::string>;

// Converts valijson's context of an error to a path. The context begins with
// the root, and each name or index in it is in brackets.
Path ToPath(const std::vector<std::string>& context) {
  Path path;
  for (std::size_t i = 1; i < context.size(); ++i) {
    path.push_back(context[i].substr(1, context[i].size() - 2));
  }
  return path;
}

// Converts a path to a JSON pointer; '~' and '/' are escaped (RFC 6901).
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

// Returns the member `name`, or null if there is none or `value` is no object.
const json::value* FindMember(const json::value* value, std::string_view name) {
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
      found = FindMember(found, token);
    }
  }
  return found;
}

const json::value* FindInSchema(const json::value& schema, const Path& path) {
  const json::value* found = &schema;
  for (const std::string& token : path) {
    const json::value* items = FindMember(found, "items");
    found = items ? items : FindMember(FindMember(found, "properties"), token);
  }
  return found;
}

std::string LimitText(const json::value& schema, std::string_view name) {
  const json::value* value = FindMember(&schema, name);
  return value == nullptr ? "any" : json::serialize(*value);
}

std::string JoinMemberNames(const json::value* object) {
  std::string text;
  if (object != nullptr && object->is_object()) {
    for (const auto& entry : object->get_object()) {
      text.append(text.empty() ? "" : ", ").append(entry.key());
    }
  }
  return text;
}

// Describes the values that `schema` allows, for an error message.
std::string DescribeSchema(const json::value& schema) {
  if (const json::value* values = FindMember(&schema, "enum")) {
    return "one of " + json::serialize(*values);
  }
  const json::value* type = FindMember(&schema, "type");
  if (type == nullptr || !type->is_string()) {
    return "a value of the schema";
  }
  const std::string_view name = type->get_string();
  if (name == "integer") {
    return "integer from " + LimitText(schema, "minimum") + " to " +
           LimitText(schema, "maximum");
  }
  if (name == "string") {
    const json::value* min_length = FindMember(&schema, "minLength");
    return "text of " + (min_length ? json::serialize(*min_length) : "0") +
           " to " + LimitText(schema, "maxLength") + " characters";
  }
  if (name == "array") {
    const json::value* min_items = FindMember(&schema, "minItems");
    return "list of " + (min_items ? json::serialize(*min_items) : "0") +
           " to " + LimitText(schema, "maxItems") + " entries";
  }
  if (name == "boolean") {
    return "true or false";
  }
  return "object with the fields " +
         JoinMemberNames(FindMember(&schema, "properties"));
}

Error MakeError(std::string message,
                const Path& path,
                std::string value,
                std::string allowed) {
  return {ErrorCode::kInvalidArgument, std::move(message), ToPointer(path),
          std::move(value), std::move(allowed)};
}

// Appends an error for each unknown or missing member of an object.
void CheckMembers(const json::object& object,
                  const json::value& schema,
                  const Path& path,
                  std::vector<Error>& errors) {
  const json::value* properties = FindMember(&schema, "properties");
  Path member = path;
  member.emplace_back();
  for (const auto& entry : object) {
    if (FindMember(properties, entry.key()) == nullptr) {
      member.back() = std::string(entry.key());
      errors.push_back(
          MakeError("unknown field", member, DescribeValue(entry.value()),
                    "one of the fields " + JoinMemberNames(properties)));
    }
  }
  const json::value* required = FindMember(&schema, "required");
  if (required == nullptr) {
    return;
  }
  for (const json::value& name : required->as_array()) {
    if (object.if_contains(name.as_string()) == nullptr) {
      member.back() = std::string(name.as_string());
      const json::value* member_schema = FindMember(properties, member.back());
      errors.push_back(
          MakeError("missing field", member, "absent",
                    DescribeSchema(member_schema ? *member_schema : schema)));
    }
  }
}

}  // namespace

class JsonSchema::Impl {
 public:
  explicit Impl(std::string_view text) : m_json(json::parse(text)) {
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::BoostJsonAdapter(m_json),
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
    // valijson reports an invalid field for each enclosing object as well.
    std::set<Path> paths;
    for (const auto& failure : results) {
      paths.insert(ToPath(failure.context));
    }
    std::vector<Error> errors;
    for (const Path& path : paths) {
      const std::size_t before = errors.size();
      CheckMembersAt(document, path, errors);
      if (errors.size() == before && !HasNestedPath(paths, path)) {
        AddInvalidValue(document, path, errors);
      }
    }
    return errors;
  }

 private:
  // Returns whether `paths` holds a path to a field inside the one at `path`.
  static bool HasNestedPath(const std::set<Path>& paths, const Path& path) {
    const auto next = paths.upper_bound(path);
    return next != paths.end() && next->size() > path.size() &&
           std::equal(path.begin(), path.end(), next->begin());
  }

  void CheckMembersAt(const json::value& document,
                      const Path& path,
                      std::vector<Error>& errors) const {
    const json::value* value = FindInDocument(document, path);
    const json::value* schema = FindInSchema(m_json, path);
    if (value != nullptr && schema != nullptr && value->is_object() &&
        FindMember(schema, "properties") != nullptr) {
      CheckMembers(value->get_object(), *schema, path, errors);
    }
  }

  void AddInvalidValue(const json::value& document,
                       const Path& path,
                       std::vector<Error>& errors) const {
    const json::value* value = FindInDocument(document, path);
    const json::value* schema = FindInSchema(m_json, path);
    errors.push_back(MakeError(
        "value is not allowed", path, value ? DescribeValue(*value) : "absent",
        schema ? DescribeSchema(*schema) : "a value of the schema"));
  }

  json::value m_json;
  valijson::Schema m_schema;
};

JsonSchema::JsonSchema(std::string_view text)
    : m_impl(std::make_unique<Impl>(text)) {}

JsonSchema::~JsonSchema() = default;

std::vector<Error> JsonSchema::Check(const json::value& document) const {
  return m_impl->Check(document);
}

}  // namespace snipehall
