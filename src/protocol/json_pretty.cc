#include "protocol/json_pretty.h"

#include <boost/json.hpp>

namespace snipehall {

namespace json = boost::json;

namespace {

void AppendValue(const json::value& value,
                 std::size_t depth,
                 std::string& text);

// Appends the members of an object or the elements of an array between its
// brackets.
template <typename Container, typename AppendEntry>
void AppendEntries(const Container& entries,
                   std::string_view brackets,
                   std::size_t depth,
                   std::string& text,
                   AppendEntry append_entry) {
  text += brackets[0];
  bool first = true;
  for (const auto& entry : entries) {
    text.append(first ? "\n" : ",\n").append(2 * depth + 2, ' ');
    append_entry(entry);
    first = false;
  }
  if (!first) {
    text.append("\n").append(2 * depth, ' ');
  }
  text += brackets[1];
}

void AppendValue(const json::value& value,
                 std::size_t depth,
                 std::string& text) {
  if (const json::object* object = value.if_object()) {
    AppendEntries(*object, "{}", depth, text, [&](const auto& entry) {
      text.append(json::serialize(json::string(entry.key()))).append(": ");
      AppendValue(entry.value(), depth + 1, text);
    });
  } else if (const json::array* array = value.if_array()) {
    AppendEntries(*array, "[]", depth, text, [&](const json::value& entry) {
      AppendValue(entry, depth + 1, text);
    });
  } else {
    text += json::serialize(value);
  }
}

}  // namespace

std::string PrettyJson(const json::value& value) {
  std::string text;
  AppendValue(value, 0, text);
  return text;
}

}  // namespace snipehall
