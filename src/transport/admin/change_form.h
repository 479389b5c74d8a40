#pragma once

#include <memory>
#include <string>
#include <vector>

#include "coordination/changes/draft.h"
#include "transport/admin/admin_http.h"

namespace snipehall {

// Creates a change from the parameters of a form; the parameter `kind` selects
// its type. Fails with kInvalidArgument; the error's pointer names the invalid
// parameter.
Result<std::unique_ptr<ConfigurationChange>> ParseChange(
    const Parameters& parameters);

// The list of edits of a draft. It is serialized into a hidden form field as
// one line per edit, each with its URL-encoded parameters.
class ChangeJournal {
 public:
  // Maximum size of the serialized list that Parse() accepts.
  static constexpr std::size_t kMaxTextBytes = 65536;

  // Fails with kInvalidArgument for text that is too long or malformed.
  static Result<ChangeJournal> Parse(std::string_view text);

  // Appends an edit. Parameters that ParseChange() does not read are dropped.
  void Add(const Parameters& parameters);

  // Applies all edits to `base` in order. Returns the resulting draft, or the
  // first error.
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
