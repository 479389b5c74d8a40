#include "protocol/json_difference.h"

#include <boost/json.hpp>
#include <optional>

namespace snipehall {

namespace json = boost::json;

namespace {

using Members = std::vector<std::pair<std::string, const json::value*>>;

std::optional<std::string> NameOf(const json::value& value) {
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

Members MembersOf(const json::value& value) {
  Members members;
  if (const json::object* object = value.if_object()) {
    for (const auto& entry : *object) {
      members.emplace_back(entry.key(), &entry.value());
    }
  } else if (const json::array* array = value.if_array()) {
    for (std::size_t i = 0; i < array->size(); ++i) {
      const json::value& entry = (*array)[i];
      members.emplace_back(NameOf(entry).value_or(std::to_string(i)), &entry);
    }
  }
  return members;
}

const json::value* Find(const Members& members, const std::string& name) {
  for (const auto& [key, value] : members) {
    if (key == name) {
      return value;
    }
  }
  return nullptr;
}

std::string Join(const std::string& place, const std::string& name) {
  std::string joined = place;
  joined.append("/").append(name);
  return joined;
}

void Compare(const json::value& before,
             const json::value& after,
             const std::string& place,
             std::vector<JsonDifference>& differences) {
  if (before == after) {
    return;
  }
  if (before.kind() != after.kind() || !before.is_structured()) {
    differences.push_back(
        {place, json::serialize(before), json::serialize(after)});
    return;
  }
  const Members old_members = MembersOf(before);
  const Members new_members = MembersOf(after);
  const std::size_t found = differences.size();
  for (const auto& [name, value] : old_members) {
    const std::string inner = Join(place, name);
    if (const json::value* other = Find(new_members, name)) {
      Compare(*value, *other, inner, differences);
    } else {
      differences.push_back({inner, json::serialize(*value), ""});
    }
  }
  for (const auto& [name, value] : new_members) {
    if (Find(old_members, name) == nullptr) {
      differences.push_back({Join(place, name), "", json::serialize(*value)});
    }
  }
  if (differences.size() == found) {
    // Only the order of a list differs.
    differences.push_back(
        {place, json::serialize(before), json::serialize(after)});
  }
}

}  // namespace

std::vector<JsonDifference> FindDifferences(const json::value& before,
                                            const json::value& after) {
  std::vector<JsonDifference> differences;
  Compare(before, after, "", differences);
  return differences;
}

}  // namespace snipehall
