#include "protocol/json_pretty.h"

#include <boost/json.hpp>

namespace snipehall {

namespace json = boost::json;

namespace {

void Write(const json::value& value, std::size_t depth, std::string& text);

// Writes the entries of an object or a list between its brackets.
template <typename Container, typename WriteEntry>
void WriteEntries(const Container& entries,
                  std::string_view brackets,
                  std::size_t depth,
                  std::string& text,
                  WriteEntry write_entry) {
  text += brackets[0];
  bool first = true;
  for (const auto& entry : entries) {
    text.append(first ? "\n" : ",\n").append(2 * depth + 2, ' ');
    write_entry(entry);
    first = false;
  }
  if (!first) {
    text.append("\n").append(2 * depth, ' ');
  }
  text += brackets[1];
}

void Write(const json::value& value, std::size_t depth, std::string& text) {
  if (const json::object* object = value.if_object()) {
    WriteEntries(*object, "{}", depth, text, [&](const auto& entry) {
      text.append(json::serialize(json::string(entry.key()))).append(": ");
      Write(entry.value(), depth + 1, text);
    });
  } else if (const json::array* array = value.if_array()) {
    WriteEntries(*array, "[]", depth, text, [&](const json::value& entry) {
      Write(entry, depth + 1, text);
    });
  } else {
    text += json::serialize(value);
  }
}

}  // namespace

std::string PrettyJson(const json::value& value) {
  std::string text;
  Write(value, 0, text);
  return text;
}

}  // namespace snipehall
