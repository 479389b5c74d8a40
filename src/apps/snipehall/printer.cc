#include "apps/snipehall/printer.h"

#include <boost/json.hpp>
#include <iostream>
#include <string>

#include "protocol/error_json.h"

namespace snipehall {

namespace json = boost::json;

namespace {

std::string PlainText(const json::value& value) {
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

// Prints "name: value" lines, indented by nesting depth. Each element of an
// array is printed on one line.
void PrintLines(const json::object& object, const std::string& indent) {
  for (const auto& entry : object) {
    const json::value& value = entry.value();
    std::cout << indent << entry.key() << ':';
    if (value.is_object()) {
      std::cout << '\n';
      PrintLines(value.get_object(), indent + "  ");
      continue;
    }
    if (!value.is_array()) {
      std::cout << ' ' << PlainText(value) << '\n';
      continue;
    }
    std::cout << '\n';
    for (const json::value& element : value.get_array()) {
      std::cout << indent << "  - " << PlainText(element) << '\n';
    }
  }
}

}  // namespace

void Printer::Print(const json::value& response) const {
  if (m_json || !response.is_object()) {
    std::cout << json::serialize(response) << '\n';
  } else {
    PrintLines(response.get_object(), "");
  }
}

void Printer::PrintErrors(const std::vector<Error>& errors) const {
  if (m_json) {
    json::array array;
    for (const Error& error : errors) {
      array.push_back(ErrorToJson(error));
    }
    std::cout << json::serialize(json::object{{"errors", std::move(array)}})
              << '\n';
    return;
  }
  for (const Error& error : errors) {
    std::cerr << "snipehall: " << error.message;
    if (!error.pointer.empty()) {
      std::cerr << " at " << error.pointer;
    }
    if (!error.value.empty()) {
      std::cerr << "; found: " << error.value;
    }
    if (!error.allowed.empty()) {
      std::cerr << "; allowed: " << error.allowed;
    }
    std::cerr << '\n';
  }
}

}  // namespace snipehall
