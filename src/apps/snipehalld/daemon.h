#pragma once

#include <prometheus/registry.h>

#include <memory>

#include "protocol/settings.h"
#include "state/result.h"
#include "transport/admin_service.h"
#include "transport/control_service.h"
#include "transport/data_service.h"

namespace snipehall {

// Owns the services of the daemon. Each service depends only on those declared
// before it.
class Daemon {
 public:
  // Starts all services and writes the addresses file. On failure the services
  // already started are stopped.
  static Result<std::unique_ptr<Daemon>> Start(const Settings& settings);

  // Shuts down gracefully: fails the readiness check, transfers the instance's
  // responsibilities to other instances and waits for the requests in progress.
  // Returns the number of requests aborted at Settings::shutdown_timeout.
  int Stop();

 private:
  explicit Daemon(const Settings& settings);

  Settings m_settings;
  std::shared_ptr<prometheus::Registry> m_registry;
  std::unique_ptr<ControlService> m_control;
  std::unique_ptr<DataService> m_data;
  std::unique_ptr<AdminService> m_admin;
};

}  // namespace snipehall
