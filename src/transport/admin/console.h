#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "transport/admin/admin_access.h"
#include "transport/admin/admin_backend.h"
#include "transport/admin/admin_http.h"
#include "transport/admin/configuration_publisher.h"
#include "transport/admin/console_page.h"

namespace snipehall {

// The administration console under /console, rendered on the server as HTML
// forms without scripts. The server keeps no draft state: each form carries the
// offset that the draft is based on and the list of its edits, so any instance
// can handle any form.
class Console {
 public:
  // All pointers must outlive the console.
  Console(const AdminBackend* backend,
          const ConfigurationPublisher* publisher,
          AdminAccess* access);

  // Returns the response to a request for /, /console or a path below it.
  // Checks the session and CSRF token itself.
  boost::asio::awaitable<AdminResponse> Handle(AdminRequest request);

 private:
  using Session = AdminAccess::Session;

  AdminResponse HandleGet(const AdminRequest& request, const Session& session);
  AdminResponse LogIn(const AdminRequest& request);
  boost::asio::awaitable<AdminResponse> HandleDraft(Parameters form,
                                                    std::string csrf_token);
  boost::asio::awaitable<AdminResponse> HandleUndo(Parameters form,
                                                   std::string csrf_token);

  // Returns a view without the fields that depend on the draft's content.
  ConsoleView MakeView(const Parameters& form,
                       const std::string& csrf_token) const;
  // Applies the journal to the document at `view.based_on` and fills in the
  // fields of the view that depend on the draft. With `undo_last` the last edit
  // is removed from the draft and the journal.
  Result<void> ReplayDraft(ChangeJournal& journal,
                           ConsoleView& view,
                           bool undo_last = false) const;
  // Applies the form's action ("edit", "undo" or "rebase") to its draft and
  // returns the resulting journal. When the action fails, the draft is left
  // unchanged and the error is added to `view.action_errors`. Fails when the
  // submitted draft itself cannot be rebuilt.
  Result<ChangeJournal> ApplyAction(const Parameters& form,
                                    ConsoleView& view) const;

  const AdminBackend* m_backend;
  const ConfigurationPublisher* m_publisher;
  AdminAccess* m_access;
};

}  // namespace snipehall
