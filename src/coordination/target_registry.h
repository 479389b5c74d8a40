#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "state/target_list.h"

namespace snipehall {

// The targets that an instance may use, from the platform's list.
//
// Entries that lapse while the list cannot be written come back soon after. So
// when many targets are missing at once after an interruption, they are kept
// for kReturnTime. Otherwise an entry that goes means that its target leaves,
// also one that went while this instance alone was cut off.
class TargetRegistry {
 public:
  // A gap between two reads from which on the list counts as interrupted.
  static constexpr Milliseconds kOutage{2500};
  // Entries of living targets are back within two seconds of an outage's end,
  // as the platform states.
  static constexpr Milliseconds kReturnTime{2300};

  // Part of the known targets that are missing at once from which on the
  // entries count as lapsed.
  static constexpr double kLapsedPart = 0.5;

  // An entry for each target, or no value for one whose entry went.
  using Changes = std::map<TargetId, std::optional<ListedTarget>, std::less<>>;

  // The list was read at `now` with the changes since the last read, or, with
  // `whole`, with all entries that it has. Entries that are older than the
  // newest one of their target, from an earlier start or report, are ignored,
  // and a process that leaves does not come back.
  void OnRead(MonotonicTime now, Changes changes, bool whole);

  // Drops targets that did not come back in time.
  void Expire(MonotonicTime now);

  // Whether the list changed since the last call, but for reports that repeat
  // what is known.
  bool TakeChanged();

  const TargetList& targets() const { return m_targets; }

 private:
  void Apply(MonotonicTime now,
             const TargetId& id,
             std::optional<ListedTarget> entry);
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
