#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
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

// A request to a control interface.
struct HttpCall {
  boost::beast::http::verb verb = boost::beast::http::verb::get;
  // Path and query.
  std::string path;
  // Sent with POST only.
  std::string body;
  std::string content_type = "application/json";
  // Further headers, by name.
  std::vector<std::pair<std::string, std::string>> headers = {};
  // Whether the request may be sent again after a kept connection turned out
  // to be closed.
  bool repeatable = true;
};

struct HttpReply {
  // Time just before the request was written.
  MonotonicTime sent;
  unsigned status = 0;
  std::string body;
  boost::beast::http::fields headers = {};

  // The value of a header; empty without one.
  std::string Header(const char* name) const {
    const auto value = headers[name];
    return {value.data(), value.size()};
  }
};

// Counts the bytes of HTTP messages in both directions.
struct ByteCount {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

// A kept HTTP/1.1 connection to one address, which connects on demand and
// carries one exchange at a time. Errors are those of transport/platform.h;
// any status is a reply.
class HttpConnection {
 public:
  // `body_limit` bounds the body of a reply, in bytes. `bytes`, when it is not
  // null, outlives the connection.
  HttpConnection(boost::asio::any_io_executor executor,
                 std::string address,
                 std::size_t body_limit,
                 ByteCount* bytes = nullptr);

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Ends by `deadline`. The connection outlives the call.
  boost::asio::awaitable<Result<HttpReply>> Exchange(HttpCall call,
                                                     MonotonicTime deadline);

  // Closes the connection; an exchange in progress fails with kUnavailable.
  void Close();

  const std::string& address() const { return m_address; }

 private:
  using Stream = boost::beast::tcp_stream;

  void Disconnect();
  boost::asio::awaitable<Result<HttpReply>> ExchangeOnce(
      const HttpCall& call,
      MonotonicTime deadline);
  boost::asio::awaitable<Result<std::shared_ptr<Stream>>> Connect(
      MonotonicTime deadline);

  boost::asio::any_io_executor m_executor;
  std::string m_address;
  std::size_t m_body_limit;
  ByteCount* m_bytes;
  std::shared_ptr<Stream> m_stream;
  boost::beast::flat_buffer m_buffer;
  // Number of calls of Close(); a closed exchange is not repeated.
  std::uint64_t m_closes = 0;
};

}  // namespace snipehall
