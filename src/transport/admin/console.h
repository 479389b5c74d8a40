#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "transport/admin/admin_access.h"
#include "transport/admin/admin_backend.h"
#include "transport/admin/admin_http.h"
#include "transport/admin/configuration_publisher.h"
#include "transport/admin/console_page.h"

namespace snipehall {

// The console of forms under /console: plain HTML from the server. A draft is
// kept in the forms themselves, as the offset that it is edited from and the
// list of its edits, so any instance can serve any form.
class Console {
 public:
  // All outlive the console.
  Console(const AdminBackend* backend,
          const ConfigurationPublisher* publisher,
          AdminAccess* access);

  boost::asio::awaitable<AdminResponse> Handle(AdminRequest request);

 private:
  using Session = AdminAccess::Session;

  AdminResponse HandleGet(const AdminRequest& request, const Session& session);
  AdminResponse LogIn(const AdminRequest& request);
  boost::asio::awaitable<AdminResponse> HandleDraft(Parameters form,
                                                    std::string csrf_token);
  boost::asio::awaitable<AdminResponse> HandleUndo(Parameters form,
                                                   std::string csrf_token);

  // A view with what does not depend on the draft.
  ConsoleView MakeView(const Parameters& form,
                       const std::string& csrf_token) const;
  // Fills in the draft that the journal makes of the document at
  // `view.based_on`, without the last edit when `undo_last` is set.
  Result<void> ReplayDraft(ChangeJournal& journal,
                           ConsoleView& view,
                           bool undo_last = false) const;
  // Performs "edit", "undo" and "rebase" on the form's draft.
  Result<ChangeJournal> Edit(const Parameters& form, ConsoleView& view) const;

  const AdminBackend* m_backend;
  const ConfigurationPublisher* m_publisher;
  AdminAccess* m_access;
};

}  // namespace snipehall
