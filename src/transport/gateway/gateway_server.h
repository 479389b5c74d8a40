#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "state/result.h"
#include "transport/gateway/gateway_context.h"

namespace snipehall {

// Accepts callers' connections, and answers questions on a listener of their
// own: /metrics, /keys for the owners of keys, and any other path for
// readiness.
class GatewayServer {
 public:
  // Binds both listeners. `is_ready` decides what a question for readiness is
  // answered; `update_metrics` is called before metrics are.
  static Result<std::unique_ptr<GatewayServer>> Create(
      GatewayContext& context,
      const GatewaySettings& settings,
      std::function<bool()> is_ready,
      std::function<void()> update_metrics);

  // Starts to accept.
  void Start();

  // Connections end after their next answer; new ones are still accepted,
  // since the balancer takes a while to notice.
  void BeginDrain() { m_context.draining = true; }

  // Accepts no more, and closes connections without a request.
  void CloseListeners();
  void CloseIdle();

  // Requests in progress.
  int busy() const;

  void Stop();

 private:
  using Acceptor =
      boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

  GatewayServer(GatewayContext& context,
                std::function<bool()> is_ready,
                std::function<void()> update_metrics);

  Task<void> AcceptCallers();
  Task<void> AcceptQuestions();
  Task<void> Answer(Socket socket);
  // The metrics or the key table; empty for a question about readiness, which
  // has no body.
  std::string AnswerTo(std::string_view request_line);

  GatewayContext& m_context;
  std::function<bool()> m_is_ready;
  std::function<void()> m_update_metrics;
  Acceptor m_callers;
  Acceptor m_questions;
};

}  // namespace snipehall
