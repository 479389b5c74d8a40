#include "transport/gateway/gateway_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/outcome/try.hpp>
#include <vector>

#include "protocol/http_head_checks.h"
#include "protocol/key_table_codec.h"
#include "transport/gateway/accept_connections.h"
#include "transport/gateway/bind_acceptor.h"
#include "transport/gateway/gateway_session.h"

namespace snipehall {

namespace {

using boost::system::error_code;

// Idle time after which a status connection is closed.
constexpr Milliseconds kStatusIdleTimeout{10000};

}  // namespace

GatewayServer::GatewayServer(GatewayContext& context,
                             std::size_t max_caller_connections,
                             std::function<bool()> is_ready,
                             std::function<void()> update_metrics)
    : m_context(context),
      m_is_ready(std::move(is_ready)),
      m_update_metrics(std::move(update_metrics)),
      m_caller_acceptor(context.executor),
      m_status_acceptor(context.executor),
      m_max_caller_connections(max_caller_connections) {}

Result<std::unique_ptr<GatewayServer>> GatewayServer::Create(
    GatewayContext& context,
    const GatewaySettings& settings,
    std::function<bool()> is_ready,
    std::function<void()> update_metrics) {
  auto server = std::unique_ptr<GatewayServer>(
      new GatewayServer(context, settings.max_caller_connections,
                        std::move(is_ready), std::move(update_metrics)));
  BOOST_OUTCOME_TRY(
      BindAcceptor(server->m_caller_acceptor, settings.caller_address));
  BOOST_OUTCOME_TRY(
      BindAcceptor(server->m_status_acceptor, settings.status_address));
  return server;
}

void GatewayServer::Start() {
  boost::asio::co_spawn(m_context.executor,
                        AcceptConnections(m_context.executor, m_caller_acceptor,
                                          [this](Socket socket) {
                                            StartSession(std::move(socket));
                                          }),
                        boost::asio::detached);
  boost::asio::co_spawn(m_context.executor,
                        AcceptConnections(m_context.executor, m_status_acceptor,
                                          [this](Socket socket) {
                                            boost::asio::co_spawn(
                                                m_context.executor,
                                                ServeStatus(std::move(socket)),
                                                boost::asio::detached);
                                          }),
                        boost::asio::detached);
}

std::string GatewayServer::caller_address() const {
  const auto endpoint = m_caller_acceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

bool GatewayServer::MakeRoomForSession() {
  if (m_context.sessions.size() < m_max_caller_connections) {
    return true;
  }
  std::size_t callers = 0;
  GatewaySession* oldest = nullptr;
  for (GatewaySession* session : m_context.sessions) {
    callers += session->from_instance() ? 0 : 1;
    const auto since = session->waiting_since();
    if (since && (oldest == nullptr || *since < *oldest->waiting_since()) &&
        !session->HasUnreadRequest()) {
      oldest = session;
    }
  }
  if (callers < m_max_caller_connections) {
    return true;
  }
  if (oldest != nullptr) {
    oldest->Evict();
  }
  // Sessions that have been ended are still open until they have run.
  return callers < m_max_caller_connections + kMaxAcceptBatch;
}

void GatewayServer::StartSession(Socket socket) {
  if (!MakeRoomForSession()) {
    m_context.metrics.IncrementEvent("caller_refused");
    return;
  }
  auto session = std::make_shared<GatewaySession>(m_context, std::move(socket));
  boost::asio::co_spawn(
      m_context.executor, [session] { return session->Run(); },
      boost::asio::detached);
}

void GatewayServer::StartInstanceSession(std::shared_ptr<ByteStream> stream) {
  m_context.metrics.IncrementEvent("instance_connected");
  auto session = std::make_shared<GatewaySession>(m_context, std::move(stream));
  boost::asio::co_spawn(
      m_context.executor, [session] { return session->Run(); },
      boost::asio::detached);
}

Task<void> GatewayServer::ServeStatus(Socket socket) {
  const auto stream = std::make_shared<ByteStream>(std::move(socket));
  const auto timer = std::make_shared<DeadlineTimer>(
      m_context.executor, [raw = stream.get()] { raw->Close(); });
  bool open = true;
  while (open) {
    timer->Arm(std::chrono::steady_clock::now() + kStatusIdleTimeout);
    error_code error;
    std::size_t size = 0;
    while (!error && (size = FindHeadEnd(stream->data())) == 0) {
      error = co_await stream->Fill();
    }
    if (error) {
      break;
    }
    const std::string body =
        StatusBody(stream->data().substr(0, stream->data().find("\r\n")));
    stream->Consume(size);
    std::string head = !body.empty() || m_is_ready()
                           ? "HTTP/1.1 200 OK\r\n"
                           : "HTTP/1.1 503 Service Unavailable\r\n";
    head.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n\r\n");
    std::size_t written = 0;
    error = co_await stream->Write(
        {boost::asio::buffer(head), boost::asio::buffer(body), {}, {}},
        written);
    open = !error;
  }
  timer->Close();
  stream->Close();
}

std::string GatewayServer::StatusBody(std::string_view request_line) {
  if (request_line.find(" /metrics ") != std::string_view::npos) {
    m_update_metrics();
    return m_context.metrics.SerializeText();
  }
  if (request_line.find(" /keys ") != std::string_view::npos) {
    return EncodeKeyTable(m_context.state.keys()) + "\n";
  }
  return {};
}

void GatewayServer::CloseCallerListener() {
  if (!m_caller_acceptor.is_open()) {
    return;
  }
  // The kernel resets connections that wait to be accepted when the listener is
  // closed.
  error_code error;
  while (!error) {
    Socket socket(m_context.executor);
    m_caller_acceptor.accept(socket, error);
    if (!error) {
      StartSession(std::move(socket));
    }
  }
  m_caller_acceptor.close(error);
}

void GatewayServer::CloseIdle() {
  const std::vector<GatewaySession*> sessions(m_context.sessions.begin(),
                                              m_context.sessions.end());
  for (GatewaySession* session : sessions) {
    session->CloseIfIdle();
  }
}

void GatewayServer::ExpireRequests() {
  const std::vector<GatewaySession*> sessions(m_context.sessions.begin(),
                                              m_context.sessions.end());
  for (GatewaySession* session : sessions) {
    session->ExpireRequests();
  }
}

int GatewayServer::active_requests() const {
  int count = 0;
  for (const GatewaySession* session : m_context.sessions) {
    count += session->busy() ? 1 : 0;
  }
  return count;
}

bool GatewayServer::has_open_sessions() const {
  return std::any_of(
      m_context.sessions.begin(), m_context.sessions.end(),
      [](const GatewaySession* session) { return session->open(); });
}

void GatewayServer::Stop() {
  CloseCallerListener();
  error_code ignored;
  m_status_acceptor.close(ignored);
  m_context.pools.CloseIdle();
}

}  // namespace snipehall
