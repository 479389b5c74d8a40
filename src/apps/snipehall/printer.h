#pragma once

#include <boost/json/value.hpp>
#include <vector>

#include "state/result.h"

namespace snipehall {

// Prints API responses and errors as readable text or as JSON.
class Printer {
 public:
  explicit Printer(bool json) : m_json(json) {}

  // Prints a response to standard output.
  void Print(const boost::json::value& response) const;

  // Prints errors: as {"errors": [...]} to standard output, or as text to
  // standard error.
  void PrintErrors(const std::vector<Error>& errors) const;

 private:
  bool m_json;
};

}  // namespace snipehall
