#pragma once

#include <memory>
#include <string>
#include <vector>

#include "coordination/changes/draft.h"
#include "transport/admin/admin_http.h"

namespace snipehall {

// Creates a change of a configuration from the parameters of a form. The
// parameter `kind` selects the class of the change from the list in
// change_form.cc. Fails with kInvalidArgument; Error::pointer is "/" and the
// name of the invalid parameter.
Result<std::unique_ptr<ConfigurationChange>> ParseChange(
    const Parameters& parameters);

// The list of edits that lead from a published configuration to a draft, which
// is one not yet published. An edit is a change in the form in which the
// console submits it: the parameters for ParseChange(). The list is serialized
// into a hidden form field, one line of URL-encoded parameters per edit.
class ChangeJournal {
 public:
  // Maximum size of the serialized list that Parse() accepts. Add() does not
  // enforce it: a list that has become longer is rejected when the form is
  // submitted again.
  static constexpr std::size_t kMaxTextBytes = 65536;

  // Fails with kInvalidArgument for text that is too long or malformed.
  static Result<ChangeJournal> Parse(std::string_view text);

  // Appends an edit without checking it; Replay() does. Drops the parameters of
  // the form that no kind of change has, such as the CSRF token.
  void Add(const Parameters& parameters);

  // Applies the edits to `base` in order. Stops at the first edit that is
  // invalid or cannot be applied and returns its error; otherwise returns the
  // resulting draft.
  Result<Draft> Replay(Configuration base) const;

  // Serializes the list in the format that Parse() reads.
  std::string ToText() const;
  std::size_t size() const { return m_edits.size(); }
  // Must not be called on an empty list.
  void RemoveLast() { m_edits.pop_back(); }

 private:
  std::vector<Parameters> m_edits;
};

}  // namespace snipehall
