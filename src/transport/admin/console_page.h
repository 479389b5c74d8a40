#pragma once

#include <boost/json/value.hpp>
#include <span>
#include <string>
#include <vector>

#include "protocol/json_difference.h"
#include "state/cluster_state.h"
#include "transport/admin/change_form.h"

namespace snipehall {

// What the console's main page shows.
struct ConsoleView {
  // Where forms are checked against forged requests.
  std::string csrf_token;
  // Offset that the draft is edited from, and the one in force.
  LogOffset based_on = 0;
  LogOffset in_force = 0;
  std::string journal;
  Configuration draft;
  // Descriptions of the draft's edits, in order.
  std::vector<std::string> edits;
  // Errors of the draft; their pointers lead into the document.
  std::vector<Error> errors;
  // The edit or publication that was refused; its pointer names a form field.
  std::vector<Error> refusals;
  // One line on what has just happened.
  std::string notice;
  std::vector<JsonDifference> differences;
  std::vector<ConfigurationEntry> history;
  std::string author;
  std::string reason;
};

// The page with all forms.
std::string RenderConsolePage(const ConsoleView& view);

// The page that asks for the token. `failed` tells that one was wrong.
std::string RenderLoginPage(bool failed);

// Content of /console/style.css.
std::string_view ConsoleStyle();

}  // namespace snipehall
