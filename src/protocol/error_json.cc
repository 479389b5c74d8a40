#include "protocol/error_json.h"

#include <boost/json.hpp>
#include <utility>

namespace snipehall {

namespace json = boost::json;

namespace {

constexpr std::pair<ErrorCode, std::string_view> kErrorCodeNames[] = {
    {ErrorCode::kInvalidArgument, "invalid_argument"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kRefused, "refused"},
    {ErrorCode::kCorrupt, "corrupt"},
    {ErrorCode::kBusy, "busy"},
};

}  // namespace

std::string_view ToString(ErrorCode code) {
  for (const auto& [value, name] : kErrorCodeNames) {
    if (value == code) {
      return name;
    }
  }
  return "unavailable";
}

json::object ErrorToJson(const Error& error) {
  return {{"code", ToString(error.code)},
          {"message", error.message},
          {"pointer", error.pointer},
          {"value", error.value},
          {"allowed", error.allowed}};
}

Error ErrorFromJson(const json::value& value) {
  const auto get_text = [&value](std::string_view name) {
    const json::object* object = value.if_object();
    const json::value* member = object ? object->if_contains(name) : nullptr;
    const json::string* found = member ? member->if_string() : nullptr;
    return found ? std::string(*found) : std::string();
  };
  Error error{ErrorCode::kUnavailable, get_text("message"), get_text("pointer"),
              get_text("value"), get_text("allowed")};
  for (const auto& [code, name] : kErrorCodeNames) {
    if (get_text("code") == name) {
      error.code = code;
    }
  }
  return error;
}

}  // namespace snipehall
