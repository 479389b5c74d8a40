#pragma once

#include <prometheus/registry.h>

#include <memory>

#include "protocol/settings.h"
#include "state/result.h"
#include "transport/admin_service.h"
#include "transport/control_service.h"
#include "transport/data_service.h"

namespace snipehall {

// The daemon's services, in the order in which they depend on each other.
class Daemon {
 public:
  // Starts all services and writes the addresses file. Nothing keeps running
  // when it fails.
  static Result<std::unique_ptr<Daemon>> Start(const Settings& settings);

  // Graceful shutdown: fails the readiness check, leaves duties to the other
  // instances and finishes the requests in progress. Returns the number of
  // requests cut off at the limit of the settings.
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
