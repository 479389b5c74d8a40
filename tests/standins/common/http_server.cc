#include "standins/common/http_server.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "transport/tcp_endpoint.h"

namespace snipehall::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Maximum size of a request body, which is kept in memory as a whole.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{256} << 20;
constexpr std::uint32_t kMaxHeaderBytes = 64 << 10;

}  // namespace

HttpResponse JsonAnswer(http::status status, std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

HttpResponse ErrorAnswer(http::status status, std::string_view message) {
  return JsonAnswer(status, boost::json::serialize(boost::json::object{
                                {"error", boost::json::string_view(message)}}));
}

std::string_view PathOf(const HttpRequest& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  return target.substr(0, target.find('?'));
}

std::string_view QueryValue(const HttpRequest& request, std::string_view name) {
  std::string_view query(request.target().data(), request.target().size());
  const std::size_t start = query.find('?');
  query = start == std::string_view::npos ? std::string_view()
                                          : query.substr(start + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    if (pair.size() > name.size() && pair.substr(0, name.size()) == name &&
        pair[name.size()] == '=') {
      return pair.substr(name.size() + 1);
    }
  }
  return {};
}

std::optional<std::uint64_t> QueryNumber(const HttpRequest& request,
                                         std::string_view name,
                                         std::uint64_t fallback) {
  const std::string_view text = QueryValue(request, name);
  return text.empty() ? fallback : ParseNumber(text);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

HttpSession::HttpSession(tcp::socket socket,
                         std::shared_ptr<HttpServerState> state)
    : m_socket(std::move(socket)),
      m_state(std::move(state)),
      m_timer(m_socket.get_executor()) {
  ++m_state->connections;
}

HttpSession::~HttpSession() {
  --m_state->connections;
}

void HttpSession::Start() {
  if (m_state->connection_setup_delay.count() == 0) {
    Read();
    return;
  }
  m_timer.expires_after(m_state->connection_setup_delay);
  m_timer.async_wait([self = shared_from_this()](error_code failure) {
    if (!failure) {
      self->Read();
    }
  });
}

void HttpSession::Answer(HttpResponse response) {
  const bool keep_alive = request().keep_alive();
  m_response = std::move(response);
  m_response.version(request().version());
  m_response.keep_alive(keep_alive);
  m_response.prepare_payload();
  http::async_write(m_socket, m_response,
                    [self = shared_from_this(), keep_alive](
                        error_code failure, std::size_t /*bytes*/) {
                      self->OnWritten(keep_alive && !failure);
                    });
}

void HttpSession::Abort() {
  error_code ignored;
  m_socket.close(ignored);
}

void HttpSession::Read() {
  m_parser.emplace();
  m_parser->body_limit(kMaxBodyBytes);
  m_parser->header_limit(kMaxHeaderBytes);
  http::async_read(
      m_socket, m_buffer, *m_parser,
      [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) {
        if (failure) {
          self->Abort();
          return;
        }
        self->m_state->handler(self);
      });
}

void HttpSession::OnWritten(bool keep_alive) {
  if (!keep_alive) {
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    Abort();
    return;
  }
  Read();
}

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    asio::io_context& context,
    const Options& options,
    HttpHandler handler) {
  const Result<tcp::endpoint> endpoint = ParseTcpEndpoint(options.listen);
  if (!endpoint.has_value()) {
    return endpoint.error();
  }
  try {
    tcp::acceptor acceptor(context, endpoint.value());
    auto state = std::make_shared<HttpServerState>();
    state->handler = std::move(handler);
    state->connection_setup_delay = options.connection_setup_delay;
    std::unique_ptr<HttpServer> server(new HttpServer(
        std::move(acceptor), options.connection_limit, std::move(state)));
    server->Accept();
    return server;
  } catch (const boost::system::system_error& error) {
    return Fail(ErrorCode::kUnavailable, "cannot listen on " + options.listen +
                                             ": " + error.code().message());
  }
}

std::string HttpServer::address() const {
  const tcp::endpoint endpoint = m_acceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

HttpServer::HttpServer(tcp::acceptor acceptor,
                       std::size_t connection_limit,
                       std::shared_ptr<HttpServerState> state)
    : m_acceptor(std::move(acceptor)),
      m_connection_limit(connection_limit),
      m_state(std::move(state)) {}

void HttpServer::Accept() {
  m_acceptor.async_accept([this](error_code failure, tcp::socket socket) {
    if (failure == asio::error::operation_aborted) {
      return;
    }
    if (!failure && m_state->connections < m_connection_limit) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<HttpSession>(std::move(socket), m_state)->Start();
    }
    Accept();
  });
}

}  // namespace snipehall::standin
