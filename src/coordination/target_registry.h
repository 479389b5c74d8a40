#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "state/target_list.h"

namespace snipehall {

// Keeps the targets that an instance may use, as read from the platform's list.
//
// Entries expire while the list cannot be written, and are back soon after. So
// when many targets are missing at once after an interruption, they are kept
// for kReturnTimeout. Otherwise a missing entry means that its target has left,
// also when it disappeared while only this instance was disconnected.
//
// Other programs may write entries under a target's id. While a target is
// listed, an entry that cannot be its own is refused:
// - A target never changes its service. Its process never changes its address
//   or its zone, nor its report number by more than kMaxReportStep.
// - A restarted process is not at the address of another listed target.
// An entry that is not refused may still be another writer's. When a process
// that such an entry has made to look outdated keeps reporting, its reports
// count again.
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

  // Largest difference between the report numbers of two entries of a process
  // that are read one after the other. Reports are about a second apart, so
  // this allows for hours without a read.
  static constexpr std::uint64_t kMaxReportStep = 10'000;

  // Changed entries in the order of the list; no value for an entry that was
  // removed. A target may have several.
  using Changes = std::vector<std::pair<TargetId, std::optional<ListedTarget>>>;

  // An entry that is not its target's own.
  struct RefusedEntry {
    TargetId id;
    std::string_view reason;
  };

  // Call after each read of the list. `changes` are the changes since the last
  // read or, with `is_full_list`, all entries of the list. Entries that are
  // older than the newest one of their target, by process start or report
  // number, are ignored, and a process that was draining stays so. Returns the
  // refused entries; their targets have kReturnTimeout to report again.
  std::vector<RefusedEntry> OnRead(MonotonicTime now,
                                   const Changes& changes,
                                   bool is_full_list);

  // Call instead of OnRead() for the first read of a list that was restored
  // from an older copy, with all its entries. Entries of live targets may be
  // missing and are kept for kReturnTimeout; entries of targets that have left
  // may be back and are ignored.
  std::vector<RefusedEntry> OnRestoredList(MonotonicTime now,
                                           const Changes& entries);

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
  std::vector<RefusedEntry> ApplyEntries(MonotonicTime now,
                                         const Changes& changes);
  // Returns why the entry was refused; empty if it was not.
  std::string_view Apply(MonotonicTime now, ListedTarget entry);
  void Remove(MonotonicTime now, std::string_view id);
  // Whether `entry` is a copy of the last one of a target that has left.
  bool HasLeft(const ListedTarget& entry) const;
  // Why `entry` cannot be that of the listed target `known`, whose process it
  // names or whose restart it reports; empty if it can.
  std::string_view FindConflict(const ListedTarget& entry,
                                const ListedTarget& known) const;
  // Whether `entry` may come from the target's listed process or the one that
  // this has replaced.
  bool IsOfKnownProcess(const ListedTarget& entry) const;
  // Whether `entry`, which counts as older than the newest one, is the second
  // of its process: so the process still reports, and no delayed report came
  // late.
  bool KeepsReporting(MonotonicTime now, const ListedTarget& entry);

  // An entry that was ignored as older than the newest one of its target.
  struct IgnoredReport {
    std::int64_t start_time_ms = 0;
    std::uint64_t report_sequence = 0;
    MonotonicTime read_at;
  };

  TargetList m_targets;
  // The newest entry of each target that was ever listed, to detect entries
  // that a delayed report or a restored list brings back.
  TargetList m_newest_entries;
  // The last entry of the process that the listed one has replaced.
  TargetList m_replaced_processes;
  std::map<TargetId, IgnoredReport, std::less<>> m_ignored_reports;
  std::map<TargetId, MonotonicTime, std::less<>> m_missing_until;
  std::optional<MonotonicTime> m_read_at;
  MonotonicTime m_return_until;
  bool m_changed = false;
};

}  // namespace snipehall
