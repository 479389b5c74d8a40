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

// Longer than the daemon may take for a publication.
constexpr std::chrono::seconds kTimeLimit{20};
constexpr std::uint64_t kBodyLimit = 67108864;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// One exchange on a connection of its own, with a time limit for all of it.
class Exchanger {
 public:
  Result<Response> Run(const asio::ip::tcp::endpoint& endpoint,
                       const Request& request) {
    m_stream.expires_after(kTimeLimit);
    m_stream.async_connect(
        endpoint, [this](boost::system::error_code error) { m_error = error; });
    if (!RunStep()) {
      return Fail(ErrorCode::kUnavailable,
                  "cannot connect: " + m_error.message());
    }
    http::async_write(m_stream, request,
                      [this](boost::system::error_code error, std::size_t) {
                        m_error = error;
                      });
    const bool written = RunStep();
    // A refusal may come before the whole request has been written.
    http::response_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    http::async_read(m_stream, m_buffer, parser,
                     [this](boost::system::error_code error, std::size_t) {
                       m_error = error;
                     });
    if (!RunStep()) {
      return Fail(written ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
                  "no answer: " + m_error.message());
    }
    return parser.release();
  }

 private:
  bool RunStep() {
    m_context.restart();
    m_context.run();
    return !m_error;
  }

  asio::io_context m_context;
  beast::tcp_stream m_stream{m_context};
  beast::flat_buffer m_buffer;
  boost::system::error_code m_error;
};

AdminAnswer ToAnswer(const Response& response) {
  AdminAnswer answer;
  json::error_code error;
  answer.body = json::parse(response.body(), error);
  if (response.result() == http::status::ok && !error) {
    return answer;
  }
  const json::object* object = answer.body.if_object();
  const json::value* list = object ? object->if_contains("errors") : nullptr;
  if (list != nullptr && list->is_array()) {
    for (const json::value& entry : list->get_array()) {
      answer.errors.push_back(ErrorFromJson(entry));
    }
  } else if (const json::value* one =
                 object ? object->if_contains("error") : nullptr) {
    answer.errors.push_back(ErrorFromJson(*one));
  }
  if (answer.errors.empty()) {
    answer.errors.push_back(
        {ErrorCode::kUnavailable,
         "not an answer of the administration API, status " +
             std::to_string(response.result_int())});
  }
  return answer;
}

}  // namespace

AdminClient::AdminClient(std::string address, std::string token)
    : m_address(std::move(address)), m_token(std::move(token)) {}

Result<AdminAnswer> AdminClient::Get(const std::string& resource) const {
  return Exchange(resource, nullptr);
}

Result<AdminAnswer> AdminClient::Post(const std::string& resource,
                                      const json::value& body) const {
  return Exchange(resource, &body);
}

Result<AdminAnswer> AdminClient::Exchange(const std::string& resource,
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
  const auto response = Exchanger().Run(endpoint.value(), request);
  if (!response) {
    return response.error();
  }
  return ToAnswer(response.value());
}

std::string EscapeQuery(std::string_view text) {
  return boost::urls::encode(boost::core::string_view(text.data(), text.size()),
                             boost::urls::unreserved_chars);
}

}  // namespace snipehall
