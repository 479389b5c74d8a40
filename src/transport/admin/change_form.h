#pragma once

#include <memory>
#include <string>
#include <vector>

#include "coordination/changes/draft.h"
#include "transport/admin/admin_http.h"

namespace snipehall {

// Reads an edit from a form's parameters; `kind` names the change. Fails with
// kInvalidArgument, with a pointer to the parameter.
Result<std::unique_ptr<ConfigurationChange>> ParseChange(
    const Parameters& parameters);

// The edits of a draft as text that a form carries: one line an edit, each
// with its parameters URL-encoded.
class ChangeJournal {
 public:
  // Longest text that is accepted, in bytes.
  static constexpr std::size_t kLimit = 65536;

  // Fails with kInvalidArgument for text that is too long or malformed.
  static Result<ChangeJournal> Parse(std::string_view text);

  // Adds the parameters that ParseChange() reads; others are left out.
  void Add(const Parameters& parameters);

  // Applies all edits to `base`, in order. Fails with the first error.
  Result<Draft> Replay(Configuration base) const;

  std::string ToText() const;
  std::size_t size() const { return m_edits.size(); }
  void RemoveLast() { m_edits.pop_back(); }

 private:
  std::vector<Parameters> m_edits;
};

}  // namespace snipehall
