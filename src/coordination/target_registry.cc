#include "coordination/target_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace snipehall {

namespace {

// Ends of the same warm-up, as two entries tell it, differ by the time that
// they take to arrive.
constexpr Milliseconds kWarmupTolerance{500};

bool IsOlder(const ListedTarget& entry, const ListedTarget& known) {
  return entry.start_time_ms < known.start_time_ms ||
         (entry.start_time_ms == known.start_time_ms &&
          entry.report_sequence < known.report_sequence);
}

// Whether the entries differ in anything that matters to routing, so not in the
// report number.
bool Differs(const ListedTarget& entry, const ListedTarget& known) {
  return entry.service != known.service || entry.zone != known.zone ||
         entry.address != known.address || entry.slots != known.slots ||
         entry.draining != known.draining ||
         entry.start_time_ms != known.start_time_ms ||
         entry.warmup_until > known.warmup_until + kWarmupTolerance;
}

}  // namespace

std::vector<TargetRegistry::RefusedEntry> TargetRegistry::OnRead(
    MonotonicTime now,
    const Changes& changes,
    bool is_full_list) {
  std::map<std::string_view, bool> listed;
  if (is_full_list) {
    for (const auto& [id, target] : m_targets) {
      listed.emplace(id, false);
    }
  }
  for (const auto& [id, entry] : changes) {
    listed.insert_or_assign(id, entry.has_value());
  }
  std::vector<TargetId> removed;
  for (const auto& [id, is_listed] : listed) {
    if (!is_listed) {
      removed.emplace_back(id);
    }
  }
  const auto missing = std::count_if(
      removed.begin(), removed.end(),
      [this](const TargetId& id) { return m_targets.contains(id); });
  const bool interrupted = m_read_at && now > *m_read_at + kInterruptionGap;
  m_read_at = now;
  if (interrupted &&
      static_cast<double>(missing) >=
          kMassExpiryFraction * static_cast<double>(m_targets.size())) {
    m_return_until = now + kReturnTimeout;
  }
  std::vector<RefusedEntry> refused = ApplyEntries(now, changes);
  for (const TargetId& id : removed) {
    Remove(now, id);
  }
  return refused;
}

std::vector<TargetRegistry::RefusedEntry> TargetRegistry::OnRestoredList(
    MonotonicTime now,
    const Changes& entries) {
  m_read_at = now;
  std::set<std::string_view> listed;
  for (const auto& [id, entry] : entries) {
    if (entry) {
      listed.insert(id);
    }
  }
  for (const auto& [id, target] : m_targets) {
    if (!listed.contains(id)) {
      m_missing_until.emplace(id, now + kReturnTimeout);
    }
  }
  return ApplyEntries(now, entries);
}

bool TargetRegistry::HasLeft(const ListedTarget& entry) const {
  const auto last = m_newest_entries.find(entry.id);
  return !m_targets.contains(entry.id) && last != m_newest_entries.end() &&
         last->second.start_time_ms == entry.start_time_ms &&
         last->second.report_sequence == entry.report_sequence;
}

std::string_view TargetRegistry::FindConflict(const ListedTarget& entry,
                                              const ListedTarget& known) const {
  if (entry.service != known.service) {
    return "its target has another service";
  }
  if (entry.start_time_ms == known.start_time_ms) {
    if (entry.address != known.address || entry.zone != known.zone) {
      return "its process has another address or zone";
    }
    if (entry.report_sequence > known.report_sequence + kMaxReportStep) {
      return "its report number is far above the one before";
    }
    return {};
  }
  const bool address_taken =
      entry.address != known.address &&
      std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& item) {
        return item.second.address == entry.address;
      });
  return address_taken ? "another target has its address" : "";
}

bool TargetRegistry::KeepsReporting(MonotonicTime now,
                                    const ListedTarget& entry) {
  const auto ignored = m_ignored_reports.find(entry.id);
  const bool reports = ignored != m_ignored_reports.end() &&
                       ignored->second.read_at < now &&
                       ignored->second.start_time_ms == entry.start_time_ms &&
                       ignored->second.report_sequence < entry.report_sequence;
  m_ignored_reports.insert_or_assign(
      entry.id, IgnoredReport{entry.start_time_ms, entry.report_sequence, now});
  return reports;
}

bool TargetRegistry::IsOfKnownProcess(const ListedTarget& entry) const {
  const auto known = m_targets.find(entry.id);
  if (known == m_targets.end()) {
    return false;
  }
  const auto replaced = m_replaced_processes.find(entry.id);
  const ListedTarget& process =
      replaced != m_replaced_processes.end() &&
              replaced->second.start_time_ms == entry.start_time_ms
          ? replaced->second
          : known->second;
  return process.start_time_ms == entry.start_time_ms &&
         FindConflict(entry, process).empty();
}

std::vector<TargetRegistry::RefusedEntry> TargetRegistry::ApplyEntries(
    MonotonicTime now,
    const Changes& changes) {
  std::vector<RefusedEntry> refused;
  for (const auto& [id, entry] : changes) {
    if (!entry) {
      continue;
    }
    const std::string_view reason = Apply(now, *entry);
    if (!reason.empty()) {
      refused.push_back({id, reason});
      OnUnusableEntry(now, id);
    }
  }
  return refused;
}

std::string_view TargetRegistry::Apply(MonotonicTime now, ListedTarget entry) {
  const TargetId id = entry.id;
  const auto known = m_targets.find(id);
  const auto last = m_newest_entries.find(id);
  if (last != m_newest_entries.end() && HasLeft(entry)) {
    return {};
  }
  if (last != m_newest_entries.end() && IsOlder(entry, last->second)) {
    if (!IsOfKnownProcess(entry) || !KeepsReporting(now, entry)) {
      return {};
    }
  } else if (known != m_targets.end()) {
    const std::string_view conflict = FindConflict(entry, known->second);
    if (!conflict.empty()) {
      return conflict;
    }
  }
  if (last != m_newest_entries.end()) {
    entry.draining =
        entry.draining || (last->second.draining &&
                           last->second.start_time_ms == entry.start_time_ms);
  }
  m_newest_entries.insert_or_assign(id, entry);
  m_missing_until.erase(id);
  if (known == m_targets.end() || Differs(entry, known->second)) {
    m_changed = true;
  } else {
    // Many small delays add up, so each is compared with what was published.
    entry.warmup_until = known->second.warmup_until;
  }
  if (known != m_targets.end() &&
      known->second.start_time_ms != entry.start_time_ms) {
    m_replaced_processes.insert_or_assign(id, known->second);
  }
  m_targets.insert_or_assign(id, std::move(entry));
  return {};
}

void TargetRegistry::Remove(MonotonicTime now, std::string_view id) {
  const auto known = m_targets.find(id);
  if (known == m_targets.end()) {
    return;
  }
  if (now < m_return_until) {
    m_missing_until.emplace(id, m_return_until);
    return;
  }
  m_targets.erase(known);
  m_changed = true;
}

void TargetRegistry::OnLeaving(std::string_view id,
                               std::int64_t start_time_ms) {
  const auto known = m_targets.find(id);
  if (known == m_targets.end() || known->second.draining ||
      known->second.start_time_ms != start_time_ms) {
    return;
  }
  known->second.draining = true;
  m_newest_entries.insert_or_assign(TargetId(id), known->second);
  m_changed = true;
}

void TargetRegistry::OnUnusableEntry(MonotonicTime now, std::string_view id) {
  const auto known = m_targets.find(id);
  if (known != m_targets.end()) {
    m_missing_until.emplace(known->first, now + kReturnTimeout);
  }
}

void TargetRegistry::Expire(MonotonicTime now) {
  std::erase_if(m_missing_until, [this, now](const auto& item) {
    if (now < item.second) {
      return false;
    }
    m_targets.erase(item.first);
    m_changed = true;
    return true;
  });
}

bool TargetRegistry::TakeChanged() {
  return std::exchange(m_changed, false);
}

}  // namespace snipehall
