#pragma once

#include <chrono>
#include <set>

#include "coordination/peer_table.h"
#include "state/cluster_state.h"

namespace snipehall {

// Says for which groups this instance acts: as the first of the members that
// is neither silent nor leaving. Two instances that act at once do no harm.
class GroupDuties {
 public:
  explicit GroupDuties(InstanceId self) : m_self(std::move(self)) {}

  // Notes that this instance runs at `now`. Returns true when it started or
  // was paused before, so that older silence of others means nothing.
  bool NoteRunning(MonotonicTime now);
  void Leave() { m_leaving = true; }

  bool leaving() const { return m_leaving; }
  MonotonicTime running_since() const { return m_running_since; }

  // Whether the peer was silent for `limit` while this instance was running.
  bool IsSilent(const PeerTable& peers,
                std::string_view peer,
                MonotonicTime now,
                std::chrono::nanoseconds limit) const;
  bool AreAllSilent(const PeerTable& peers,
                    const GroupMembers& group,
                    MonotonicTime now,
                    std::chrono::nanoseconds limit) const;
  // Whether this instance acts for the group; `limit` as above.
  bool IsActing(const PeerTable& peers,
                const GroupMembers& group,
                MonotonicTime now,
                std::chrono::nanoseconds limit) const;

 private:
  InstanceId m_self;
  bool m_leaving = false;
  bool m_started = false;
  MonotonicTime m_last_run;
  MonotonicTime m_running_since;
};

}  // namespace snipehall
