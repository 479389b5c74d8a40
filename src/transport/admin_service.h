#pragma once

#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "protocol/settings.h"
#include "state/result.h"
#include "transport/control_service.h"

namespace snipehall {

// HTTP server for operators. Serves the administration API, the console,
// `/metrics`, `/healthz` and `/readyz` on a dedicated thread.
class AdminService {
 public:
  // Binds `settings.admin_address` and starts the thread. Fails when the
  // address cannot be bound or the token file cannot be read. `control` must
  // outlive the service.
  static Result<std::unique_ptr<AdminService>> Start(
      const Settings& settings,
      ControlService* control,
      std::shared_ptr<prometheus::Registry> registry);

  ~AdminService();

  AdminService(const AdminService&) = delete;
  AdminService& operator=(const AdminService&) = delete;

  // Address of the listener ("IP-number:port"), with the port that the system
  // chose if the settings name port 0.
  std::string admin_address() const;

  // Makes `/readyz` report that the instance is not ready, as the first step of
  // a graceful shutdown.
  void BeginShutdown();

 private:
  class Impl;

  explicit AdminService(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
