#include "coordination/group_duties.h"

#include <algorithm>

namespace snipehall {

namespace {

// Ticks come every 20 ms; a longer gap is a pause of this instance.
constexpr Milliseconds kPause{100};

}  // namespace

bool GroupDuties::NoteRunning(MonotonicTime now) {
  const bool resumed = !m_started || now - m_last_run > kPause;
  if (resumed) {
    m_running_since = now;
  }
  m_started = true;
  m_last_run = std::max(m_last_run, now);
  return resumed;
}

bool GroupDuties::IsSilent(const PeerTable& peers,
                           std::string_view peer,
                           MonotonicTime now,
                           std::chrono::nanoseconds limit) const {
  if (peer == m_self) {
    return false;
  }
  const PeerView* view = peers.Find(peer);
  const MonotonicTime heard = view == nullptr
                                  ? m_running_since
                                  : std::max(view->last_heard, m_running_since);
  return now - heard > limit;
}

bool GroupDuties::AreAllSilent(const PeerTable& peers,
                               const GroupMembers& group,
                               MonotonicTime now,
                               std::chrono::nanoseconds limit) const {
  return std::all_of(group.members.begin(), group.members.end(),
                     [&](const InstanceId& member) {
                       return IsSilent(peers, member, now, limit);
                     });
}

bool GroupDuties::IsActing(const PeerTable& peers,
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
    const PeerView* view = peers.Find(member);
    const bool leaving = view != nullptr && view->leaving;
    if (!leaving && !IsSilent(peers, member, now, limit)) {
      return false;
    }
  }
  return false;
}

}  // namespace snipehall
