#include "coordination/target_registry.h"

#include <algorithm>
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

void TargetRegistry::OnRead(MonotonicTime now,
                            Changes changes,
                            bool is_full_list) {
  if (is_full_list) {
    for (const auto& [id, target] : m_targets) {
      changes.try_emplace(id, std::nullopt);
    }
  }
  const auto removed =
      std::count_if(changes.begin(), changes.end(), [this](const auto& change) {
        return !change.second && m_targets.contains(change.first);
      });
  const bool interrupted = m_read_at && now > *m_read_at + kInterruptionGap;
  m_read_at = now;
  if (interrupted &&
      static_cast<double>(removed) >=
          kMassExpiryFraction * static_cast<double>(m_targets.size())) {
    m_return_until = now + kReturnTimeout;
  }
  for (auto& [id, entry] : changes) {
    Apply(now, id, std::move(entry));
  }
}

void TargetRegistry::OnRestoredList(MonotonicTime now, const Changes& entries) {
  m_read_at = now;
  for (const auto& [id, target] : m_targets) {
    if (!entries.contains(id)) {
      m_missing_until.emplace(id, now + kReturnTimeout);
    }
  }
  for (const auto& [id, entry] : entries) {
    Apply(now, id, entry);
  }
}

bool TargetRegistry::HasLeft(const ListedTarget& entry) const {
  const auto last = m_newest_entries.find(entry.id);
  return !m_targets.contains(entry.id) && last != m_newest_entries.end() &&
         last->second.start_time_ms == entry.start_time_ms &&
         last->second.report_sequence == entry.report_sequence;
}

void TargetRegistry::Apply(MonotonicTime now,
                           const TargetId& id,
                           std::optional<ListedTarget> entry) {
  if (!entry) {
    Remove(now, id);
    return;
  }
  const auto last = m_newest_entries.find(id);
  if (last != m_newest_entries.end()) {
    if (IsOlder(*entry, last->second) || HasLeft(*entry)) {
      return;
    }
    entry->draining =
        entry->draining || (last->second.draining &&
                            last->second.start_time_ms == entry->start_time_ms);
  }
  m_newest_entries.insert_or_assign(TargetId(id), *entry);
  const auto known = m_targets.find(id);
  const auto missing = m_missing_until.find(id);
  if (missing != m_missing_until.end()) {
    m_missing_until.erase(missing);
  }
  if (known == m_targets.end() || Differs(*entry, known->second)) {
    m_changed = true;
  } else {
    // Many small delays add up, so each is compared with what was published.
    entry->warmup_until = known->second.warmup_until;
  }
  m_targets.insert_or_assign(TargetId(id), *std::move(entry));
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
