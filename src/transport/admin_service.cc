#include "transport/admin_service.h"

#include "transport/admin/admin_access.h"
#include "transport/admin/admin_server.h"

namespace snipehall {

class AdminService::Impl {
 public:
  explicit Impl(std::unique_ptr<AdminServer> server)
      : m_server(std::move(server)) {}

  AdminServer& server() { return *m_server; }

 private:
  std::unique_ptr<AdminServer> m_server;
};

Result<std::unique_ptr<AdminService>> AdminService::Start(
    const Settings& settings,
    ControlService* control,
    std::shared_ptr<prometheus::Registry> registry) {
  AdminServer::Options options;
  options.address = settings.admin_address;
  options.registry = std::move(registry);
  if (!settings.admin_token_file.empty()) {
    Result<std::string> token = LoadToken(settings.admin_token_file);
    if (!token) {
      return token.error();
    }
    options.token = std::move(token).value();
  }
  options.backend.status = [control] { return control->status().Load(); };
  options.backend.ready = [control] {
    return control->routing_table().Load()->ready;
  };
  options.backend.submit = [control](Record record, MonotonicTime deadline,
                                     ControlService::SubmitCallback callback) {
    control->Submit(std::move(record), deadline, std::move(callback));
  };
  auto server = AdminServer::Start(std::move(options));
  if (!server) {
    return server.error();
  }
  return std::unique_ptr<AdminService>(
      new AdminService(std::make_unique<Impl>(std::move(server).value())));
}

AdminService::AdminService(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

AdminService::~AdminService() = default;

std::string AdminService::admin_address() const {
  return m_impl->server().address();
}

void AdminService::BeginShutdown() {
  m_impl->server().BeginShutdown();
}

}  // namespace snipehall
