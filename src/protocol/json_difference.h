#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace snipehall {

// One place at which two documents differ. `before` or `after` is empty when
// the place exists in one of them only; otherwise it is JSON text.
struct JsonDifference {
  // As a JSON pointer, but entries of lists that have a "name" or a "target"
  // are called by it and not by their index.
  std::string place;
  std::string before;
  std::string after;

  bool operator==(const JsonDifference&) const = default;
};

// The places at which `after` differs from `before`, in their order.
std::vector<JsonDifference> FindDifferences(const boost::json::value& before,
                                            const boost::json::value& after);

}  // namespace snipehall
