#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "state/target_list.h"

namespace snipehall {

// Keeps the targets that an instance may use, as read from the platform's list.
//
// Entries expire while the list cannot be written, and are back soon after. So
// when many targets are missing at once after an interruption, they are kept
// for kReturnTimeout. Otherwise a missing entry means that its target has left,
// also when it disappeared while only this instance was disconnected.
class TargetRegistry {
 public:
  // Time between two reads above which the list counts as interrupted.
  static constexpr Milliseconds kInterruptionGap{2500};
  // How long missing targets are kept after an interruption. The platform
  // states that the entries of live targets are back within two seconds of the
  // end of an outage.
  static constexpr Milliseconds kReturnTimeout{2300};

  // Fraction of the known targets that must be missing at once, after an
  // interruption, to count as expired by it.
  static constexpr double kMassExpiryFraction = 0.5;

  // Changed entries by target; no value for an entry that was removed.
  using Changes = std::map<TargetId, std::optional<ListedTarget>, std::less<>>;

  // Call after each read of the list. `changes` are the changes since the last
  // read or, with `is_full_list`, all entries of the list. Entries that are
  // older than the newest one of their target, by process start or report
  // number, are ignored, and a process that was draining stays so.
  void OnRead(MonotonicTime now, Changes changes, bool is_full_list);

  // Call instead of OnRead() for the first read of a list that was restored
  // from an older copy, with all its entries. Entries of live targets may be
  // missing and are kept for kReturnTimeout; entries of targets that have left
  // may be back and are ignored.
  void OnRestoredList(MonotonicTime now, const Changes& entries);

  // Call when the target has stated that it is leaving; it counts as draining
  // from then on. Ignored if the process with this start time is not listed.
  void OnLeaving(std::string_view id, std::int64_t start_time_ms);

  // Call when a read had an entry of the target that cannot be used. The target
  // is kept for kReturnTimeout, in which it can report again: another writer
  // may have replaced its entry.
  void OnUnusableEntry(MonotonicTime now, std::string_view id);

  // Removes the targets that were missing after an interruption and did not
  // return within kReturnTimeout. Call it regularly.
  void Expire(MonotonicTime now);

  // Returns whether the targets changed since the last call. New report numbers
  // alone are no change.
  bool TakeChanged();

  const TargetList& targets() const { return m_targets; }

 private:
  void Apply(MonotonicTime now,
             const TargetId& id,
             std::optional<ListedTarget> entry);
  void Remove(MonotonicTime now, std::string_view id);
  // Whether `entry` is a copy of the last one of a target that has left.
  bool HasLeft(const ListedTarget& entry) const;

  TargetList m_targets;
  // The newest entry of each target that was ever listed, to detect entries
  // that a delayed report or a restored list brings back.
  TargetList m_newest_entries;
  std::map<TargetId, MonotonicTime, std::less<>> m_missing_until;
  std::optional<MonotonicTime> m_read_at;
  MonotonicTime m_return_until;
  bool m_changed = false;
};

}  // namespace snipehall
