#include "coordination/coordinator_selector.h"

#include <algorithm>

namespace snipehall {

namespace {

// Ticks come every 20 ms; a longer gap means that this process was paused.
constexpr Milliseconds kPauseThreshold{100};

}  // namespace

bool CoordinatorSelector::OnTick(MonotonicTime now) {
  const bool resumed = !m_started || now - m_last_tick > kPauseThreshold;
  if (resumed) {
    m_running_since = now;
  }
  m_started = true;
  m_last_tick = std::max(m_last_tick, now);
  return resumed;
}

bool CoordinatorSelector::IsUnresponsive(const PeerTable& peers,
                                         std::string_view peer,
                                         MonotonicTime now,
                                         std::chrono::nanoseconds limit) const {
  if (peer == m_self) {
    return false;
  }
  const PeerStatus* status = peers.Find(peer);
  const MonotonicTime heard =
      status == nullptr ? m_running_since
                        : std::max(status->last_heard, m_running_since);
  return now - heard > limit;
}

bool CoordinatorSelector::AreAllUnresponsive(
    const PeerTable& peers,
    const GroupMembers& group,
    MonotonicTime now,
    std::chrono::nanoseconds limit) const {
  return std::all_of(group.members.begin(), group.members.end(),
                     [&](const InstanceId& member) {
                       return IsUnresponsive(peers, member, now, limit);
                     });
}

bool CoordinatorSelector::IsCoordinator(const PeerTable& peers,
                                        const GroupMembers& group,
                                        MonotonicTime now,
                                        std::chrono::nanoseconds limit) const {
  if (m_leaving) {
    return false;
  }
  for (const InstanceId& member : group.members) {
    if (member == m_self) {
      return true;
    }
    const PeerStatus* status = peers.Find(member);
    const bool leaving = status != nullptr && status->leaving;
    if (!leaving && !IsUnresponsive(peers, member, now, limit)) {
      return false;
    }
  }
  return false;
}

}  // namespace snipehall
