#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "process/support/wait_until.h"

namespace snipehall::test {

// Parses "IP-number:port". Throws if the text has another form.
boost::asio::ip::tcp::endpoint ParseAddress(std::string_view text);

// A request to send with HttpClient.
struct HttpClientRequest {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string path = "/";
  std::map<std::string, std::string> headers = {};
  std::string body = {};
};

// A response received by HttpClient.
struct HttpClientResponse {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  // Value of the header, or empty if it is missing. `name` is in lower case, as
  // are the names in `headers`.
  std::string Header(const std::string& name) const;
};

// Convert between these types and the messages of Beast.
boost::beast::http::request<boost::beast::http::string_body> ToRequest(
    const HttpClientRequest& http_request);

HttpClientResponse ToResponse(
    boost::beast::http::response<boost::beast::http::string_body> response);

// A blocking HTTP/1.1 client with one persistent connection. It connects on the
// first request and reconnects after a failure.
class HttpClient {
 public:
  explicit HttpClient(std::string address) : m_address(std::move(address)) {}

  // Sends a request and returns the response, whatever its status. Returns
  // nullopt if no complete response came by `deadline` or the connection
  // failed.
  std::optional<HttpClientResponse> Send(const HttpClientRequest& http_request,
                                         Clock::time_point deadline);

  // Send a request with a timeout of 10 s and return the body of the response.
  // Throw TestFailure unless the status is 200.
  std::string Get(const std::string& path);
  std::string Post(const std::string& path, std::string body);
  std::string Put(const std::string& path, std::string body);

 private:
  std::string SendExpectingOk(const HttpClientRequest& http_request);
  bool Exchange(
      const boost::beast::http::request<boost::beast::http::string_body>&
          request,
      boost::beast::http::response<boost::beast::http::string_body>& response,
      Clock::time_point deadline);

  std::string m_address;
  boost::asio::io_context m_context{1};
  std::unique_ptr<boost::beast::tcp_stream> m_stream;
  boost::beast::flat_buffer m_buffer;
};

}  // namespace snipehall::test
