#include "transport/http_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <utility>

#include "transport/tcp_endpoint.h"

namespace snipehall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Returns whether `error` means that no connection was made, so that nothing
// was sent.
bool IsConnectFailure(const beast::error_code& error) {
  return error == asio::error::connection_refused ||
         error == asio::error::host_unreachable ||
         error == asio::error::network_unreachable;
}

// Error code of a failed attempt to connect.
ErrorCode ConnectErrorCode(const beast::error_code& error) {
  if (error == beast::error::timeout) {
    return ErrorCode::kTimeout;
  }
  return IsConnectFailure(error) ? ErrorCode::kRefused
                                 : ErrorCode::kUnavailable;
}

// Error code of a failed exchange over an established connection. Never
// kRefused: the peer may have received the request, also when the kernel
// reports that the host has become unreachable since.
ErrorCode ExchangeErrorCode(const beast::error_code& error) {
  return error == beast::error::timeout ? ErrorCode::kTimeout
                                        : ErrorCode::kUnavailable;
}

auto MakeError(const std::string& address,
               ErrorCode code,
               const beast::error_code& error,
               std::size_t received = 0) {
  std::string message = address + ": " + error.message();
  if (received > 0) {
    message += " after " + std::to_string(received) + " bytes of the response";
  }
  return Fail(code, std::move(message));
}

// Returns whether the peer has closed an idle connection or has sent data
// without a request.
bool IsStale(beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t size = ::recv(stream.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Maximum time for connecting. Without it, an unreachable host would use up the
// whole deadline of a long-polling call.
constexpr Milliseconds kConnectTimeout{1000};

// Maximum number of bytes that are read at once, and of those that are kept
// until the parser accepts them: the parser keeps a head, a chunk's size and
// extensions, or the trailers until they are complete.
constexpr std::size_t kMaxReadBytes = std::size_t{64} << 10;
// A response may have this many bytes more than its body, for its head and the
// framing of its chunks.
constexpr std::size_t kMaxFramingBytes = std::size_t{64} << 10;
// Size up to which an idle connection keeps its buffer.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{4} << 10;

// Maximum time without a byte of a response that is being transferred after the
// deadline of its call.
constexpr Milliseconds kMaxTransferPause{700};

// TCP keep-alive detects a peer that vanished without closing the connection
// within about three seconds, also during long polling.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;
constexpr int kTcpUserTimeoutMs = 2500;

void SetSocketOption(int socket, int level, int name, int value) {
  // Failure is ignored: the deadline of each call applies regardless of these
  // options.
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

void EnableKeepAliveProbes(int socket) {
  SetSocketOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPINTVL,
                  kKeepAliveIntervalSeconds);
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
  SetSocketOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
}

http::request<http::string_body> MakeRequest(const HttpClientRequest& call,
                                             const std::string& address) {
  http::request<http::string_body> request(call.verb, call.path, 11);
  request.set(http::field::host, address);
  for (const auto& [name, value] : call.headers) {
    request.set(name, value);
  }
  if (call.verb == http::verb::post) {
    request.set(http::field::content_type, call.content_type);
    request.body() = call.body;
    request.prepare_payload();
  }
  return request;
}

}  // namespace

HttpConnection::HttpConnection(asio::any_io_executor executor,
                               std::string address,
                               std::size_t body_limit,
                               HttpByteCounters* bytes)
    : m_executor(std::move(executor)),
      m_address(std::move(address)),
      m_body_limit(body_limit),
      m_bytes(bytes),
      m_buffer(kMaxReadBytes) {}

void HttpConnection::Close() {
  ++m_close_count;
  Disconnect();
}

void HttpConnection::Disconnect() {
  if (m_stream) {
    m_stream->close();
    m_stream.reset();
  }
}

asio::awaitable<Result<HttpClientResponse>> HttpConnection::Exchange(
    HttpClientRequest call,
    MonotonicTime deadline) {
  if (m_stream && IsStale(*m_stream)) {
    Disconnect();
  }
  const bool reused = m_stream != nullptr;
  const std::uint64_t close_count = m_close_count;
  Result<HttpClientResponse> response = co_await ExchangeOnce(call, deadline);
  const bool connection_lost =
      response.has_error() && response.error().code == ErrorCode::kUnavailable;
  if (!connection_lost || !reused || !call.retriable ||
      close_count != m_close_count) {
    co_return response;
  }
  // The peer may have received the first copy, so the failure of the second one
  // does not show that nothing was sent.
  const Error first_error = response.error();
  response = co_await ExchangeOnce(call, deadline);
  if (response.has_error() && response.error().code == ErrorCode::kRefused) {
    co_return Fail(first_error.code,
                   first_error.message + "; then " + response.error().message);
  }
  co_return response;
}

asio::awaitable<Result<std::shared_ptr<HttpConnection::Stream>>>
HttpConnection::Connect(MonotonicTime deadline) {
  const Result<asio::ip::tcp::endpoint> endpoint = ParseTcpEndpoint(m_address);
  if (endpoint.has_error()) {
    co_return endpoint.error();
  }
  auto stream = std::make_shared<Stream>(m_executor);
  m_stream = stream;
  m_buffer.clear();
  stream->expires_at(
      std::min(deadline, std::chrono::steady_clock::now() + kConnectTimeout));
  const auto [error] = co_await stream->async_connect(endpoint.value(), kAwait);
  if (error) {
    co_return MakeError(m_address, ConnectErrorCode(error), error);
  }
  beast::error_code ignored;
  stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  EnableKeepAliveProbes(stream->socket().native_handle());
  // An abandoned request must not reach the peer later, so closing the socket
  // discards unsent data.
  stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
  co_return stream;
}

void HttpConnection::ReserveForBody(
    const http::response_parser<http::string_body>& parser) {
  // Beast reads no more at once than the buffer has capacity for, and consumes
  // the buffer after each read, so that it would stay at its initial 512 bytes.
  if (!parser.is_done()) {
    const std::uint64_t length =
        parser.content_length_remaining().value_or(kMaxReadBytes);
    m_buffer.reserve(static_cast<std::size_t>(
        std::min<std::uint64_t>(length, kMaxReadBytes)));
  }
}

asio::awaitable<Result<HttpClientResponse>> HttpConnection::ExchangeOnce(
    const HttpClientRequest& call,
    MonotonicTime deadline) {
  std::shared_ptr<Stream> stream = m_stream;
  if (!stream) {
    Result<std::shared_ptr<Stream>> connected = co_await Connect(deadline);
    if (connected.has_error()) {
      m_stream.reset();
      co_return connected.error();
    }
    stream = std::move(connected).value();
  }
  const http::request<http::string_body> request = MakeRequest(call, m_address);
  http::response_parser<http::string_body> parser;
  parser.body_limit(m_body_limit);
  HttpClientResponse response;
  stream->expires_at(deadline);
  response.sent = std::chrono::steady_clock::now();
  const auto [write_error, written] =
      co_await http::async_write(*stream, request, kAwait);
  beast::error_code error = write_error;
  std::size_t received = 0;
  while (!error && !parser.is_done()) {
    const auto [read_error, size] =
        co_await http::async_read_some(*stream, m_buffer, parser, kAwait);
    error = read_error;
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (received == 0) {
      response.began_at = now;
      ReserveForBody(parser);
    }
    received += size;
    if (!error && received > m_body_limit + kMaxFramingBytes) {
      error = http::error::body_limit;
    }
    stream->expires_at(std::max(
        deadline, std::min(call.transfer_deadline, now + kMaxTransferPause)));
  }
  if (m_bytes != nullptr) {
    m_bytes->sent += written;
    m_bytes->received += received;
  }
  if (error) {
    stream->close();
    if (m_stream == stream) {
      m_stream.reset();
    }
    co_return MakeError(m_address, ExchangeErrorCode(error), error, received);
  }
  stream->expires_never();
  if (m_buffer.size() == 0 && m_buffer.capacity() > kMaxIdleBufferBytes) {
    m_buffer.shrink_to_fit();
  }
  response.status = parser.get().result_int();
  const bool keep_alive = parser.get().keep_alive();
  response.body = std::move(parser.get().body());
  response.headers = std::move(parser.get().base());
  // Bytes behind a response belong to no request, and would pass for the
  // response to the next one.
  if ((!keep_alive || m_buffer.size() > 0) && m_stream == stream) {
    Disconnect();
  }
  co_return response;
}

}  // namespace snipehall
