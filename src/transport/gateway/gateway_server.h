#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "state/result.h"
#include "transport/gateway/gateway_context.h"

namespace snipehall {

// Accepts callers' connections, and serves status requests on a separate
// listener: /metrics returns the metrics, /keys the owners of keys, and every
// other path the readiness (200 or 503).
class GatewayServer {
 public:
  // Binds both listeners. `is_ready` decides the response to readiness checks;
  // `update_metrics` is called before metrics are returned. Fails when an
  // address is malformed or cannot be bound.
  static Result<std::unique_ptr<GatewayServer>> Create(
      GatewayContext& context,
      const GatewaySettings& settings,
      std::function<bool()> is_ready,
      std::function<void()> update_metrics);

  // Starts to accept connections on both listeners.
  void Start();

  // Serves the requests that another instance forwards on this connection.
  void StartInstanceSession(std::shared_ptr<ByteStream> stream);

  // "address:port" on which callers are accepted; differs from the settings
  // when these leave the choice of the port to the system.
  std::string caller_address() const;

  // Starts the shutdown: each connection is closed after its next response. New
  // connections are still accepted, because the load balancer takes a while to
  // notice.
  void BeginDrain() { m_context.draining = true; }

  // Stops accepting callers, after those that have connected already; the
  // status listener stays open.
  void CloseCallerListener();
  // Closes callers' connections without a request in progress.
  void CloseIdle();
  // Ends all requests in progress, each with a response.
  void ExpireRequests();

  // Number of requests in progress.
  int active_requests() const;
  // Whether callers' connections are open on which requests may still arrive or
  // are in progress.
  bool has_open_sessions() const;

  // Closes both listeners and idle connections to targets. Call it last.
  void Stop();

 private:
  using Acceptor =
      boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

  GatewayServer(GatewayContext& context,
                std::size_t max_caller_connections,
                std::function<bool()> is_ready,
                std::function<void()> update_metrics);

  // Closes the connection that has waited longest for bytes of a request, if
  // there are too many. Returns whether another one may be opened.
  bool MakeRoomForSession();
  void StartSession(Socket socket);
  Task<void> ServeStatus(Socket socket);
  // Body for /metrics and /keys; empty for a readiness check.
  std::string StatusBody(std::string_view request_line);

  GatewayContext& m_context;
  std::function<bool()> m_is_ready;
  std::function<void()> m_update_metrics;
  Acceptor m_caller_acceptor;
  Acceptor m_status_acceptor;
  std::size_t m_max_caller_connections;
};

}  // namespace snipehall
