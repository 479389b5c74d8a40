#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "coordination/lease_ledger.h"
#include "coordination/peer_table.h"
#include "state/cluster_state.h"

namespace snipehall {

// A target that owned a range before.
struct FormerOwner {
  TargetId target;
  // Offset of the record that took the range from it.
  LogOffset taken_at = 0;

  bool operator==(const FormerOwner&) const = default;
};

// A range whose new owner may not be granted it yet.
struct PendingMove {
  HashRange range;
  LogOffset token = 0;
  // When this instance read the record.
  MonotonicTime read;
  // When this instance first knew that majorities had read the record.
  std::optional<MonotonicTime> majority_read;
  // When this instance first knew that the members of the groups that cannot
  // be reached stop by themselves.
  std::optional<MonotonicTime> isolation_known;
  std::vector<FormerOwner> former_owners;
  // The state came from a snapshot, which does not name former owners.
  bool unknown_owners = false;
};

// What the settlement of moves is decided from.
struct SettlementView {
  const ClusterState& state;
  const PeerTable& peers;
  const LeaseLedger& leases;
  MonotonicTime now;
  InstanceId self;
  // Whether the state is confirmed by the log at `now`.
  bool confirmed_by_log = false;
};

// Decides when a range may be granted to its new owner: when a majority of the
// groups concerned has read the move, and no former owner can have a lease on
// the range any longer.
class MoveSettlement {
 public:
  MoveSettlement(const ControllerTiming& timing, bool skip_wait)
      : m_timing(timing), m_skip_wait(skip_wait) {}

  // Notes an accepted assignment record at `offset`. `replaced` is the
  // assignment before it, or null.
  void OnAssignment(MonotonicTime now,
                    LogOffset offset,
                    const AssignmentRecord& record,
                    const ServiceAssignment* replaced);
  // The whole state was replaced; all of it counts as just moved.
  void OnSnapshot(MonotonicTime now, const ClusterState& state);
  void OnMembers(MonotonicTime now, std::string_view group);

  // Removes the moves that are settled; returns whether there were any.
  bool Update(const SettlementView& view);

  // The parts of `owned` that may be granted to its owner, in order.
  std::vector<LeasedRange> Settled(std::string_view service,
                                   const OwnedRange& owned) const;
  // Former owners whose release would settle a move.
  std::vector<TargetId> AwaitedTargets() const;
  // A move was read a short time ago and the majorities have still to be seen.
  bool IsUrgent(MonotonicTime now) const;
  // Groups whose members have to read a move.
  std::vector<GroupId> AwaitedGroups(const ClusterState& state) const;

 private:
  using Moves = std::vector<PendingMove>;

  bool IsMoveSettled(const SettlementView& view,
                     const ServiceConfig& service,
                     const std::vector<GroupId>& groups,
                     PendingMove& move) const;
  // Also sets `move.isolation_known`.
  bool IsIsolationOver(const SettlementView& view,
                       const ServiceConfig& service,
                       const std::vector<GroupId>& groups,
                       PendingMove& move) const;
  bool AreReleased(const SettlementView& view, const PendingMove& move) const;
  bool HaveLeasesEnded(const SettlementView& view,
                       const std::vector<GroupId>& groups,
                       const PendingMove& move) const;

  ControllerTiming m_timing;
  bool m_skip_wait;
  std::map<ServiceName, Moves, std::less<>> m_moves;
  // When this instance learned of the group's present members.
  std::map<GroupId, MonotonicTime, std::less<>> m_members_known;
};

}  // namespace snipehall
