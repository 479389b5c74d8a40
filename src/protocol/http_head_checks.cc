#include "protocol/http_head_checks.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace snipehall {

namespace {

namespace http = boost::beast::http;

Result<void> Invalid(const char* message) {
  return Fail(ErrorCode::kInvalidArgument, message);
}

}  // namespace

std::size_t FindHeadEnd(std::string_view data) {
  constexpr std::string_view kEmptyLine = "\r\n\r\n";
  const std::size_t found = data.find(kEmptyLine);
  return found == std::string_view::npos ? 0 : found + kEmptyLine.size();
}

Result<void> CheckHeadBytes(std::string_view head) {
  if (head.find('\0') != std::string_view::npos) {
    return Invalid("NUL byte in the head");
  }
  std::size_t start = 0;
  while (start < head.size()) {
    if (start > 0 && (head[start] == ' ' || head[start] == '\t')) {
      return Invalid("folded header line");
    }
    const std::size_t end = head.find('\n', start);
    const std::size_t carriage_return = head.find('\r', start);
    if (end == std::string_view::npos) {
      if (carriage_return < head.size() - 1) {
        return Invalid("carriage return inside a line");
      }
      break;
    }
    if (end == start || carriage_return != end - 1) {
      return Invalid("line does not end in CRLF");
    }
    start = end + 1;
  }
  return boost::outcome_v2::success();
}

Result<void> CheckRequestHead(const http::request_header<>& request) {
  if (request.version() != 11) {
    return Invalid("the version is not HTTP/1.1");
  }
  if (request.count(http::field::host) != 1) {
    return Invalid("expected exactly one Host header");
  }
  const std::size_t lengths = request.count(http::field::content_length);
  const std::size_t encodings = request.count(http::field::transfer_encoding);
  if (lengths + encodings > 1) {
    return Invalid("more than one header frames the body");
  }
  if (encodings == 1 &&
      !boost::beast::iequals(request[http::field::transfer_encoding],
                             "chunked")) {
    return Invalid("unknown transfer coding");
  }
  const auto length = request[http::field::content_length];
  if (lengths == 1 &&
      (length.empty() || !std::all_of(length.begin(), length.end(), [](char c) {
         return c >= '0' && c <= '9';
       }))) {
    return Invalid("the content length is not a number");
  }
  if (request.method() == http::verb::connect ||
      request.method() == http::verb::unknown) {
    return Invalid("unsupported method");
  }
  if (request.target().empty() || request.target().front() != '/') {
    return Invalid("the request target is not a path");
  }
  const auto expectations = request.equal_range(http::field::expect);
  if (std::any_of(
          expectations.first, expectations.second, [](const auto& field) {
            return !boost::beast::iequals(field.value(), "100-continue");
          })) {
    return Invalid("unknown expectation");
  }
  return boost::outcome_v2::success();
}

}  // namespace snipehall
