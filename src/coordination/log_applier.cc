#include "coordination/log_applier.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace snipehall {

void LogApplier::AddEntries(std::span<const LogEntry> entries,
                            const Observer& observer) {
  for (const LogEntry& entry : entries) {
    if (entry.record &&
        std::holds_alternative<SnapshotRecord>(entry.record->body)) {
      m_last_snapshot = std::max(m_last_snapshot, entry.offset);
      RestoreSnapshot(entry, observer);
    }
    if (entry.offset <= m_state.offset()) {
      continue;
    }
    if (entry.offset == m_state.offset() + 1) {
      ApplyEntry(entry, observer);
      ApplyBuffered(observer);
      continue;
    }
    m_buffered.insert_or_assign(entry.offset, entry);
    if (m_buffered.size() > kMaxBufferedEntries) {
      m_buffered.erase(m_buffered.begin());
    }
  }
  ApplyBuffered(observer);
}

LogOffset LogApplier::next_read_offset() const {
  const LogOffset next = m_state.offset() + 1;
  // Buffered entries wait for a snapshot only if the log has dropped the
  // entries before them; other gaps are read again.
  if (m_buffered.empty() || m_first <= next) {
    return std::max(next, m_first);
  }
  return m_buffered.rbegin()->first + 1;
}

std::vector<LogEntry> LogApplier::RecordsFrom(LogOffset from) const {
  std::vector<LogEntry> entries;
  if (from > m_state.offset()) {
    return entries;
  }
  if (m_recent.empty() || from < m_recent.front().offset) {
    // The synthetic entry gets the offset that its snapshot covers.
    entries.push_back(
        {m_state.offset(),
         Record{"peer-snapshot", "", m_state.offset(), m_state.ToSnapshot()}});
    return entries;
  }
  std::copy_if(m_recent.begin(), m_recent.end(), std::back_inserter(entries),
               [from](const LogEntry& entry) { return entry.offset >= from; });
  return entries;
}

void LogApplier::ApplyEntry(const LogEntry& entry, const Observer& observer) {
  ApplyEvent event{&entry, ApplyOutcome::kInvalid, nullptr};
  std::optional<ServiceAssignment> replaced;
  if (entry.record &&
      std::holds_alternative<SnapshotRecord>(entry.record->body)) {
    m_state.Skip(entry.offset);
    event.outcome = ApplyOutcome::kSkipped;
  } else if (entry.record) {
    if (const auto* body = std::get_if<AssignmentRecord>(&entry.record->body)) {
      if (const ServiceAssignment* old =
              m_state.FindAssignment(body->service)) {
        replaced = *old;
      }
    }
    event.outcome = m_state.Apply(entry.offset, *entry.record);
    event.replaced = replaced ? &*replaced : nullptr;
  } else {
    m_state.Skip(entry.offset);
  }
  observer(event);
  m_recent.push_back(entry);
  if (m_recent.size() > kMaxRecentEntries) {
    m_recent.pop_front();
  }
}

void LogApplier::RestoreSnapshot(const LogEntry& entry,
                                 const Observer& observer) {
  const auto& snapshot = std::get<SnapshotRecord>(entry.record->body);
  // Without a gap the records themselves are applied, because they contain more
  // details than the snapshot.
  const bool gap = entry.offset > m_state.offset() + 1 || m_state.offset() == 0;
  if (!gap || snapshot.covers <= m_state.offset() ||
      snapshot.covers > entry.offset) {
    return;
  }
  Result<ClusterState> restored = ClusterState::FromSnapshot(snapshot);
  if (!restored.has_value()) {
    return;
  }
  m_state = std::move(restored).value();
  m_recent.clear();
  m_buffered.erase(m_buffered.begin(),
                   m_buffered.upper_bound(m_state.offset()));
  observer(ApplyEvent{nullptr, ApplyOutcome::kAccepted, nullptr});
  ApplyBuffered(observer);
}

void LogApplier::ApplyBuffered(const Observer& observer) {
  while (!m_buffered.empty() &&
         m_buffered.begin()->first <= m_state.offset() + 1) {
    const auto node = m_buffered.extract(m_buffered.begin());
    if (node.key() == m_state.offset() + 1) {
      ApplyEntry(node.mapped(), observer);
    }
  }
}

}  // namespace snipehall
