#include "protocol/json_fields.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <climits>
#include <cmath>
#include <utility>

#include "state/hash_range.h"

namespace snipehall {

namespace {}  // namespace

JsonFields::JsonFields(const boost::json::value& value,
                       std::string pointer,
                       std::optional<Error>* error)
    : m_object(value.if_object()),
      m_pointer(std::move(pointer)),
      m_error(error) {
  if (m_object == nullptr && !m_error->has_value()) {
    *m_error = Error{ErrorCode::kCorrupt, "expected a JSON object", m_pointer,
                     DescribeValue(value), "an object"};
  }
}

bool JsonFields::Has(std::string_view name) const {
  return m_object != nullptr && m_object->contains(name);
}

std::uint64_t JsonFields::Unsigned(std::string_view name) {
  const boost::json::value* member = Find(name);
  if (member == nullptr) {
    return 0;
  }
  boost::system::error_code conversion_error;
  const auto number = member->to_number<std::uint64_t>(conversion_error);
  if (conversion_error || member->is_double()) {
    Reject(name, "an integer from 0 to 18446744073709551615");
    return 0;
  }
  return number;
}

std::int64_t JsonFields::Signed(std::string_view name, std::int64_t min) {
  const boost::json::value* member = Find(name);
  if (member == nullptr) {
    return 0;
  }
  boost::system::error_code conversion_error;
  const auto number = member->to_number<std::int64_t>(conversion_error);
  if (conversion_error || member->is_double() || number < min) {
    Reject(name, "a 64-bit integer not below " + std::to_string(min));
    return 0;
  }
  return number;
}

int JsonFields::Count(std::string_view name) {
  const std::int64_t number = Signed(name, 0);
  if (number > INT_MAX) {
    Reject(name, "an integer from 0 to 2147483647");
    return 0;
  }
  return static_cast<int>(number);
}

double JsonFields::Number(std::string_view name) {
  const boost::json::value* member = Find(name);
  if (member == nullptr) {
    return 0;
  }
  boost::system::error_code conversion_error;
  const auto number = member->to_number<double>(conversion_error);
  if (conversion_error || !std::isfinite(number)) {
    Reject(name, "a finite number");
    return 0;
  }
  return number;
}

bool JsonFields::Boolean(std::string_view name) {
  const boost::json::value* member = Find(name);
  if (member == nullptr) {
    return false;
  }
  if (!member->is_bool()) {
    Reject(name, "true or false");
    return false;
  }
  return member->get_bool();
}

std::string JsonFields::String(std::string_view name) {
  const boost::json::value* member = Find(name);
  if (member == nullptr) {
    return {};
  }
  const boost::json::string* text = member->if_string();
  if (text == nullptr) {
    Reject(name, "a string");
    return {};
  }
  return std::string(*text);
}

std::string JsonFields::NonEmptyString(std::string_view name) {
  std::string text = String(name);
  if (text.empty()) {
    Reject(name, "a string that is not empty");
  }
  return text;
}

std::uint64_t JsonFields::Hex(std::string_view name) {
  const boost::json::value* member = Find(name);
  if (member == nullptr) {
    return 0;
  }
  const boost::json::string* text = member->if_string();
  const Result<std::uint64_t> number =
      ParseHex(text == nullptr ? std::string_view() : std::string_view(*text));
  if (!number.has_value()) {
    Reject(name, "a string of 16 hexadecimal digits");
    return 0;
  }
  return number.value();
}

const boost::json::array& JsonFields::Array(std::string_view name) {
  static const boost::json::array kEmpty;
  const boost::json::value* member = Find(name);
  if (member == nullptr) {
    return kEmpty;
  }
  const boost::json::array* array = member->if_array();
  if (array == nullptr) {
    Reject(name, "an array");
    return kEmpty;
  }
  return *array;
}

void JsonFields::RejectOthers(std::initializer_list<std::string_view> names) {
  if (m_object == nullptr) {
    return;
  }
  for (const auto& member : *m_object) {
    const std::string_view name = member.key();
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      Reject(name, "no member of this name");
    }
  }
}

void JsonFields::Reject(std::string_view name, std::string_view allowed) {
  if (m_error->has_value()) {
    return;
  }
  const boost::json::value* member =
      m_object == nullptr ? nullptr : m_object->if_contains(name);
  const std::string pointer = PointerTo(name);
  *m_error = Error{
      ErrorCode::kCorrupt,
      "unexpected value at " + pointer + ", allowed is " + std::string(allowed),
      pointer, member == nullptr ? std::string() : DescribeValue(*member),
      std::string(allowed)};
}

std::string JsonFields::PointerTo(std::string_view name) const {
  return m_pointer + "/" + std::string(name);
}

const boost::json::value* JsonFields::Find(std::string_view name) {
  if (m_object == nullptr) {
    return nullptr;
  }
  const boost::json::value* member = m_object->if_contains(name);
  if (member == nullptr && !m_error->has_value()) {
    const std::string pointer = PointerTo(name);
    *m_error = Error{ErrorCode::kCorrupt, "missing member " + pointer, pointer,
                     "", "required"};
  }
  return member;
}

}  // namespace snipehall
