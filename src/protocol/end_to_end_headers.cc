#include "protocol/end_to_end_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>

namespace snipehall {

namespace {

namespace http = boost::beast::http;

// Headers that concern one connection only or frame the message.
bool IsConnectionSpecific(http::field name) {
  switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
      return true;
    default:
      return false;
  }
}

// Returns whether `connection`, the value of a Connection header, lists the
// field `name`.
bool IsConnectionOption(boost::beast::string_view connection,
                        boost::beast::string_view name) {
  return !connection.empty() && http::token_list{connection}.exists(name);
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

bool IsHopByHop(const http::fields& fields,
                const http::fields::value_type& field) {
  if (IsConnectionSpecific(field.name())) {
    return true;
  }
  const auto connections = fields.equal_range(http::field::connection);
  return std::any_of(
      connections.first, connections.second, [&field](const auto& connection) {
        return IsConnectionOption(connection.value(), field.name_string());
      });
}

void AppendField(std::string_view name,
                 std::string_view value,
                 std::string& out) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void AppendField(std::string_view name, std::uint64_t value, std::string& out) {
  std::array<char, 20> digits;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  AppendField(name, std::string_view(digits.data(), end), out);
}

}  // namespace snipehall
