#include "apps/snipehalld/daemon.h"

#include <utility>

#include "apps/snipehalld/addresses_file.h"

namespace snipehall {

Daemon::Daemon(const Settings& settings)
    : m_settings(settings),
      m_registry(std::make_shared<prometheus::Registry>()) {}

Result<std::unique_ptr<Daemon>> Daemon::Start(const Settings& settings) {
  std::unique_ptr<Daemon> daemon(new Daemon(settings));
  auto control = ControlService::Start(settings, daemon->m_registry);
  if (!control) {
    return control.error();
  }
  daemon->m_control = std::move(control).value();
  auto data = DataService::Start(
      settings, {&daemon->m_control->routing_table(),
                 &daemon->m_control->confirmed_until(), daemon->m_registry});
  if (!data) {
    return data.error();
  }
  daemon->m_data = std::move(data).value();
  auto admin = AdminService::Start(settings, daemon->m_control.get(),
                                   daemon->m_registry);
  if (!admin) {
    return admin.error();
  }
  daemon->m_admin = std::move(admin).value();
  if (!settings.addresses_file.empty()) {
    Result<void> written = WriteAddressesFile(
        settings.addresses_file,
        {daemon->m_data->caller_address(), daemon->m_control->peer_address(),
         daemon->m_admin->admin_address()});
    if (!written) {
      return written.error();
    }
  }
  return daemon;
}

int Daemon::Stop() {
  const MonotonicTime deadline =
      MonotonicTime::clock::now() + m_settings.shutdown_timeout;
  m_admin->BeginShutdown();
  m_control->Leave();
  return m_data->Drain(deadline);
}

}  // namespace snipehall
