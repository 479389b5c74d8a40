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

// One record that was folded, or a snapshot that replaced the state.
struct FoldStep {
  // Null when a snapshot replaced the state.
  const LogEntry* entry = nullptr;
  ApplyOutcome outcome = ApplyOutcome::kSkipped;
  // The assignment that an accepted assignment record replaced; may be null.
  const ServiceAssignment* replaced = nullptr;
};

// Folds log entries from reads and from peers. Entries beyond a gap wait until
// a snapshot closes it. Keeps the newest records for peers.
class LogFold {
 public:
  using Observer = std::function<void(const FoldStep&)>;

  // Waiting entries; when full, the oldest is dropped and read again.
  static constexpr std::size_t kWaitingLimit = 20000;
  // Records kept for peers; older ones are replaced by a snapshot.
  static constexpr std::size_t kRecentLimit = 2048;

  void Accept(std::span<const LogEntry> entries, const Observer& observer);
  // The log no longer holds offsets below `first`.
  void NoteFirst(LogOffset first) { m_first = std::max(m_first, first); }

  const ClusterState& state() const { return m_state; }
  LogOffset next_read() const;
  // Offset of the newest snapshot record seen.
  LogOffset last_snapshot() const { return m_last_snapshot; }

  std::vector<LogEntry> RecordsFrom(LogOffset from) const;

 private:
  void Fold(const LogEntry& entry, const Observer& observer);
  void AdoptSnapshot(const LogEntry& entry, const Observer& observer);
  void FoldWaiting(const Observer& observer);

  ClusterState m_state;
  LogOffset m_first = 1;
  LogOffset m_last_snapshot = 0;
  std::map<LogOffset, LogEntry> m_waiting;
  std::deque<LogEntry> m_recent;
};

}  // namespace snipehall
