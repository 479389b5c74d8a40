#include "transport/admin/admin_server.h"

#include <glog/logging.h>
#include <prometheus/counter.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <thread>

#include "transport/admin/admin_access.h"
#include "transport/admin/admin_api.h"
#include "transport/admin/configuration_publisher.h"
#include "transport/admin/console.h"
#include "transport/tcp_endpoint.h"

namespace snipehall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Delay after a failed accept, for example when the process is out of file
// descriptors.
constexpr Milliseconds kAcceptRetryDelay{100};

// Limits for discarding unread input after the last response of a connection.
constexpr Milliseconds kLingerTimeout{2000};
constexpr std::uint64_t kMaxLingerBytes = 16777216;

auto RedirectError(boost::system::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace

class AdminServer::Impl {
 public:
  Impl(Options options, const asio::ip::tcp::endpoint& endpoint)
      : m_options(std::move(options)),
        m_context(std::make_shared<asio::io_context>(1)),
        m_acceptor(*m_context, endpoint),
        m_access(m_options.token),
        m_publisher(&m_options.backend, m_context),
        m_api(&m_options.backend, &m_publisher),
        m_console(&m_options.backend, &m_publisher, &m_access),
        m_request_counters(
            prometheus::BuildCounter()
                .Name("snipehall_admin_requests_total")
                .Help("Requests to the administration listener, by "
                      "status code.")
                .Register(*m_options.registry)),
        m_rejected_connections(
            prometheus::BuildCounter()
                .Name("snipehall_admin_connections_refused_total")
                .Help("Connections closed because too many were open.")
                .Register(*m_options.registry)
                .Add({})),
        m_open_connections(std::make_shared<int>(0)) {
    asio::co_spawn(*m_context, AcceptConnections(), asio::detached);
    m_thread = std::thread([context = m_context] { context->run(); });
  }

  ~Impl() {
    m_context->stop();
    m_thread.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::string address() const { return ToString(m_acceptor.local_endpoint()); }

  void BeginShutdown() { m_stopping.store(true, std::memory_order_release); }

 private:
  asio::awaitable<void> AcceptConnections() {
    for (;;) {
      boost::system::error_code error;
      asio::ip::tcp::socket socket =
          co_await m_acceptor.async_accept(RedirectError(error));
      if (error) {
        asio::steady_timer retry_timer(*m_context, kAcceptRetryDelay);
        co_await retry_timer.async_wait(RedirectError(error));
        continue;
      }
      if (*m_open_connections >= kMaxConnections) {
        m_rejected_connections.Increment();
        continue;
      }
      ++*m_open_connections;
      asio::co_spawn(
          *m_context, ServeConnection(beast::tcp_stream(std::move(socket))),
          [open_connections =
               m_open_connections](const std::exception_ptr& failure) {
            --*open_connections;
            if (failure) {
              LOG(ERROR)
                  << "exception while serving an administration connection";
            }
          });
    }
  }

  asio::awaitable<void> ServeConnection(beast::tcp_stream stream) {
    beast::flat_buffer buffer;
    bool is_persistent = true;
    while (is_persistent) {
      http::request_parser<http::string_body> parser;
      parser.header_limit(kMaxHeaderBytes);
      parser.body_limit(kMaxBodyBytes);
      boost::system::error_code error;
      stream.expires_after(m_options.client_timeout);
      co_await http::async_read(stream, buffer, parser, RedirectError(error));
      AdminResponse response;
      if (error) {
        const auto error_response = MakeReadErrorResponse(error);
        if (!error_response) {
          break;
        }
        response = *error_response;
        is_persistent = false;
      } else {
        AdminRequest request = parser.release();
        is_persistent = request.keep_alive();
        // Handlers enforce their own deadlines.
        stream.expires_never();
        response = co_await Handle(std::move(request));
      }
      m_request_counters.Add({{"code", std::to_string(response.result_int())}})
          .Increment();
      response.keep_alive(is_persistent);
      response.prepare_payload();
      stream.expires_after(m_options.client_timeout);
      co_await http::async_write(stream, response, RedirectError(error));
      if (error) {
        break;
      }
    }
    co_await CloseGracefully(stream);
  }

  // Shuts down the send direction and discards unread input before closing.
  // Closing a socket with unread bytes resets the connection, and the client
  // might lose the response.
  asio::awaitable<void> CloseGracefully(beast::tcp_stream& stream) {
    boost::system::error_code error;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::array<char, 4096> discarded;
    std::uint64_t total = 0;
    stream.expires_after(std::min(m_options.client_timeout, kLingerTimeout));
    while (!error && total < kMaxLingerBytes) {
      total += co_await stream.async_read_some(asio::buffer(discarded),
                                               RedirectError(error));
    }
  }

  // Returns the response to a request that could not be read, or nullopt when
  // the client has disconnected or timed out.
  static std::optional<AdminResponse> MakeReadErrorResponse(
      const boost::system::error_code& error) {
    if (error == http::error::body_limit) {
      return MakeErrorResponse(
          http::status::payload_too_large,
          {ErrorCode::kInvalidArgument, "the body is too large", "", "",
           "at most " + std::to_string(kMaxBodyBytes) + " bytes"});
    }
    if (error == http::error::header_limit) {
      return MakeErrorResponse(
          http::status::request_header_fields_too_large,
          {ErrorCode::kInvalidArgument, "the header is too large", "", "",
           "at most " + std::to_string(kMaxHeaderBytes) + " bytes"});
    }
    if (error == http::error::end_of_stream ||
        error == http::error::partial_message ||
        error.category() !=
            make_error_code(http::error::bad_method).category()) {
      return std::nullopt;
    }
    return MakeErrorResponse(
        {ErrorCode::kInvalidArgument, "malformed request: " + error.message()});
  }

  asio::awaitable<AdminResponse> Handle(AdminRequest request) {
    const std::string failed_path(RequestPath(request));
    try {
      co_return co_await Dispatch(std::move(request));
    } catch (const std::exception& error) {
      LOG(ERROR) << "administration request for " << failed_path
                 << " failed: " << error.what();
    }
    co_return MakeErrorResponse(http::status::internal_server_error,
                                {ErrorCode::kUnavailable, "internal error"});
  }

  asio::awaitable<AdminResponse> Dispatch(AdminRequest request) {
    const std::string_view path = RequestPath(request);
    if (path == "/metrics" || path == "/healthz" || path == "/readyz") {
      co_return HandleMonitoring(path, request.method());
    }
    if (path.starts_with("/admin/")) {
      if (auto error_response = m_access.CheckApiRequest(request)) {
        co_return *std::move(error_response);
      }
      co_return co_await m_api.Handle(std::move(request));
    }
    if (path == "/" || path.starts_with("/console")) {
      co_return co_await m_console.Handle(std::move(request));
    }
    co_return MakeErrorResponse(
        {ErrorCode::kNotFound, "no such resource", "", std::string(path), ""});
  }

  AdminResponse HandleMonitoring(std::string_view path,
                                 http::verb method) const {
    if (method != http::verb::get) {
      AdminResponse response =
          MakeErrorResponse(http::status::method_not_allowed,
                            {ErrorCode::kInvalidArgument,
                             "method is not allowed", "", "", "GET"});
      response.set(http::field::allow, "GET");
      return response;
    }
    if (path == "/metrics") {
      return MakeResponse(http::status::ok, "text/plain; version=0.0.4",
                          prometheus::TextSerializer().Serialize(
                              m_options.registry->Collect()));
    }
    if (path == "/healthz") {
      return MakeResponse(http::status::ok, "text/plain", "ok\n");
    }
    if (m_stopping.load(std::memory_order_acquire)) {
      return MakeResponse(http::status::service_unavailable, "text/plain",
                          "stopping\n");
    }
    if (!m_options.backend.ready()) {
      return MakeResponse(http::status::service_unavailable, "text/plain",
                          "configuration and assignments are not known yet\n");
    }
    return MakeResponse(http::status::ok, "text/plain", "ready\n");
  }

  Options m_options;
  // Shared with submissions whose outcome arrives late.
  std::shared_ptr<asio::io_context> m_context;
  asio::ip::tcp::acceptor m_acceptor;
  AdminAccess m_access;
  ConfigurationPublisher m_publisher;
  AdminApi m_api;
  Console m_console;
  prometheus::Family<prometheus::Counter>& m_request_counters;
  prometheus::Counter& m_rejected_connections;
  std::shared_ptr<int> m_open_connections;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

Result<std::unique_ptr<AdminServer>> AdminServer::Start(Options options) {
  const auto endpoint = ParseTcpEndpoint(options.address);
  if (!endpoint) {
    return endpoint.error();
  }
  if (options.token.empty() && !endpoint.value().address().is_loopback()) {
    return Error{ErrorCode::kInvalidArgument,
                 "a non-loopback administration address requires a token",
                 "/admin_address", options.address,
                 "a loopback address, or admin_token_file must be set"};
  }
  try {
    return std::unique_ptr<AdminServer>(new AdminServer(
        std::make_unique<Impl>(std::move(options), endpoint.value())));
  } catch (const boost::system::system_error& error) {
    return Fail(ErrorCode::kUnavailable,
                std::string("cannot listen on the administration address: ") +
                    error.what());
  }
}

AdminServer::AdminServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

AdminServer::~AdminServer() = default;

std::string AdminServer::address() const {
  return m_impl->address();
}

void AdminServer::BeginShutdown() {
  m_impl->BeginShutdown();
}

}  // namespace snipehall
