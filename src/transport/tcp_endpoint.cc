#include "transport/tcp_endpoint.h"

#include <charconv>
#include <cstdint>
#include <sstream>

namespace snipehall {
namespace {

auto InvalidEndpoint(std::string_view text) {
  return Fail(ErrorCode::kInvalidArgument,
              "not an IP address and port: " + std::string(text));
}

}  // namespace

Result<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return InvalidEndpoint(text);
  }
  std::string_view host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error) {
    return InvalidEndpoint(text);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, parse_error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parse_error != std::errc() || end != digits.data() + digits.size()) {
    return InvalidEndpoint(text);
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string ToString(const boost::asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace snipehall
