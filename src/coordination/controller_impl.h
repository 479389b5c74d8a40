#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/assignment_planner.h"
#include "coordination/confirmation.h"
#include "coordination/controller.h"
#include "coordination/coordinator_selector.h"
#include "coordination/lease_table.h"
#include "coordination/log_applier.h"
#include "coordination/membership_planner.h"
#include "coordination/move_tracker.h"
#include "coordination/peer_table.h"
#include "coordination/pending_appends.h"

namespace snipehall {

// Passes events to the controller's components and turns their decisions into
// actions.
class Controller::Impl {
 public:
  explicit Impl(ControllerOptions options);

  void OnLogRead(MonotonicTime began, MonotonicTime now, const LogRead& read);
  void OnInstances(MonotonicTime now,
                   std::span<const PlatformInstance> instances);
  Heartbeat OnHeartbeat(MonotonicTime now, const Heartbeat& heartbeat);
  void OnHeartbeatAnswer(MonotonicTime sent,
                         MonotonicTime now,
                         const Heartbeat& answer);
  void OnPeerRecords(MonotonicTime now, std::span<const LogEntry> entries);
  void OnLeaseAnswer(MonotonicTime sent,
                     MonotonicTime now,
                     std::string_view target,
                     const LeaseAnswer& answer);
  void OnTargetFailure(MonotonicTime now, std::string_view target);
  void Leave() { m_selector.Leave(); }
  void ProposeMoves(std::string_view service,
                    LogOffset based_on,
                    std::vector<OwnerChange> changes);
  std::vector<Action> Tick(MonotonicTime now);

  const LogApplier& log() const { return m_log; }
  MonotonicTime confirmed_until() const;
  std::shared_ptr<const RoutingTable> routing_table() const {
    return m_routing_table;
  }

 private:
  struct ProposedMoves {
    LogOffset based_on = 0;
    std::vector<OwnerChange> changes;
  };

  void ApplyEntries(MonotonicTime now, std::span<const LogEntry> entries);
  void OnApplied(MonotonicTime now, const ApplyEvent& event);
  void UpdateConfirmation(MonotonicTime now);
  void UpdateRoutingTable();

  Heartbeat MakeHeartbeat(MonotonicTime now) const;
  void SendHeartbeats(MonotonicTime now, std::vector<Action>& actions);
  // Returns the members of this instance's groups and of groups that have to
  // read a pending move.
  std::set<InstanceId> FrequentHeartbeatPeers() const;
  // Requests records from the peer that is furthest ahead.
  void FetchMissingRecords(MonotonicTime now, std::vector<Action>& actions);

  // Extends leases of targets in coordinated groups, and polls former owners of
  // pending moves.
  void UpdateLeases(MonotonicTime now, std::vector<Action>& actions);
  void UpdateLease(MonotonicTime now,
                   const PlatformInstance& target,
                   bool is_coordinator,
                   std::vector<Action>& actions);
  // Returns the ranges that may be granted to the target now.
  RangeSet RangeSetOf(const PlatformInstance& target) const;
  // Whether the target's lease may be extended: the state was confirmed for it
  // after its current incarnation was known, and that is still valid.
  bool MayExtend(MonotonicTime now, const PlatformInstance& target) const;
  // Returns until when the state is confirmed for targets of the service in
  // `group`; empty if it never was.
  std::optional<MonotonicTime> ConfirmedUntil(
      std::string_view group,
      const ServiceConfig& service) const;
  // Whether the last confirmation of the state by the log is still valid.
  bool IsConfirmedByLog(MonotonicTime now) const;

  void PlanAssignments(MonotonicTime now, std::vector<Action>& actions);
  // Adds the moves from ProposeMoves() that are still valid.
  void AddProposedMoves(MonotonicTime now,
                        const ServiceName& service,
                        std::vector<OwnerChange>& changes);
  void PlanGroups(MonotonicTime now, std::vector<Action>& actions);
  void PlanSnapshot(MonotonicTime now, std::vector<Action>& actions);

  const Configuration* configuration() const;

  ControllerOptions m_options;
  LogApplier m_log;
  PeerTable m_peers;
  Confirmation m_confirmation;
  LeaseTable m_leases;
  MoveTracker m_move_tracker;
  PendingAppends m_pending_appends;
  CoordinatorSelector m_selector;

  std::optional<MonotonicTime> m_started_at;
  std::vector<PlatformInstance> m_instances;
  // Targets on the platform's list, and unlisted targets that still own ranges.
  KnownTargets m_targets;
  std::map<InstanceId, MonotonicTime, std::less<>> m_absent_since;
  // Groups whose leases this instance extends.
  std::set<GroupId, std::less<>> m_coordinated;
  std::map<ServiceName, ProposedMoves, std::less<>> m_proposed;
  std::map<InstanceId, MonotonicTime, std::less<>> m_heartbeats_sent;
  // Since when a peer has read further than this instance.
  std::optional<MonotonicTime> m_behind_since;
  std::optional<MonotonicTime> m_last_fetch;
  // Bounds of the log as of the latest read.
  LogOffset m_log_first = 1;
  LogOffset m_log_end = 1;
  std::shared_ptr<const RoutingTable> m_routing_table;
  bool m_routing_table_stale = true;
};

}  // namespace snipehall
