#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "coordination/lease_table.h"
#include "coordination/peer_table.h"
#include "state/cluster_state.h"

namespace snipehall {

// A target that owned a moved range before.
struct FormerOwner {
  TargetId target;
  // Offset of the assignment record that moved the range away from it.
  LogOffset moved_at_offset = 0;

  bool operator==(const FormerOwner&) const = default;
};

// A moved range that must not be granted to its new owner yet.
struct PendingMove {
  HashRange range;
  // Offset of the assignment record, which is the range's fencing token.
  LogOffset token = 0;
  // When this instance read the record.
  MonotonicTime read_at;
  // When this instance first knew that a majority of each group concerned had
  // read the record.
  std::optional<MonotonicTime> majority_read_at;
  // When this instance first knew, for each group without such a majority, a
  // limit for how long its unreachable members go on extending leases without
  // reading the log (ServiceConfig::move_after). The isolation period is
  // counted from here.
  std::optional<MonotonicTime> isolation_known_at;
  std::vector<FormerOwner> former_owners;
  // There may be former owners that are not in `former_owners`, because the
  // state came from a snapshot, which does not contain them.
  bool unknown_owners = false;
};

// Input of MoveTracker::Update().
struct MoveTrackerInput {
  const ClusterState& state;
  const PeerTable& peers;
  const LeaseTable& leases;
  MonotonicTime now;
  InstanceId self;
  // Whether a recent read up to the end of the log confirmed `state` as
  // current; see Confirmation::log_confirmed_at().
  bool confirmed_by_log = false;
};

// Tracks moved ranges and decides when each may be granted to its new owner:
// when a majority of each group concerned has read the move and no former owner
// can still hold a lease on the range.
//
// A group is a set of targets whose leases are extended by the same instances,
// its members. The groups concerned by a move are those of the range's new
// owner and of its former owners. Without a majority, a range may be granted
// once unreachable members must have stopped extending leases.
class MoveTracker {
 public:
  // `timing` gives the lease duration and the clock drift that waits are
  // computed from. With `skip_wait`, for tests only, every range may be granted
  // at once; see OmittedSteps::move_wait.
  MoveTracker(const ControllerTiming& timing, bool skip_wait)
      : m_timing(timing), m_skip_wait(skip_wait) {}

  // Call when ClusterState has accepted the assignment record at `offset`.
  // `replaced` is the previous assignment of the service, or null.
  void OnAssignment(MonotonicTime now,
                    LogOffset offset,
                    const AssignmentRecord& record,
                    const ServiceAssignment* replaced);
  // Call when a snapshot replaced the whole state; every range then counts as
  // just moved.
  void OnSnapshot(MonotonicTime now, const ClusterState& state);
  // Call when the group's member list changed.
  void OnMembers(MonotonicTime now, std::string_view group);

  // Removes the moves whose ranges may now be granted. Returns whether there
  // were any. Call it before GrantableRanges(), at every tick of the
  // controller.
  bool Update(const MoveTrackerInput& input);

  // Returns the parts of `owned` that may be granted to its owner, in ascending
  // order.
  std::vector<LeasedRange> GrantableRanges(std::string_view service,
                                           const OwnedRange& owned) const;
  // Returns the former owners of all pending moves. Poll them: a range may be
  // granted as soon as they confirm that they stopped serving it.
  std::vector<TargetId> AwaitedFormerOwners() const;
  // Whether a move was read in the last two seconds (kFrequentHeartbeatPeriod)
  // and it is not yet known that majorities have read it.
  bool NeedsFrequentHeartbeats(MonotonicTime now) const;
  // Returns the groups concerned by a pending move.
  std::vector<GroupId> AwaitedGroups(const ClusterState& state) const;

 private:
  using Moves = std::vector<PendingMove>;

  // Whether the range may be granted. Also sets `move.majority_read_at`.
  bool IsGrantable(const MoveTrackerInput& input,
                   const ServiceConfig& service,
                   const std::vector<GroupId>& groups,
                   PendingMove& move) const;
  // Whether the isolation period has passed: unreachable members have stopped
  // extending leases, and the leases that they extended have expired. Also sets
  // `move.isolation_known_at`.
  bool IsIsolationPeriodOver(const MoveTrackerInput& input,
                             const ServiceConfig& service,
                             const std::vector<GroupId>& groups,
                             PendingMove& move) const;
  // Whether all former owners confirmed, after a majority had read the move,
  // that they stopped serving the range.
  bool AreReleased(const MoveTrackerInput& input,
                   const PendingMove& move) const;
  // Whether every lease of a former owner that a member may have extended has
  // expired. False until every member of the groups has answered a heartbeat
  // that was sent after a majority had read the move.
  bool HaveLeasesExpired(const MoveTrackerInput& input,
                         const std::vector<GroupId>& groups,
                         const PendingMove& move) const;

  ControllerTiming m_timing;
  bool m_skip_wait;
  std::map<ServiceName, Moves, std::less<>> m_moves;
  // Time at which this instance learned of each group's current members.
  std::map<GroupId, MonotonicTime, std::less<>> m_members_known_since;
};

}  // namespace snipehall
