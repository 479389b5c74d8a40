#include "coordination/confirmation.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "coordination/drift.h"

namespace snipehall {

namespace {

bool Contains(const std::vector<InstanceId>& members, const InstanceId& id) {
  return std::find(members.begin(), members.end(), id) != members.end();
}

}  // namespace

void Confirmation::OnCompleteRead(MonotonicTime began) {
  m_by_log = m_by_log ? std::max(*m_by_log, began) : began;
  m_started = true;
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
        MajorityTime(now, group, state.offset(), peers);
    if (!time) {
      all = false;
      continue;
    }
    const auto [entry, added] = m_by_majority.try_emplace(id, *time);
    entry->second = std::max(entry->second, *time);
  }
  // A member of several groups counts in each of them, so the majority of one
  // does not make up for the others.
  m_started = m_started || (member && all);
}

std::optional<MonotonicTime> Confirmation::ConfirmedAt(
    std::string_view group) const {
  const auto found = m_by_majority.find(group);
  if (found == m_by_majority.end()) {
    return m_by_log;
  }
  return m_by_log ? std::max(*m_by_log, found->second) : found->second;
}

std::optional<MonotonicTime> Confirmation::MajorityTime(
    MonotonicTime now,
    const GroupMembers& group,
    LogOffset offset,
    const PeerTable& peers) const {
  std::vector<MonotonicTime> times;
  for (const InstanceId& member : group.members) {
    if (member == m_self) {
      if (m_started) {
        times.push_back(now);
      }
      continue;
    }
    const PeerView* view = peers.Find(member);
    // A member that has not read the list of members may have forgotten what
    // it read before a restart as a member.
    if (view != nullptr && view->answered && view->confirmed &&
        view->answered_offset >= group.version &&
        view->answered_offset <= offset) {
      times.push_back(*view->answered);
    }
  }
  const std::size_t needed = MajorityOf(group.members.size());
  if (times.size() < needed) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1];
}

}  // namespace snipehall
