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

// Pause after a failed accept, for example when no descriptor is left.
constexpr Milliseconds kAcceptPause{100};

// Bounds of reading on after the last answer of a connection.
constexpr Milliseconds kLingerTime{2000};
constexpr std::uint64_t kLingerBytes = 16777216;

auto Redirected(boost::system::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace

class AdminServer::Impl {
 public:
  Impl(Options options, const asio::ip::tcp::endpoint& endpoint)
      : m_options(std::move(options)),
        m_loop(std::make_shared<asio::io_context>(1)),
        m_acceptor(*m_loop, endpoint),
        m_access(m_options.token),
        m_publisher(&m_options.backend, m_loop),
        m_api(&m_options.backend, &m_publisher),
        m_console(&m_options.backend, &m_publisher, &m_access),
        m_requests(prometheus::BuildCounter()
                       .Name("snipehall_admin_requests_total")
                       .Help("Requests to the administration listener, by "
                             "status code.")
                       .Register(*m_options.registry)),
        m_refused(prometheus::BuildCounter()
                      .Name("snipehall_admin_connections_refused_total")
                      .Help("Connections closed because too many were open.")
                      .Register(*m_options.registry)
                      .Add({})),
        m_connections(std::make_shared<int>(0)) {
    asio::co_spawn(*m_loop, Accept(), asio::detached);
    m_thread = std::thread([loop = m_loop] { loop->run(); });
  }

  ~Impl() {
    m_loop->stop();
    m_thread.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::string address() const { return ToString(m_acceptor.local_endpoint()); }

  void BeginShutdown() { m_stopping.store(true, std::memory_order_release); }

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      boost::system::error_code error;
      asio::ip::tcp::socket socket =
          co_await m_acceptor.async_accept(Redirected(error));
      if (error) {
        asio::steady_timer pause(*m_loop, kAcceptPause);
        co_await pause.async_wait(Redirected(error));
        continue;
      }
      if (*m_connections >= kConnectionLimit) {
        m_refused.Increment();
        continue;
      }
      ++*m_connections;
      asio::co_spawn(
          *m_loop, Serve(beast::tcp_stream(std::move(socket))),
          [connections = m_connections](const std::exception_ptr& failure) {
            --*connections;
            if (failure) {
              LOG(ERROR) << "an administration connection ended by an error";
            }
          });
    }
  }

  asio::awaitable<void> Serve(beast::tcp_stream stream) {
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep) {
      http::request_parser<http::string_body> parser;
      parser.header_limit(kHeaderLimit);
      parser.body_limit(kBodyLimit);
      boost::system::error_code error;
      stream.expires_after(m_options.client_limit);
      co_await http::async_read(stream, buffer, parser, Redirected(error));
      AdminResponse response;
      if (error) {
        const auto refusal = RefuseMalformed(error);
        if (!refusal) {
          break;
        }
        response = *refusal;
        keep = false;
      } else {
        AdminRequest request = parser.release();
        keep = request.keep_alive();
        // A handler has a deadline of its own.
        stream.expires_never();
        response = co_await Handle(std::move(request));
      }
      m_requests.Add({{"code", std::to_string(response.result_int())}})
          .Increment();
      response.keep_alive(keep);
      response.prepare_payload();
      stream.expires_after(m_options.client_limit);
      co_await http::async_write(stream, response, Redirected(error));
      if (error) {
        break;
      }
    }
    co_await Close(stream);
  }

  // Ends the answer, and reads on for a while: closing a socket with unread
  // bytes resets the connection, and the client might lose the answer.
  asio::awaitable<void> Close(beast::tcp_stream& stream) {
    boost::system::error_code error;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::array<char, 4096> discarded;
    std::uint64_t total = 0;
    stream.expires_after(std::min(m_options.client_limit, kLingerTime));
    while (!error && total < kLingerBytes) {
      total += co_await stream.async_read_some(asio::buffer(discarded),
                                               Redirected(error));
    }
  }

  // The answer to a request that could not be read, or none when the client
  // has gone or was too slow.
  static std::optional<AdminResponse> RefuseMalformed(
      const boost::system::error_code& error) {
    if (error == http::error::body_limit) {
      return MakeErrorResponse(
          http::status::payload_too_large,
          {ErrorCode::kInvalidArgument, "the body is too large", "", "",
           "at most " + std::to_string(kBodyLimit) + " bytes"});
    }
    if (error == http::error::header_limit) {
      return MakeErrorResponse(
          http::status::request_header_fields_too_large,
          {ErrorCode::kInvalidArgument, "the header is too large", "", "",
           "at most " + std::to_string(kHeaderLimit) + " bytes"});
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
    const std::string failed_path(PathOf(request));
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
    const std::string_view path = PathOf(request);
    if (path == "/metrics" || path == "/healthz" || path == "/readyz") {
      co_return HandlePlatform(path, request.method());
    }
    if (path.starts_with("/admin/")) {
      if (auto refusal = m_access.CheckApi(request)) {
        co_return *std::move(refusal);
      }
      co_return co_await m_api.Handle(std::move(request));
    }
    if (path == "/" || path.starts_with("/console")) {
      co_return co_await m_console.Handle(std::move(request));
    }
    co_return MakeErrorResponse(
        {ErrorCode::kNotFound, "no such resource", "", std::string(path), ""});
  }

  AdminResponse HandlePlatform(std::string_view path, http::verb method) const {
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
  // Shared with submissions whose outcome comes late.
  std::shared_ptr<asio::io_context> m_loop;
  asio::ip::tcp::acceptor m_acceptor;
  AdminAccess m_access;
  ConfigurationPublisher m_publisher;
  AdminApi m_api;
  Console m_console;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Counter& m_refused;
  std::shared_ptr<int> m_connections;
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
                 "administration beyond loopback needs a token",
                 "/admin_address", options.address,
                 "a loopback address, or admin_token_file as well"};
  }
  try {
    return std::unique_ptr<AdminServer>(new AdminServer(
        std::make_unique<Impl>(std::move(options), endpoint.value())));
  } catch (const boost::system::system_error& error) {
    return Fail(
        ErrorCode::kUnavailable,
        std::string("cannot listen for administration: ") + error.what());
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
