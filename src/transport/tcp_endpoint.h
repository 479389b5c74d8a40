#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Parses "IP address:port", with an IPv6 address in brackets. Fails with
// kInvalidArgument for anything else. Host names are not accepted, because
// resolving them would block the event loop.
Result<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(std::string_view text);

// Formats the endpoint in the form accepted by ParseTcpEndpoint().
std::string ToString(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace snipehall
