#pragma once

#include <boost/beast/http/message.hpp>
#include <string>
#include <string_view>

#include "protocol/gateway_headers.h"
#include "state/types.h"

namespace snipehall {

// Returns the digest of a caller's request: XXH3, 64 bits, of the method, host,
// path with query, key and body. Each attempt of a request has the same digest
// at every instance, whatever its ID and the time left.
RequestDigest DigestRequest(const boost::beast::http::request_header<>& head,
                            const GatewayHeaderNames& names,
                            std::string_view body);

// The digest in hexadecimal, for event logs.
std::string ToString(RequestDigest digest);

}  // namespace snipehall
