#pragma once

#include <map>
#include <optional>

#include "coordination/peer_table.h"
#include "state/cluster_state.h"
#include "state/types.h"

namespace snipehall {

// Tracks when the cluster state was last confirmed to be current: by a read up
// to the end of the log, or, for each group, by heartbeat answers from a
// majority of its members.
class Confirmation {
 public:
  explicit Confirmation(InstanceId self) : m_self(std::move(self)) {}

  // Call when a read that began at `began` returned everything up to the end of
  // the log.
  void OnCompleteRead(MonotonicTime began);

  // Evaluates the latest heartbeat answers. Call after new answers and at every
  // tick.
  void Update(MonotonicTime now,
              const ClusterState& state,
              const PeerTable& peers);

  // Whether the state was confirmed since the process started, by the log or by
  // majorities of all groups of this instance. Until then this instance does
  // not count towards any majority.
  bool ever_confirmed() const { return m_ever_confirmed; }

  // Returns the time of the last confirmation by the log; empty if there was
  // none.
  std::optional<MonotonicTime> log_confirmed_at() const {
    return m_log_confirmed_at;
  }

  // Returns the time of the last confirmation that is valid for targets of
  // `group`, by the log or by the majority; empty if there was none.
  std::optional<MonotonicTime> ConfirmedAt(std::string_view group) const;

 private:
  std::optional<MonotonicTime> MajorityConfirmedAt(
      MonotonicTime now,
      const GroupMembers& group,
      LogOffset offset,
      const PeerTable& peers) const;

  InstanceId m_self;
  bool m_ever_confirmed = false;
  std::optional<MonotonicTime> m_log_confirmed_at;
  std::map<GroupId, MonotonicTime, std::less<>> m_majority_confirmed_at;
};

}  // namespace snipehall
