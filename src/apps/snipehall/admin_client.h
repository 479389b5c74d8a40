#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "state/result.h"

namespace snipehall {

// An answer of the administration API.
struct AdminAnswer {
  // Empty when the request succeeded.
  std::vector<Error> errors;
  boost::json::value body;
};

// Sends requests to the administration API of one instance, each on a
// connection of its own.
class AdminClient {
 public:
  // An empty token is not sent.
  AdminClient(std::string address, std::string token);

  // Fail with kUnavailable when the instance cannot be reached, and with
  // kTimeout when a sent request was not answered within 20 s.
  Result<AdminAnswer> Get(const std::string& resource) const;
  Result<AdminAnswer> Post(const std::string& resource,
                           const boost::json::value& body) const;

 private:
  Result<AdminAnswer> Exchange(const std::string& resource,
                               const boost::json::value* body) const;

  std::string m_address;
  std::string m_token;
};

// Escapes text for a query.
std::string EscapeQuery(std::string_view text);

}  // namespace snipehall
