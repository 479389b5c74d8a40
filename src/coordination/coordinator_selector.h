#pragma once

#include <chrono>
#include <set>

#include "coordination/peer_table.h"
#include "state/cluster_state.h"

namespace snipehall {

// Decides which groups this instance coordinates. The coordinator of a group is
// its first member that is neither unresponsive nor leaving. Two instances may
// coordinate a group at the same time; the protocol is safe in that case.
class CoordinatorSelector {
 public:
  explicit CoordinatorSelector(InstanceId self) : m_self(std::move(self)) {}

  // Call at every tick. Returns true if this instance has just started or was
  // paused; the silence of others during a pause is not evidence of a failure.
  bool OnTick(MonotonicTime now);
  // Call once when the process starts a graceful stop.
  void Leave() { m_leaving = true; }

  bool leaving() const { return m_leaving; }
  // Returns the time of the start or of the end of the last pause.
  MonotonicTime running_since() const { return m_running_since; }

  // Whether nothing was received from the peer for longer than `limit` while
  // this instance was running.
  bool IsUnresponsive(const PeerTable& peers,
                      std::string_view peer,
                      MonotonicTime now,
                      std::chrono::nanoseconds limit) const;
  // Whether IsUnresponsive() holds for all members of the group.
  bool AreAllUnresponsive(const PeerTable& peers,
                          const GroupMembers& group,
                          MonotonicTime now,
                          std::chrono::nanoseconds limit) const;
  // Whether this instance coordinates the group. Members that were unresponsive
  // for longer than `limit` are skipped.
  bool IsCoordinator(const PeerTable& peers,
                     const GroupMembers& group,
                     MonotonicTime now,
                     std::chrono::nanoseconds limit) const;

 private:
  InstanceId m_self;
  bool m_leaving = false;
  bool m_started = false;
  MonotonicTime m_last_tick;
  MonotonicTime m_running_since;
};

}  // namespace snipehall
