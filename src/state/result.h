#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <utility>

namespace snipehall {

enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kRefused,
  kCorrupt,
  kBusy,
};

// Describes an expected failure. `pointer`, `value` and `allowed` are set for
// errors in a JSON document: the field's JSON pointer, the value found there
// and what is allowed instead.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;
  std::string pointer = {};
  std::string value = {};
  std::string allowed = {};

  bool operator==(const Error&) const = default;
};

// Result of a factory or of an operation that may fail in normal operation.
// Access to the value of a failed result throws.
template <typename T>
using Result = boost::outcome_v2::checked<T, Error>;

// Returns a failure that converts to any Result.
inline auto Fail(ErrorCode code, std::string message) {
  return boost::outcome_v2::failure(Error{code, std::move(message)});
}

}  // namespace snipehall
