#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace snipehall {

// A difference between two JSON documents. `before` and `after` are the values
// as JSON text; one of them is empty if only the other document has a value at
// this path.
struct JsonDifference {
  // A JSON pointer, except that array elements with a "name" or "target" member
  // are identified by its value instead of their index.
  std::string pointer;
  std::string before;
  std::string after;

  bool operator==(const JsonDifference&) const = default;
};

// Returns the differences between the documents: changed and removed values in
// the order of `before`, and added ones after those of the same object or
// array.
std::vector<JsonDifference> FindDifferences(const boost::json::value& before,
                                            const boost::json::value& after);

}  // namespace snipehall
