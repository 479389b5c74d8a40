#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "state/result.h"
#include "state/types.h"

namespace snipehall {

// An HTTP request to a control API: a target, the log, or another instance.
struct HttpClientRequest {
  boost::beast::http::verb verb = boost::beast::http::verb::get;
  // Path and query.
  std::string path;
  // Request body; sent with POST only.
  std::string body;
  std::string content_type = "application/json";
  // Additional header fields as pairs of name and value.
  std::vector<std::pair<std::string, std::string>> headers = {};
  // Whether the request may be resent if a reused persistent connection turns
  // out to be closed.
  bool retriable = true;
  // Until when the response may take once it has begun, as long as its bytes
  // keep coming. Has no effect before the deadline of the call.
  MonotonicTime transfer_deadline = {};
};

// The response to an HttpClientRequest.
struct HttpClientResponse {
  // Time immediately before the request was written.
  MonotonicTime sent;
  // Arrival of the first bytes.
  MonotonicTime began_at;
  unsigned status = 0;
  std::string body;
  boost::beast::http::fields headers = {};

  // Returns the value of a header field, or an empty string if it is absent.
  std::string Header(const char* name) const {
    const auto value = headers[name];
    return {value.data(), value.size()};
  }
};

// Counters of HTTP message bytes sent and received.
struct HttpByteCounters {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

// A persistent HTTP/1.1 client connection to one address. It connects on demand
// and carries one exchange at a time. Fails with the errors described in
// transport/platform_clients.h; a response with any status code is a success. A
// response that never ends fails as soon as it is too long, in whatever part.
class HttpConnection {
 public:
  // `body_limit` is the maximum size of a response body in bytes. `bytes`, if
  // not null, must outlive the connection.
  HttpConnection(boost::asio::any_io_executor executor,
                 std::string address,
                 std::size_t body_limit,
                 HttpByteCounters* bytes = nullptr);

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends `call` and returns the response, or fails by `deadline` or, once the
  // response has begun, by `call.transfer_deadline`. If it was sent twice (see
  // HttpClientRequest::retriable), the result is that of the second copy,
  // except that it is never kRefused: the peer may have received the first one.
  // The connection object must outlive the call.
  boost::asio::awaitable<Result<HttpClientResponse>> Exchange(
      HttpClientRequest call,
      MonotonicTime deadline);

  // Closes the connection. An exchange in progress fails with kUnavailable.
  void Close();

  const std::string& address() const { return m_address; }

 private:
  using Stream = boost::beast::tcp_stream;

  void Disconnect();
  // Enlarges the read buffer for the rest of the response.
  void ReserveForBody(const boost::beast::http::response_parser<
                      boost::beast::http::string_body>& parser);
  boost::asio::awaitable<Result<HttpClientResponse>> ExchangeOnce(
      const HttpClientRequest& call,
      MonotonicTime deadline);
  boost::asio::awaitable<Result<std::shared_ptr<Stream>>> Connect(
      MonotonicTime deadline);

  boost::asio::any_io_executor m_executor;
  std::string m_address;
  std::size_t m_body_limit;
  HttpByteCounters* m_bytes;
  std::shared_ptr<Stream> m_stream;
  boost::beast::flat_buffer m_buffer;
  // Number of calls to Close(). An exchange that was ended by Close() is not
  // resent.
  std::uint64_t m_close_count = 0;
};

}  // namespace snipehall
