#pragma once

#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "protocol/settings.h"
#include "state/result.h"
#include "transport/control_service.h"

namespace snipehall {

// Serves operators on a thread of its own: the administration API, the
// console, `/metrics`, `/healthz` and `/readyz`.
class AdminService {
 public:
  // Binds the listener and starts the thread. `control` outlives the service.
  static Result<std::unique_ptr<AdminService>> Start(
      const Settings& settings,
      ControlService* control,
      std::shared_ptr<prometheus::Registry> registry);

  ~AdminService();

  AdminService(const AdminService&) = delete;
  AdminService& operator=(const AdminService&) = delete;

  // Address of the listener, with the port that was chosen.
  std::string admin_address() const;

  // From now on `/readyz` answers that the instance is not ready.
  void BeginShutdown();

 private:
  class Impl;

  explicit AdminService(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace snipehall
