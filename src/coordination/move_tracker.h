#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "coordination/lease_table.h"
#include "coordination/peer_table.h"
#include "state/cluster_state.h"

namespace snipehall {

// A target that owned a range before.
struct FormerOwner {
  TargetId target;
  // Offset of the record that moved the range away from it.
  LogOffset moved_at_offset = 0;

  bool operator==(const FormerOwner&) const = default;
};

// A moved range that may not be granted to its new owner yet.
struct PendingMove {
  HashRange range;
  LogOffset token = 0;
  // When this instance read the record.
  MonotonicTime read_at;
  // When this instance first knew that majorities of the groups had read the
  // record.
  std::optional<MonotonicTime> majority_read_at;
  // When this instance first knew that the unreachable members of the groups
  // stop extending leases on their own.
  std::optional<MonotonicTime> isolation_known_at;
  std::vector<FormerOwner> former_owners;
  // Set if the state came from a snapshot, which does not contain former
  // owners.
  bool unknown_owners = false;
};

// Input of MoveTracker::Update().
struct MoveTrackerInput {
  const ClusterState& state;
  const PeerTable& peers;
  const LeaseTable& leases;
  MonotonicTime now;
  InstanceId self;
  // Whether the state is confirmed by the log at `now`.
  bool confirmed_by_log = false;
};

// Tracks moved ranges and decides when each may be granted to its new owner:
// when a majority of each group concerned has read the move and no former owner
// can still hold a lease on the range.
class MoveTracker {
 public:
  MoveTracker(const ControllerTiming& timing, bool skip_wait)
      : m_timing(timing), m_skip_wait(skip_wait) {}

  // Call when an assignment record at `offset` was accepted. `replaced` is the
  // previous assignment, or null.
  void OnAssignment(MonotonicTime now,
                    LogOffset offset,
                    const AssignmentRecord& record,
                    const ServiceAssignment* replaced);
  // Call when a snapshot replaced the whole state; every range then counts as
  // just moved.
  void OnSnapshot(MonotonicTime now, const ClusterState& state);
  // Call when the group's member list changed.
  void OnMembers(MonotonicTime now, std::string_view group);

  // Removes completed moves. Returns whether there were any.
  bool Update(const MoveTrackerInput& input);

  // Returns the parts of `owned` that may be granted to its owner, in order.
  std::vector<LeasedRange> GrantableRanges(std::string_view service,
                                           const OwnedRange& owned) const;
  // Returns the former owners of pending moves; the release of a range by them
  // completes its move.
  std::vector<TargetId> AwaitedFormerOwners() const;
  // Whether a move was read recently and it is not yet known that majorities
  // have read it.
  bool NeedsFrequentHeartbeats(MonotonicTime now) const;
  // Returns the groups whose members have to read a pending move.
  std::vector<GroupId> AwaitedGroups(const ClusterState& state) const;

 private:
  using Moves = std::vector<PendingMove>;

  // Whether the range may be granted. Also sets `move.majority_read_at`.
  bool IsMoveComplete(const MoveTrackerInput& input,
                      const ServiceConfig& service,
                      const std::vector<GroupId>& groups,
                      PendingMove& move) const;
  // Whether unreachable members have stopped extending leases on their own.
  // Also sets `move.isolation_known_at`.
  bool IsIsolationPeriodOver(const MoveTrackerInput& input,
                             const ServiceConfig& service,
                             const std::vector<GroupId>& groups,
                             PendingMove& move) const;
  // Whether all former owners confirmed that they stopped serving the range.
  bool AreReleased(const MoveTrackerInput& input,
                   const PendingMove& move) const;
  // Whether every lease of a former owner that a member may have extended has
  // ended. Requires an answer from every member of the groups.
  bool HaveLeasesEnded(const MoveTrackerInput& input,
                       const std::vector<GroupId>& groups,
                       const PendingMove& move) const;

  ControllerTiming m_timing;
  bool m_skip_wait;
  std::map<ServiceName, Moves, std::less<>> m_moves;
  // Time at which this instance learned of each group's current members.
  std::map<GroupId, MonotonicTime, std::less<>> m_members_known_since;
};

}  // namespace snipehall
