#include "transport/admin/console.h"

namespace snipehall {

Console::Console(const AdminBackend* backend,
                 const ConfigurationPublisher* publisher,
                 AdminAccess* access)
    : m_backend(backend), m_publisher(publisher), m_access(access) {}

boost::asio::awaitable<AdminResponse> Console::Handle(AdminRequest request) {
  co_return MakeErrorResponse({ErrorCode::kNotFound, "no such resource", "",
                               std::string(PathOf(request)), ""});
}

}  // namespace snipehall
