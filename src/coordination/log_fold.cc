#include "coordination/log_fold.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace snipehall {

void LogFold::Accept(std::span<const LogEntry> entries,
                     const Observer& observer) {
  for (const LogEntry& entry : entries) {
    if (entry.record &&
        std::holds_alternative<SnapshotRecord>(entry.record->body)) {
      m_last_snapshot = std::max(m_last_snapshot, entry.offset);
      AdoptSnapshot(entry, observer);
    }
    if (entry.offset <= m_state.offset()) {
      continue;
    }
    if (entry.offset == m_state.offset() + 1) {
      Fold(entry, observer);
      FoldWaiting(observer);
      continue;
    }
    m_waiting.insert_or_assign(entry.offset, entry);
    if (m_waiting.size() > kWaitingLimit) {
      m_waiting.erase(m_waiting.begin());
    }
  }
  FoldWaiting(observer);
}

LogOffset LogFold::next_read() const {
  const LogOffset next = m_state.offset() + 1;
  // Entries wait for a snapshot only when the log has dropped those before
  // them; other gaps are read again.
  if (m_waiting.empty() || m_first <= next) {
    return std::max(next, m_first);
  }
  return m_waiting.rbegin()->first + 1;
}

std::vector<LogEntry> LogFold::RecordsFrom(LogOffset from) const {
  std::vector<LogEntry> entries;
  if (from > m_state.offset()) {
    return entries;
  }
  if (m_recent.empty() || from < m_recent.front().offset) {
    // The synthetic entry stands at the offset that its snapshot covers.
    entries.push_back(
        {m_state.offset(),
         Record{"peer-snapshot", "", m_state.offset(), m_state.ToSnapshot()}});
    return entries;
  }
  std::copy_if(m_recent.begin(), m_recent.end(), std::back_inserter(entries),
               [from](const LogEntry& entry) { return entry.offset >= from; });
  return entries;
}

void LogFold::Fold(const LogEntry& entry, const Observer& observer) {
  FoldStep step{&entry, ApplyOutcome::kInvalid, nullptr};
  std::optional<ServiceAssignment> replaced;
  if (entry.record &&
      std::holds_alternative<SnapshotRecord>(entry.record->body)) {
    m_state.Skip(entry.offset);
    step.outcome = ApplyOutcome::kSkipped;
  } else if (entry.record) {
    if (const auto* body = std::get_if<AssignmentRecord>(&entry.record->body)) {
      if (const ServiceAssignment* old =
              m_state.FindAssignment(body->service)) {
        replaced = *old;
      }
    }
    step.outcome = m_state.Apply(entry.offset, *entry.record);
    step.replaced = replaced ? &*replaced : nullptr;
  } else {
    m_state.Skip(entry.offset);
  }
  observer(step);
  m_recent.push_back(entry);
  if (m_recent.size() > kRecentLimit) {
    m_recent.pop_front();
  }
}

void LogFold::AdoptSnapshot(const LogEntry& entry, const Observer& observer) {
  const auto& snapshot = std::get<SnapshotRecord>(entry.record->body);
  // Without a gap the records themselves are folded, which shows more.
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
  m_waiting.erase(m_waiting.begin(), m_waiting.upper_bound(m_state.offset()));
  observer(FoldStep{nullptr, ApplyOutcome::kAccepted, nullptr});
  FoldWaiting(observer);
}

void LogFold::FoldWaiting(const Observer& observer) {
  while (!m_waiting.empty() &&
         m_waiting.begin()->first <= m_state.offset() + 1) {
    const auto node = m_waiting.extract(m_waiting.begin());
    if (node.key() == m_state.offset() + 1) {
      Fold(node.mapped(), observer);
    }
  }
}

}  // namespace snipehall
