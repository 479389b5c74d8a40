#pragma once

#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "state/result.h"
#include "state/types.h"
#include "transport/admin/admin_backend.h"

namespace snipehall {

// The administration listener on a thread of its own: accepts connections,
// bounds what each may use, and hands requests to the API, the console and
// the endpoints of the platform (/metrics, /healthz, /readyz).
class AdminServer {
 public:
  struct Options {
    // "IP-number:port".
    std::string address;
    // Empty: none is needed, which is allowed on loopback only.
    std::string token;
    AdminBackend backend;
    std::shared_ptr<prometheus::Registry> registry;
    // Time that a client may take for one request, and for reading the answer.
    Milliseconds client_limit{15000};
  };

  // Connections served at the same time; further ones are closed at once.
  static constexpr int kConnectionLimit = 64;
  static constexpr std::uint32_t kHeaderLimit = 16384;
  static constexpr std::uint64_t kBodyLimit = 2097152;

  // Fails with kInvalidArgument for a bad address or a missing token, and with
  // kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<AdminServer>> Start(Options options);

  // Closes all connections and joins the thread.
  ~AdminServer();

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Address of the listener, with the port that was chosen.
  std::string address() const;

  // From now on /readyz answers that the instance is not ready.
  void BeginShutdown();

 private:
  class Impl;

  explicit AdminServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
