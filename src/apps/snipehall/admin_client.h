#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "state/result.h"

namespace snipehall {

// A response of the administration API.
struct AdminApiResponse {
  // Empty when the request succeeded.
  std::vector<Error> errors;
  boost::json::value body;
};

// Client of one instance's administration API. Opens a new connection for each
// request and blocks until the response has arrived.
class AdminClient {
 public:
  // `address` is "IP-number:port". An empty token is not sent.
  AdminClient(std::string address, std::string token);

  // Send a request for a resource below /admin/v1/. Both fail with
  // kInvalidArgument for a malformed address, with kUnavailable when the
  // request could not be sent, and with kTimeout when it was sent but no
  // response arrived within 20 s or before the connection closed; its outcome
  // is unknown then.
  Result<AdminApiResponse> Get(const std::string& resource) const;
  Result<AdminApiResponse> Post(const std::string& resource,
                                const boost::json::value& body) const;

 private:
  Result<AdminApiResponse> SendRequest(const std::string& resource,
                                       const boost::json::value* body) const;

  std::string m_address;
  std::string m_token;
};

// Percent-encodes text for use as a query parameter value.
std::string EncodeQueryValue(std::string_view text);

}  // namespace snipehall
