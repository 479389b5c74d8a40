#pragma once

#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "state/result.h"
#include "state/types.h"
#include "transport/admin/admin_backend.h"

namespace snipehall {

// HTTP server of the administration listener with its own thread. Accepts
// connections, limits the size and time of each request, and dispatches
// requests to the API, the console and the monitoring endpoints (/metrics,
// /healthz, /readyz).
class AdminServer {
 public:
  struct Options {
    // Listen address, "IP-number:port"; port 0 selects a free port.
    std::string address;
    // Administration token. Empty disables authentication, which is allowed on
    // loopback addresses only.
    std::string token;
    AdminBackend backend;
    std::shared_ptr<prometheus::Registry> registry;
    // Limit for receiving one request, and again for sending its response.
    Milliseconds client_timeout{15000};
  };

  // Maximum number of open connections; further ones are closed immediately.
  static constexpr int kMaxConnections = 64;
  // Larger requests are rejected with status 431 or 413.
  static constexpr std::uint32_t kMaxHeaderBytes = 16384;
  static constexpr std::uint64_t kMaxBodyBytes = 2097152;

  // Fails with kInvalidArgument for a bad address or a missing token, and with
  // kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<AdminServer>> Start(Options options);

  // Stops the event loop, joins the thread and closes all connections.
  ~AdminServer();

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Returns the listen address with the actual port.
  std::string address() const;

  // Makes /readyz report that the instance is not ready. Call it at the start
  // of a graceful shutdown, from any thread.
  void BeginShutdown();

 private:
  class Impl;

  explicit AdminServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
