#pragma once

#include <boost/asio/awaitable.hpp>

#include "transport/admin/admin_access.h"
#include "transport/admin/admin_backend.h"
#include "transport/admin/admin_http.h"
#include "transport/admin/configuration_publisher.h"

namespace snipehall {

// The console of forms under /console: plain HTML from the server.
class Console {
 public:
  // All outlive the console.
  Console(const AdminBackend* backend,
          const ConfigurationPublisher* publisher,
          AdminAccess* access);

  boost::asio::awaitable<AdminResponse> Handle(AdminRequest request);

 private:
  const AdminBackend* m_backend;
  const ConfigurationPublisher* m_publisher;
  AdminAccess* m_access;
};

}  // namespace snipehall
