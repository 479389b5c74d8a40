#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "state/target_list.h"

namespace snipehall {

// The targets that an instance may use, from the platform's list.
//
// Entries that lapse while the list cannot be written come back soon after, so
// a target that is missing after an outage is kept for kReturnTime. At other
// times an entry that goes means that its target leaves.
class TargetRegistry {
 public:
  // A gap between two reads from which on the list counts as interrupted.
  static constexpr Milliseconds kOutage{2500};
  // Entries of living targets are back within two seconds of an outage's end,
  // as the platform states.
  static constexpr Milliseconds kReturnTime{2300};

  // The list was read at `now`; its entries follow.
  void OnRead(MonotonicTime now);

  // An entry, or with no value its end. Entries that are older than the newest
  // one, from a target's earlier start or report, are ignored, and a process
  // that leaves does not come back.
  void OnEntry(MonotonicTime now,
               std::string_view id,
               std::optional<ListedTarget> entry);

  // The whole list was read and has none but `entries`.
  void OnWholeList(MonotonicTime now, TargetList entries);

  // Drops targets that did not come back in time.
  void Expire(MonotonicTime now);

  // Whether the list changed since the last call, but for reports that repeat
  // what is known.
  bool TakeChanged();

  const TargetList& targets() const { return m_targets; }

 private:
  void Remove(MonotonicTime now, std::string_view id);

  TargetList m_targets;
  // The newest entry of each target that was ever listed. Entries may come back
  // by reports that were delayed.
  TargetList m_last;
  std::map<TargetId, MonotonicTime, std::less<>> m_missing_until;
  std::optional<MonotonicTime> m_read_at;
  MonotonicTime m_return_until;
  bool m_changed = false;
};

}  // namespace snipehall
