#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <vector>

#include "coordination/messages.h"
#include "state/cluster_state.h"

namespace snipehall {

// Reports that a log entry was applied, or that a snapshot replaced the state.
struct ApplyEvent {
  // Null if a snapshot replaced the state.
  const LogEntry* entry = nullptr;
  ApplyOutcome outcome = ApplyOutcome::kSkipped;
  // The assignment that an accepted assignment record replaced; may be null.
  const ServiceAssignment* replaced = nullptr;
};

// Applies log entries from reads and from peers to the cluster state in order.
// Entries after a gap are buffered until the missing entries or a snapshot
// arrive. Keeps recent entries for peers.
class LogApplier {
 public:
  using Observer = std::function<void(const ApplyEvent&)>;

  // Limit of buffered entries; the oldest is dropped first and is read again
  // later.
  static constexpr std::size_t kMaxBufferedEntries = 20000;
  // Limit of entries kept for peers; older entries are replaced by a snapshot.
  static constexpr std::size_t kMaxRecentEntries = 2048;

  // Applies the entries that follow the state without a gap and buffers the
  // others. Calls `observer` for every applied entry and restored snapshot.
  void AddEntries(std::span<const LogEntry> entries, const Observer& observer);
  // Call when the log no longer holds offsets below `first`.
  void AdvanceFirst(LogOffset first) { m_first = std::max(m_first, first); }

  const ClusterState& state() const { return m_state; }
  // Returns the offset at which the next read of the log should start.
  LogOffset next_read_offset() const;
  // Returns the offset of the newest snapshot record seen.
  LogOffset last_snapshot() const { return m_last_snapshot; }

  // Returns the recent entries from `from` on. Returns a snapshot of the state
  // instead if some of them were dropped.
  std::vector<LogEntry> RecordsFrom(LogOffset from) const;

 private:
  void ApplyEntry(const LogEntry& entry, const Observer& observer);
  void RestoreSnapshot(const LogEntry& entry, const Observer& observer);
  void ApplyBuffered(const Observer& observer);

  ClusterState m_state;
  LogOffset m_first = 1;
  LogOffset m_last_snapshot = 0;
  std::map<LogOffset, LogEntry> m_buffered;
  std::deque<LogEntry> m_recent;
};

}  // namespace snipehall
