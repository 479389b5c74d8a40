#pragma once

#include <boost/asio/awaitable.hpp>

#include "transport/admin/admin_backend.h"
#include "transport/admin/admin_http.h"
#include "transport/admin/configuration_publisher.h"

namespace snipehall {

// Handles the requests under /admin/v1/; see docs/ADMIN_API.md. The caller has
// to authorize each request with AdminAccess::CheckApiRequest() first.
class AdminApi {
 public:
  // Both pointers must outlive this object.
  AdminApi(const AdminBackend* backend,
           const ConfigurationPublisher* publisher);

  // Returns the response to a request. Errors are returned as a JSON body with
  // the matching status.
  boost::asio::awaitable<AdminResponse> Handle(AdminRequest request) const;

 private:
  using Body = boost::json::object;

  AdminResponse HandleGet(std::string_view resource,
                          const Parameters& query) const;
  boost::asio::awaitable<AdminResponse> HandlePost(std::string resource,
                                                   Body body) const;

  AdminResponse GetConfiguration(const Parameters& query) const;
  AdminResponse GetHistory() const;
  AdminResponse GetStatus() const;
  AdminResponse GetOwner(const Parameters& query) const;
  AdminResponse Check(const Body& body) const;
  boost::asio::awaitable<AdminResponse> Publish(Body body) const;
  boost::asio::awaitable<AdminResponse> Undo(Body body) const;
  boost::asio::awaitable<AdminResponse> Drain(Body body) const;

  const AdminBackend* m_backend;
  const ConfigurationPublisher* m_publisher;
};

}  // namespace snipehall
