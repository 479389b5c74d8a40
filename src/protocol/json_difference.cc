#include "protocol/json_difference.h"

#include <boost/json.hpp>
#include <optional>

namespace snipehall {

namespace json = boost::json;

namespace {

using Members = std::vector<std::pair<std::string, const json::value*>>;

// Returns the "name" or "target" of an array element, if it has one.
std::optional<std::string> ElementName(const json::value& value) {
  const json::object* object = value.if_object();
  for (const char* member : {"name", "target"}) {
    const json::value* name =
        object != nullptr ? object->if_contains(member) : nullptr;
    if (name != nullptr && name->is_string()) {
      return std::string(name->get_string());
    }
  }
  return std::nullopt;
}

// Returns the members of an object, or the elements of an array under their
// names or indexes.
Members ListMembers(const json::value& value) {
  Members members;
  if (const json::object* object = value.if_object()) {
    for (const auto& entry : *object) {
      members.emplace_back(entry.key(), &entry.value());
    }
  } else if (const json::array* array = value.if_array()) {
    for (std::size_t i = 0; i < array->size(); ++i) {
      const json::value& entry = (*array)[i];
      members.emplace_back(ElementName(entry).value_or(std::to_string(i)),
                           &entry);
    }
  }
  return members;
}

const json::value* FindMember(const Members& members, const std::string& name) {
  for (const auto& [key, value] : members) {
    if (key == name) {
      return value;
    }
  }
  return nullptr;
}

std::string JoinPath(const std::string& path, const std::string& name) {
  std::string joined = path;
  joined.append("/").append(name);
  return joined;
}

// Appends the differences of two values at `path`.
void CompareValues(const json::value& before,
                   const json::value& after,
                   const std::string& path,
                   std::vector<JsonDifference>& differences) {
  if (before == after) {
    return;
  }
  if (before.kind() != after.kind() || !before.is_structured()) {
    differences.push_back(
        {path, json::serialize(before), json::serialize(after)});
    return;
  }
  const Members old_members = ListMembers(before);
  const Members new_members = ListMembers(after);
  const std::size_t previous_count = differences.size();
  for (const auto& [name, value] : old_members) {
    const std::string member_path = JoinPath(path, name);
    if (const json::value* other = FindMember(new_members, name)) {
      CompareValues(*value, *other, member_path, differences);
    } else {
      differences.push_back({member_path, json::serialize(*value), ""});
    }
  }
  for (const auto& [name, value] : new_members) {
    if (FindMember(old_members, name) == nullptr) {
      differences.push_back(
          {JoinPath(path, name), "", json::serialize(*value)});
    }
  }
  if (differences.size() == previous_count) {
    // Only the order of an array's elements differs.
    differences.push_back(
        {path, json::serialize(before), json::serialize(after)});
  }
}

}  // namespace

std::vector<JsonDifference> FindDifferences(const json::value& before,
                                            const json::value& after) {
  std::vector<JsonDifference> differences;
  CompareValues(before, after, "", differences);
  return differences;
}

}  // namespace snipehall
