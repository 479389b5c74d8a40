#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/append_slots.h"
#include "coordination/assignment_planner.h"
#include "coordination/confirmation.h"
#include "coordination/controller.h"
#include "coordination/group_duties.h"
#include "coordination/lease_ledger.h"
#include "coordination/log_fold.h"
#include "coordination/membership_planner.h"
#include "coordination/move_settlement.h"
#include "coordination/peer_table.h"

namespace snipehall {

// Joins the parts: passes events to them and turns their decisions into
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
  void Leave() { m_duties.Leave(); }
  void ProposeMoves(std::string_view service,
                    LogOffset based_on,
                    std::vector<OwnerChange> changes);
  std::vector<Action> Tick(MonotonicTime now);

  const LogFold& fold() const { return m_fold; }
  MonotonicTime confirmed_until() const;
  std::shared_ptr<const RoutingTable> routing_table() const { return m_table; }

 private:
  struct ProposedMoves {
    LogOffset based_on = 0;
    std::vector<OwnerChange> changes;
  };

  void Fold(MonotonicTime now, std::span<const LogEntry> entries);
  void OnFoldStep(MonotonicTime now, const FoldStep& step);
  void Refresh(MonotonicTime now);
  void UpdateTable();

  Heartbeat MakeHeartbeat(MonotonicTime now) const;
  void SendHeartbeats(MonotonicTime now, std::vector<Action>& actions);
  std::set<InstanceId> ClosePeers() const;
  void FetchMissing(MonotonicTime now, std::vector<Action>& actions);

  void TendTargets(MonotonicTime now, std::vector<Action>& actions);
  void TendTarget(MonotonicTime now,
                  const PlatformInstance& target,
                  bool extends,
                  std::vector<Action>& actions);
  LeaseContent ContentOf(const PlatformInstance& target) const;
  bool MayExtend(MonotonicTime now, const PlatformInstance& target) const;
  // End of the confirmation for the group's targets of the service.
  std::optional<MonotonicTime> ConfirmedUntil(
      std::string_view group,
      const ServiceConfig& service) const;
  bool IsConfirmedByLog(MonotonicTime now) const;

  void PlanAssignments(MonotonicTime now, std::vector<Action>& actions);
  void AddProposedMoves(MonotonicTime now,
                        const ServiceName& service,
                        std::vector<OwnerChange>& changes);
  void PlanGroups(MonotonicTime now, std::vector<Action>& actions);
  void PlanSnapshot(MonotonicTime now, std::vector<Action>& actions);

  const Configuration* configuration() const;

  ControllerOptions m_options;
  LogFold m_fold;
  PeerTable m_peers;
  Confirmation m_confirmation;
  LeaseLedger m_leases;
  MoveSettlement m_settlement;
  AppendSlots m_slots;
  GroupDuties m_duties;

  std::optional<MonotonicTime> m_started;
  std::vector<PlatformInstance> m_instances;
  // Listed targets, and unlisted ones that still own ranges.
  KnownTargets m_targets;
  std::map<InstanceId, MonotonicTime, std::less<>> m_absent_since;
  std::set<GroupId, std::less<>> m_extending;
  std::map<ServiceName, ProposedMoves, std::less<>> m_proposed;
  std::map<InstanceId, MonotonicTime, std::less<>> m_heartbeats_sent;
  std::optional<MonotonicTime> m_behind_since;
  std::optional<MonotonicTime> m_fetched;
  LogOffset m_log_first = 1;
  LogOffset m_log_end = 1;
  std::shared_ptr<const RoutingTable> m_table;
  bool m_table_stale = true;
};

}  // namespace snipehall
