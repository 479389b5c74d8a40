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

// Receives each request. It answers with HttpSession::Answer() or Abort(), at
// once or later; until then the connection is read no further.
using HttpHandler = std::function<void(std::shared_ptr<HttpSession>)>;

// A response with a JSON body.
HttpResponse JsonAnswer(boost::beast::http::status status, std::string body);
// A response of the form {"error": message}.
HttpResponse ErrorAnswer(boost::beast::http::status status,
                         std::string_view message);

// The target of a request without its query.
std::string_view PathOf(const HttpRequest& request);
// The value of a query parameter, undecoded, or empty when it is missing.
std::string_view QueryValue(const HttpRequest& request, std::string_view name);
// A decimal number from the query. `fallback` when it is missing, nothing when
// it is malformed.
std::optional<std::uint64_t> QueryNumber(const HttpRequest& request,
                                         std::string_view name,
                                         std::uint64_t fallback);
// Reads decimal digits that fill the whole text.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

// State that a server shares with its sessions.
struct HttpServerState {
  HttpHandler handler;
  std::chrono::milliseconds connection_cost{0};
  std::size_t connections = 0;
};

// One connection of a caller, with keep-alive; one request at a time.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              std::shared_ptr<HttpServerState> state);
  ~HttpSession();

  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // Starts to read requests, after the connection cost has passed.
  void Start();

  const HttpRequest& request() const { return m_parser->get(); }

  // Sends the answer to the present request, then reads the next one.
  void Answer(HttpResponse response);

  // Closes the connection without an answer.
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

// An HTTP/1.1 listener on the io_context's thread.
class HttpServer {
 public:
  struct Options {
    // "address:port"; port 0 lets the system choose.
    std::string listen = "127.0.0.1:0";
    // Connections beyond this limit are closed as soon as they are accepted.
    std::size_t connection_limit = SIZE_MAX;
    // Time from accepting a connection to reading its first request.
    std::chrono::milliseconds connection_cost{0};
  };

  static Result<std::unique_ptr<HttpServer>> Listen(
      boost::asio::io_context& context,
      const Options& options,
      HttpHandler handler);

  // "address:port", with the port that was chosen.
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
