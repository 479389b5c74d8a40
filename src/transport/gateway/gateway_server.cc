#include "transport/gateway/gateway_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/outcome/try.hpp>
#include <vector>

#include "protocol/http_rules.h"
#include "protocol/key_table_codec.h"
#include "transport/gateway/bind_acceptor.h"
#include "transport/gateway/gateway_session.h"

namespace snipehall {

namespace {

using boost::system::error_code;

// A connection with questions is closed after this long without one.
constexpr Milliseconds kQuestionIdle{10000};

}  // namespace

GatewayServer::GatewayServer(GatewayContext& context,
                             std::function<bool()> is_ready,
                             std::function<void()> update_metrics)
    : m_context(context),
      m_is_ready(std::move(is_ready)),
      m_update_metrics(std::move(update_metrics)),
      m_callers(context.executor),
      m_questions(context.executor) {}

Result<std::unique_ptr<GatewayServer>> GatewayServer::Create(
    GatewayContext& context,
    const GatewaySettings& settings,
    std::function<bool()> is_ready,
    std::function<void()> update_metrics) {
  auto server = std::unique_ptr<GatewayServer>(new GatewayServer(
      context, std::move(is_ready), std::move(update_metrics)));
  BOOST_OUTCOME_TRY(BindAcceptor(server->m_callers, settings.caller_address));
  BOOST_OUTCOME_TRY(BindAcceptor(server->m_questions, settings.status_address));
  return server;
}

void GatewayServer::Start() {
  boost::asio::co_spawn(m_context.executor, AcceptCallers(),
                        boost::asio::detached);
  boost::asio::co_spawn(m_context.executor, AcceptQuestions(),
                        boost::asio::detached);
}

Task<void> GatewayServer::AcceptCallers() {
  Timer pause(m_context.executor);
  while (m_callers.is_open()) {
    Socket socket(m_context.executor);
    const auto [error] = co_await m_callers.async_accept(socket, kTask);
    if (!error) {
      auto session =
          std::make_shared<GatewaySession>(m_context, std::move(socket));
      boost::asio::co_spawn(
          m_context.executor, [session] { return session->Run(); },
          boost::asio::detached);
    } else if (m_callers.is_open()) {
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(kTask);
    }
  }
}

Task<void> GatewayServer::AcceptQuestions() {
  Timer pause(m_context.executor);
  while (m_questions.is_open()) {
    Socket socket(m_context.executor);
    const auto [error] = co_await m_questions.async_accept(socket, kTask);
    if (!error) {
      boost::asio::co_spawn(m_context.executor, Answer(std::move(socket)),
                            boost::asio::detached);
    } else if (m_questions.is_open()) {
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(kTask);
    }
  }
}

Task<void> GatewayServer::Answer(Socket socket) {
  const auto stream = std::make_shared<ByteStream>(std::move(socket));
  const auto timer = std::make_shared<DeadlineTimer>(
      m_context.executor, [raw = stream.get()] { raw->Close(); });
  bool open = true;
  while (open) {
    timer->Arm(std::chrono::steady_clock::now() + kQuestionIdle);
    error_code error;
    std::size_t size = 0;
    while (!error && (size = FindHeadEnd(stream->data())) == 0) {
      error = co_await stream->Fill();
    }
    if (error) {
      break;
    }
    const std::string body =
        AnswerTo(stream->data().substr(0, stream->data().find("\r\n")));
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

std::string GatewayServer::AnswerTo(std::string_view request_line) {
  if (request_line.find(" /metrics ") != std::string_view::npos) {
    m_update_metrics();
    return m_context.metrics.Text();
  }
  if (request_line.find(" /keys ") != std::string_view::npos) {
    return EncodeKeyTable(m_context.state.keys()) + "\n";
  }
  return {};
}

void GatewayServer::CloseListeners() {
  error_code ignored;
  m_callers.close(ignored);
}

void GatewayServer::CloseIdle() {
  const std::vector<GatewaySession*> sessions(m_context.sessions.begin(),
                                              m_context.sessions.end());
  for (GatewaySession* session : sessions) {
    session->CloseIfIdle();
  }
}

int GatewayServer::busy() const {
  int count = 0;
  for (const GatewaySession* session : m_context.sessions) {
    count += session->busy() ? 1 : 0;
  }
  return count;
}

void GatewayServer::Stop() {
  CloseListeners();
  error_code ignored;
  m_questions.close(ignored);
  m_context.pools.CloseIdle();
}

}  // namespace snipehall
