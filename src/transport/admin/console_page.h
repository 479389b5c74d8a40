#pragma once

#include <boost/json/value.hpp>
#include <span>
#include <string>
#include <vector>

#include "protocol/json_difference.h"
#include "state/cluster_state.h"
#include "transport/admin/change_form.h"

namespace snipehall {

// Data shown on the main page of the console.
struct ConsoleView {
  // Embedded in each form to prevent cross-site request forgery.
  std::string csrf_token;
  // Log offsets of the document that the draft is based on and of the document
  // in force.
  LogOffset based_on = 0;
  LogOffset in_force = 0;
  // Serialized ChangeJournal of the draft.
  std::string journal;
  Configuration draft;
  // Descriptions of the draft's edits, in order.
  std::vector<std::string> edits;
  // Validation errors of the draft, with JSON pointers into the document.
  std::vector<Error> errors;
  // Errors of a rejected edit or publication; their pointers name form fields.
  std::vector<Error> action_errors;
  // One-line result of the last successful action; may be empty.
  std::string notice;
  // Differences between the document in force and the draft.
  std::vector<JsonDifference> differences;
  std::vector<ConfigurationEntry> history;
  std::string author;
  std::string reason;
};

// Renders the main page with all forms as an HTML document.
std::string RenderConsolePage(const ConsoleView& view);

// Renders the login page. `failed` adds a message that the token was wrong.
std::string RenderLoginPage(bool failed);

// Returns the content of /console/style.css.
std::string_view ConsoleStyle();

}  // namespace snipehall
