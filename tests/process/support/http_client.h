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

// Reads "IP-number:port". Throws for other text.
boost::asio::ip::tcp::endpoint ParseAddress(std::string_view text);

struct HttpClientRequest {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string path = "/";
  std::map<std::string, std::string> headers = {};
  std::string body = {};
};

struct HttpClientResponse {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  // The header's value, or empty. Names are in lower case.
  std::string Header(const std::string& name) const;
};

boost::beast::http::request<boost::beast::http::string_body> ToRequest(
    const HttpClientRequest& call);

HttpClientResponse ToReply(
    boost::beast::http::response<boost::beast::http::string_body> response);

// A blocking HTTP/1.1 client with one connection, which is kept alive.
class HttpClient {
 public:
  explicit HttpClient(std::string address) : m_address(std::move(address)) {}

  // Nothing when the connection failed or closed without a whole answer, or
  // `deadline` passed.
  std::optional<HttpClientResponse> Send(const HttpClientRequest& call,
                                         Clock::time_point deadline);

  // The body of the answer. Throws unless the status is 200.
  std::string Get(const std::string& path);
  std::string Post(const std::string& path, std::string body);
  std::string Put(const std::string& path, std::string body);

 private:
  std::string Expect(const HttpClientRequest& call);
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
