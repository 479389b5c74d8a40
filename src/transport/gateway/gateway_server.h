#pragma once

#include <functional>
#include <memory>
#include <string>

#include "state/result.h"
#include "transport/gateway/gateway_context.h"

namespace snipehall {

// Accepts callers' connections, and answers questions about readiness and
// metrics on a listener of their own.
class GatewayServer {
 public:
  // Binds both listeners. `is_ready` decides what a question for readiness is
  // answered.
  static Result<std::unique_ptr<GatewayServer>> Create(
      GatewayContext& context,
      const GatewaySettings& settings,
      std::function<bool()> is_ready);

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

  GatewayServer(GatewayContext& context, std::function<bool()> is_ready);

  Task<void> AcceptCallers();
  Task<void> AcceptQuestions();
  Task<void> Answer(Socket socket);

  GatewayContext& m_context;
  std::function<bool()> m_is_ready;
  Acceptor m_callers;
  Acceptor m_questions;
};

}  // namespace snipehall
