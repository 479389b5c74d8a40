#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/json_text.h"
#include "state/result.h"

namespace snipehall {

// Reads the members of a JSON object. The first member that is missing or has
// an invalid type or value sets `*error` (code kCorrupt, with the JSON pointer,
// the value and what is allowed). The getters return zero or an empty value for
// such a member, so that a caller reads all members and checks `*error` once.
class JsonFields {
 public:
  // `pointer` is the JSON pointer of `value`. `error` must outlive the reader
  // and may be shared by the readers of one document.
  JsonFields(const boost::json::value& value,
             std::string pointer,
             std::optional<Error>* error);

  bool Has(std::string_view name) const;

  // An integer from 0 to 2^64 - 1.
  std::uint64_t Unsigned(std::string_view name);
  // An integer not below `min`.
  std::int64_t Signed(std::string_view name, std::int64_t min);
  // An integer from 0 to INT_MAX.
  int Count(std::string_view name);
  // A finite number.
  double Number(std::string_view name);
  bool Boolean(std::string_view name);
  std::string String(std::string_view name);
  std::string NonEmptyString(std::string_view name);
  // A string of sixteen hexadecimal digits.
  std::uint64_t Hex(std::string_view name);
  const boost::json::array& Array(std::string_view name);

  // Sets the error if the object has a member whose name is not in `names`.
  void RejectOthers(std::initializer_list<std::string_view> names);

  // Sets the error for the member `name`, unless an error is already set.
  // `allowed` describes the valid values.
  void Reject(std::string_view name, std::string_view allowed);

  // Returns the JSON pointer of the member `name`.
  std::string PointerTo(std::string_view name) const;

 private:
  // Returns the member, or sets the error and returns null if it is missing.
  const boost::json::value* Find(std::string_view name);

  const boost::json::object* m_object;
  std::string m_pointer;
  std::optional<Error>* m_error;
};

}  // namespace snipehall
