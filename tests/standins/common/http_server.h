#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "state/result.h"

namespace snipehall::standin {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

class HttpSession;

// Called for each request. Must call HttpSession::Answer() or Abort(), either
// before it returns or later. The connection reads no further request until
// then.
using HttpHandler = std::function<void(std::shared_ptr<HttpSession>)>;

// Returns a response with a JSON body.
HttpResponse JsonAnswer(boost::beast::http::status status, std::string body);
// Returns a response with the JSON body {"error": message}.
HttpResponse ErrorAnswer(boost::beast::http::status status,
                         std::string_view message);

// Returns the path of the request target, without the query.
std::string_view PathOf(const HttpRequest& request);
// Returns the value of a query parameter without percent-decoding it, or an
// empty string if the parameter is missing.
std::string_view QueryValue(const HttpRequest& request, std::string_view name);
// Returns a decimal query parameter, `fallback` if it is missing or empty, or
// `std::nullopt` if it is malformed.
std::optional<std::uint64_t> QueryNumber(const HttpRequest& request,
                                         std::string_view name,
                                         std::uint64_t fallback);
// Parses an unsigned decimal number. Returns `std::nullopt` unless the whole
// text is a number.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

// State that an HttpServer shares with its sessions.
struct HttpServerState {
  HttpHandler handler;
  // Time from accepting a connection to reading its first request.
  std::chrono::milliseconds connection_setup_delay{0};
  // Number of open connections.
  std::size_t connections = 0;
};

// Server side of one HTTP/1.1 keep-alive connection. Handles one request at a
// time.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              std::shared_ptr<HttpServerState> state);
  ~HttpSession();

  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // Starts reading requests after the connection setup delay. Call once.
  void Start();

  // The current request. Valid from the handler's call until the response has
  // been sent.
  const HttpRequest& request() const { return m_parser->get(); }

  // Sends the response to the current request, then reads the next request or
  // closes the connection if it is not kept alive.
  void Answer(HttpResponse response);

  // Closes the connection without a response.
  void Abort();

 private:
  void Read();
  void OnWritten(bool keep_alive);

  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::ip::tcp::socket m_socket;
  std::shared_ptr<HttpServerState> m_state;
  boost::asio::steady_timer m_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  HttpResponse m_response;
};

// HTTP/1.1 server that runs on the thread of the io_context.
class HttpServer {
 public:
  struct Options {
    // "address:port". With port 0 the operating system assigns a port.
    std::string listen = "127.0.0.1:0";
    // Maximum number of open connections. Further connections are closed
    // immediately after they are accepted.
    std::size_t connection_limit = SIZE_MAX;
    // Time from accepting a connection to reading its first request.
    std::chrono::milliseconds connection_setup_delay{0};
  };

  // Binds the address and starts accepting connections. Fails if the address is
  // malformed or cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(
      boost::asio::io_context& context,
      const Options& options,
      HttpHandler handler);

  // The bound address as "address:port".
  std::string address() const;

 private:
  HttpServer(boost::asio::ip::tcp::acceptor acceptor,
             std::size_t connection_limit,
             std::shared_ptr<HttpServerState> state);

  void Accept();

  boost::asio::ip::tcp::acceptor m_acceptor;
  std::size_t m_connection_limit;
  std::shared_ptr<HttpServerState> m_state;
};

}  // namespace snipehall::standin
