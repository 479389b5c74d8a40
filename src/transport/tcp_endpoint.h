#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "state/result.h"

namespace snipehall {

// Reads "IP-number:port", with an IPv6 number in brackets. Names are refused,
// because resolving one would block an event loop.
Result<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(std::string_view text);

std::string ToString(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace snipehall
