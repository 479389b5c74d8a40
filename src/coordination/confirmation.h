#pragma once

#include <map>
#include <optional>

#include "coordination/peer_table.h"
#include "state/cluster_state.h"
#include "state/types.h"

namespace snipehall {

// Decides since when the folded state is confirmed: by reads of the log, and
// for each group by the heartbeats of a majority of its members.
class Confirmation {
 public:
  explicit Confirmation(InstanceId self) : m_self(std::move(self)) {}

  // A read that began at `began` returned everything up to the end of the log.
  void OnCompleteRead(MonotonicTime began);

  // Evaluates the newest heartbeat answers.
  void Update(MonotonicTime now,
              const ClusterState& state,
              const PeerTable& peers);

  // Whether the state was confirmed since the start, by the log or by the
  // majorities of all own groups. Until then this member counts for no one.
  bool started() const { return m_started; }

  // Time at which the state was last confirmed by the log.
  std::optional<MonotonicTime> by_log() const { return m_by_log; }

  // Time at which the state was last confirmed for targets of `group`.
  std::optional<MonotonicTime> ConfirmedAt(std::string_view group) const;

 private:
  std::optional<MonotonicTime> MajorityTime(MonotonicTime now,
                                            const GroupMembers& group,
                                            LogOffset offset,
                                            const PeerTable& peers) const;

  InstanceId m_self;
  bool m_started = false;
  std::optional<MonotonicTime> m_by_log;
  std::map<GroupId, MonotonicTime, std::less<>> m_by_majority;
};

}  // namespace snipehall
