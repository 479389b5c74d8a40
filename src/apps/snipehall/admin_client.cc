#include "apps/snipehall/admin_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "protocol/error_json.h"
#include "transport/tcp_endpoint.h"

namespace snipehall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

// Limit for one request and its response; longer than the daemon's limit for a
// publication.
constexpr std::chrono::seconds kExchangeTimeout{20};
// Limit for the body of a response.
constexpr std::uint64_t kMaxBodyBytes = 67108864;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// Sends one request on a new connection and reads the response, with one
// timeout for the whole exchange.
class HttpExchange {
 public:
  Result<Response> Run(const asio::ip::tcp::endpoint& endpoint,
                       const Request& request) {
    m_stream.expires_after(kExchangeTimeout);
    m_stream.async_connect(
        endpoint, [this](boost::system::error_code error) { m_error = error; });
    if (!RunOperation()) {
      return Fail(ErrorCode::kUnavailable,
                  "cannot connect: " + m_error.message());
    }
    http::async_write(m_stream, request,
                      [this](boost::system::error_code error, std::size_t) {
                        m_error = error;
                      });
    const bool written = RunOperation();
    // The server may send an error response before it has read the whole
    // request, so read the response even when writing failed.
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    http::async_read(m_stream, m_buffer, parser,
                     [this](boost::system::error_code error, std::size_t) {
                       m_error = error;
                     });
    if (!RunOperation()) {
      return Fail(written ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
                  "no response: " + m_error.message());
    }
    return parser.release();
  }

 private:
  bool RunOperation() {
    m_context.restart();
    m_context.run();
    return !m_error;
  }

  asio::io_context m_context;
  beast::tcp_stream m_stream{m_context};
  beast::flat_buffer m_buffer;
  boost::system::error_code m_error;
};

AdminApiResponse ParseApiResponse(const Response& response) {
  AdminApiResponse parsed;
  json::error_code error;
  parsed.body = json::parse(response.body(), error);
  if (response.result() == http::status::ok && !error) {
    return parsed;
  }
  const json::object* object = parsed.body.if_object();
  const json::value* error_list =
      object ? object->if_contains("errors") : nullptr;
  if (error_list != nullptr && error_list->is_array()) {
    for (const json::value& entry : error_list->get_array()) {
      parsed.errors.push_back(ErrorFromJson(entry));
    }
  } else if (const json::value* single_error =
                 object ? object->if_contains("error") : nullptr) {
    parsed.errors.push_back(ErrorFromJson(*single_error));
  }
  if (parsed.errors.empty()) {
    parsed.errors.push_back(
        {ErrorCode::kUnavailable,
         "unexpected response from the administration API, status " +
             std::to_string(response.result_int())});
  }
  return parsed;
}

}  // namespace

AdminClient::AdminClient(std::string address, std::string token)
    : m_address(std::move(address)), m_token(std::move(token)) {}

Result<AdminApiResponse> AdminClient::Get(const std::string& resource) const {
  return SendRequest(resource, nullptr);
}

Result<AdminApiResponse> AdminClient::Post(const std::string& resource,
                                           const json::value& body) const {
  return SendRequest(resource, &body);
}

Result<AdminApiResponse> AdminClient::SendRequest(
    const std::string& resource,
    const json::value* body) const {
  const auto endpoint = ParseTcpEndpoint(m_address);
  if (!endpoint) {
    return endpoint.error();
  }
  Request request(body == nullptr ? http::verb::get : http::verb::post,
                  "/admin/v1/" + resource, 11);
  request.set(http::field::host, m_address);
  request.set(http::field::connection, "close");
  if (!m_token.empty()) {
    request.set(http::field::authorization, "Bearer " + m_token);
  }
  if (body != nullptr) {
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(*body);
  }
  request.prepare_payload();
  const auto response = HttpExchange().Run(endpoint.value(), request);
  if (!response) {
    return response.error();
  }
  return ParseApiResponse(response.value());
}

std::string EncodeQueryValue(std::string_view text) {
  return boost::urls::encode(boost::core::string_view(text.data(), text.size()),
                             boost::urls::unreserved_chars);
}

}  // namespace snipehall
