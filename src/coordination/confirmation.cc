#include "coordination/confirmation.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "coordination/clock_drift.h"

namespace snipehall {

namespace {

bool Contains(const std::vector<InstanceId>& members, const InstanceId& id) {
  return std::find(members.begin(), members.end(), id) != members.end();
}

}  // namespace

void Confirmation::OnCompleteRead(MonotonicTime began) {
  m_log_confirmed_at =
      m_log_confirmed_at ? std::max(*m_log_confirmed_at, began) : began;
  m_ever_confirmed = true;
}

void Confirmation::Update(MonotonicTime now,
                          const ClusterState& state,
                          const PeerTable& peers) {
  bool member = false;
  bool all = true;
  for (const auto& [id, group] : state.groups()) {
    if (!Contains(group.members, m_self)) {
      continue;
    }
    member = true;
    const std::optional<MonotonicTime> time =
        MajorityConfirmedAt(now, group, state.offset(), peers);
    if (!time) {
      all = false;
      continue;
    }
    const auto [entry, added] = m_majority_confirmed_at.try_emplace(id, *time);
    entry->second = std::max(entry->second, *time);
  }
  // A member of several groups counts in each of them, so a majority of one
  // group does not replace a majority of another.
  m_ever_confirmed = m_ever_confirmed || (member && all);
}

std::optional<MonotonicTime> Confirmation::ConfirmedAt(
    std::string_view group) const {
  const auto found = m_majority_confirmed_at.find(group);
  if (found == m_majority_confirmed_at.end()) {
    return m_log_confirmed_at;
  }
  return m_log_confirmed_at ? std::max(*m_log_confirmed_at, found->second)
                            : found->second;
}

std::optional<MonotonicTime> Confirmation::MajorityConfirmedAt(
    MonotonicTime now,
    const GroupMembers& group,
    LogOffset offset,
    const PeerTable& peers) const {
  std::vector<MonotonicTime> times;
  for (const InstanceId& member : group.members) {
    if (member == m_self) {
      if (m_ever_confirmed) {
        times.push_back(now);
      }
      continue;
    }
    const PeerStatus* status = peers.Find(member);
    // A member that has not read the current member list may have restarted as
    // a member and lost what it had read.
    if (status != nullptr && status->answered && status->confirmed &&
        status->answered_offset >= group.version &&
        status->answered_offset <= offset) {
      times.push_back(*status->answered);
    }
  }
  const std::size_t needed = MajoritySize(group.members.size());
  if (times.size() < needed) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1];
}

}  // namespace snipehall
