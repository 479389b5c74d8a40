#include "coordination/controller_impl.h"

#include <algorithm>
#include <utility>

#include "coordination/routing_table_builder.h"

namespace snipehall {

namespace {

// Heartbeat interval to instances outside this instance's groups.
constexpr Milliseconds kOtherPeerHeartbeatInterval{1000};
// Heartbeat interval while members still have to read a move.
constexpr Milliseconds kPendingMoveHeartbeatInterval{20};
// How long a peer has to be ahead before its records are fetched. Reading the
// log is usually faster.
constexpr Milliseconds kFetchDelay{60};
constexpr Milliseconds kFetchInterval{100};
// Records are fetched only from peers heard from within this time.
constexpr Milliseconds kFetchMaxSilence{3000};
// Number of records after the newest snapshot that triggers the next one.
constexpr LogOffset kSnapshotIntervalRecords = 10000;
// No snapshot is written for fewer records than this.
constexpr LogOffset kMinSnapshotRecords = 16;

}  // namespace

Controller::Impl::Impl(ControllerOptions options)
    : m_options(std::move(options)),
      m_peers(m_options.self,
              m_options.incarnation,
              m_options.timing.max_drift_per_mille),
      m_confirmation(m_options.self),
      m_leases(m_options.timing),
      m_move_tracker(m_options.timing, m_options.omitted.move_wait),
      m_pending_appends(m_options.self, m_options.incarnation),
      m_selector(m_options.self),
      m_routing_table(std::make_shared<RoutingTable>()) {}

void Controller::Impl::OnLogRead(MonotonicTime began,
                                 MonotonicTime now,
                                 const LogRead& read) {
  m_log.AdvanceFirst(read.first_offset);
  m_log_first = std::max(m_log_first, read.first_offset);
  m_log_end = std::max(m_log_end, read.end_offset);
  ApplyEntries(now, read.entries);
  if (read.end_offset == m_log.state().offset() + 1) {
    m_confirmation.OnCompleteRead(began);
    m_pending_appends.OnCompleteRead(began);
  }
  UpdateConfirmation(now);
}

void Controller::Impl::OnInstances(
    MonotonicTime now,
    std::span<const PlatformInstance> instances) {
  m_instances.assign(instances.begin(), instances.end());
  m_routing_table_stale = true;
  KnownTargets targets;
  std::map<InstanceId, MonotonicTime, std::less<>> present;
  for (const PlatformInstance& instance : instances) {
    if (instance.role == PlatformRole::kTarget) {
      targets[instance.id] = instance;
    } else {
      present[instance.id] = now;
    }
  }
  for (const auto& [name, assignment] : m_log.state().assignments()) {
    for (const OwnedRange& owned : assignment.ranges) {
      const auto known = m_targets.find(owned.owner);
      if (known != m_targets.end()) {
        targets.insert(*known);
      }
    }
  }
  m_targets = std::move(targets);
  for (const auto& [id, group] : m_log.state().groups()) {
    for (const InstanceId& member : group.members) {
      if (present.contains(member)) {
        m_absent_since.erase(member);
      } else {
        m_absent_since.try_emplace(member, now);
      }
    }
  }
}

Heartbeat Controller::Impl::OnHeartbeat(MonotonicTime now,
                                        const Heartbeat& heartbeat) {
  m_peers.OnHeartbeat(now, heartbeat);
  return MakeHeartbeat(now);
}

void Controller::Impl::OnHeartbeatAnswer(MonotonicTime sent,
                                         MonotonicTime now,
                                         const Heartbeat& answer) {
  m_peers.OnAnswer(sent, now, answer);
  UpdateConfirmation(now);
}

void Controller::Impl::OnPeerRecords(MonotonicTime now,
                                     std::span<const LogEntry> entries) {
  ApplyEntries(now, entries);
  UpdateConfirmation(now);
}

void Controller::Impl::OnLeaseAnswer(MonotonicTime sent,
                                     MonotonicTime now,
                                     std::string_view target,
                                     const LeaseAnswer& answer) {
  m_leases.OnAnswer(sent, now, target, answer);
}

void Controller::Impl::OnTargetFailure(MonotonicTime now,
                                       std::string_view target) {
  m_leases.OnFailure(now, target);
}

void Controller::Impl::ProposeMoves(std::string_view service,
                                    LogOffset based_on,
                                    std::vector<OwnerChange> changes) {
  m_proposed.insert_or_assign(ServiceName(service),
                              ProposedMoves{based_on, std::move(changes)});
}

std::vector<Action> Controller::Impl::Tick(MonotonicTime now) {
  if (m_selector.OnTick(now)) {
    m_leases.RestartWatch(now);
  }
  UpdateConfirmation(now);
  const bool moves_completed =
      m_move_tracker.Update({m_log.state(), m_peers, m_leases, now,
                             m_options.self, IsConfirmedByLog(now)});
  m_routing_table_stale = m_routing_table_stale || moves_completed;
  std::vector<Action> actions;
  SendHeartbeats(now, actions);
  FetchMissingRecords(now, actions);
  UpdateLeases(now, actions);
  if (IsConfirmedByLog(now) && !m_selector.leaving()) {
    PlanGroups(now, actions);
    PlanAssignments(now, actions);
    PlanSnapshot(now, actions);
  }
  UpdateRoutingTable();
  return actions;
}

MonotonicTime Controller::Impl::confirmed_until() const {
  if (!m_confirmation.ever_confirmed()) {
    return {};
  }
  std::optional<MonotonicTime> until;
  const auto limit_to = [&until](MonotonicTime time) {
    until = until ? std::min(*until, time) : time;
  };
  for (const auto& [name, assignment] : m_log.state().assignments()) {
    const ServiceConfig* service = configuration() == nullptr
                                       ? nullptr
                                       : configuration()->FindService(name);
    if (service == nullptr || service->checks_orders) {
      continue;
    }
    for (const OwnedRange& owned : assignment.ranges) {
      limit_to(ConfirmedUntil(owned.group, *service).value_or(MonotonicTime()));
    }
  }
  if (!until) {
    const auto confirmed = m_confirmation.ConfirmedAt(m_options.zone);
    return confirmed ? *confirmed + m_options.timing.confirmation_validity
                     : MonotonicTime();
  }
  return *until;
}

void Controller::Impl::ApplyEntries(MonotonicTime now,
                                    std::span<const LogEntry> entries) {
  m_log.AddEntries(entries,
                   [&](const ApplyEvent& event) { OnApplied(now, event); });
}

void Controller::Impl::OnApplied(MonotonicTime now, const ApplyEvent& event) {
  m_routing_table_stale = true;
  if (event.entry == nullptr) {
    m_move_tracker.OnSnapshot(now, m_log.state());
    return;
  }
  if (!event.entry->record) {
    return;
  }
  const Record& record = *event.entry->record;
  m_pending_appends.OnRead(record.id);
  if (event.outcome != ApplyOutcome::kAccepted) {
    return;
  }
  if (const auto* assignment = std::get_if<AssignmentRecord>(&record.body)) {
    m_pending_appends.OnVersionChange("assignment/" + assignment->service);
    m_move_tracker.OnAssignment(now, event.entry->offset, *assignment,
                                event.replaced);
  } else if (const auto* members = std::get_if<MembersRecord>(&record.body)) {
    m_pending_appends.OnVersionChange("members/" + members->group);
    m_move_tracker.OnMembers(now, members->group);
  }
}

void Controller::Impl::UpdateConfirmation(MonotonicTime now) {
  if (!m_started_at) {
    m_started_at = now;
  }
  m_peers.UpdateSelf(now, m_log.state().offset());
  const bool was_confirmed = m_confirmation.ever_confirmed();
  m_confirmation.Update(now, m_log.state(), m_peers);
  m_routing_table_stale =
      m_routing_table_stale || was_confirmed != m_confirmation.ever_confirmed();
}

void Controller::Impl::UpdateRoutingTable() {
  if (!m_routing_table_stale) {
    return;
  }
  m_routing_table_stale = false;
  // An instance stays ready: otherwise a new service without an assignment
  // would remove all instances from the load balancer.
  const bool ready = m_routing_table->ready ||
                     (m_confirmation.ever_confirmed() &&
                      AreAssignmentsKnown(m_log.state(), m_instances));
  auto table =
      BuildRoutingTable(m_log.state(), m_move_tracker, m_instances, ready);
  if (*table != *m_routing_table) {
    m_routing_table = std::move(table);
  }
}

Heartbeat Controller::Impl::MakeHeartbeat(MonotonicTime now) const {
  Heartbeat heartbeat;
  heartbeat.from = m_options.self;
  heartbeat.incarnation = m_options.incarnation;
  heartbeat.offset = m_log.state().offset();
  heartbeat.confirmed = m_confirmation.ever_confirmed();
  heartbeat.leaving = m_selector.leaving();
  heartbeat.lease_remaining_ms = m_leases.Remaining(now);
  return heartbeat;
}

std::set<InstanceId> Controller::Impl::FrequentHeartbeatPeers() const {
  std::set<InstanceId> frequent;
  const auto add = [&frequent](const GroupMembers& group) {
    frequent.insert(group.members.begin(), group.members.end());
    frequent.insert(group.previous_members.begin(),
                    group.previous_members.end());
  };
  for (const auto& [id, group] : m_log.state().groups()) {
    if (std::find(group.members.begin(), group.members.end(), m_options.self) !=
        group.members.end()) {
      add(group);
    }
  }
  for (const GroupId& id : m_move_tracker.AwaitedGroups(m_log.state())) {
    if (const GroupMembers* group = m_log.state().FindGroup(id)) {
      add(*group);
    }
  }
  return frequent;
}

void Controller::Impl::SendHeartbeats(MonotonicTime now,
                                      std::vector<Action>& actions) {
  const std::set<InstanceId> frequent = FrequentHeartbeatPeers();
  const Milliseconds frequent_interval =
      m_move_tracker.NeedsFrequentHeartbeats(now)
          ? std::min(kPendingMoveHeartbeatInterval,
                     m_options.timing.heartbeat_interval)
          : m_options.timing.heartbeat_interval;
  for (const PlatformInstance& instance : m_instances) {
    if (instance.role != PlatformRole::kEntry ||
        instance.id == m_options.self) {
      continue;
    }
    const Milliseconds interval = frequent.contains(instance.id)
                                      ? frequent_interval
                                      : kOtherPeerHeartbeatInterval;
    const auto sent = m_heartbeats_sent.find(instance.id);
    if (sent != m_heartbeats_sent.end() && now - sent->second < interval) {
      continue;
    }
    m_heartbeats_sent[instance.id] = now;
    actions.emplace_back(
        SendHeartbeat{instance.id, instance.address, MakeHeartbeat(now)});
  }
}

void Controller::Impl::FetchMissingRecords(MonotonicTime now,
                                           std::vector<Action>& actions) {
  const PlatformInstance* best = nullptr;
  LogOffset highest = m_log.state().offset();
  for (const PlatformInstance& instance : m_instances) {
    const PeerStatus* status = m_peers.Find(instance.id);
    if (instance.role == PlatformRole::kEntry && status != nullptr &&
        status->offset() > highest &&
        now - status->last_heard < kFetchMaxSilence) {
      highest = status->offset();
      best = &instance;
    }
  }
  if (best == nullptr) {
    m_behind_since.reset();
    return;
  }
  if (!m_behind_since) {
    m_behind_since = now;
  }
  if (now - *m_behind_since < kFetchDelay ||
      (m_last_fetch && now - *m_last_fetch < kFetchInterval)) {
    return;
  }
  m_last_fetch = now;
  actions.emplace_back(
      FetchRecords{best->id, best->address, m_log.state().offset() + 1});
}

void Controller::Impl::UpdateLeases(MonotonicTime now,
                                    std::vector<Action>& actions) {
  // A gap in lease extensions is worse than two members extending, so a member
  // takes over after half the silence timeout.
  std::set<GroupId, std::less<>> coordinated;
  for (const auto& [id, group] : m_log.state().groups()) {
    if (m_selector.IsCoordinator(m_peers, group, now,
                                 m_options.timing.silence_timeout / 2)) {
      coordinated.insert(id);
    }
  }
  if (!std::includes(m_coordinated.begin(), m_coordinated.end(),
                     coordinated.begin(), coordinated.end())) {
    m_leases.RestartWatch(now);
  }
  m_coordinated = std::move(coordinated);
  for (const auto& [id, target] : m_targets) {
    if (m_coordinated.contains(target.zone)) {
      UpdateLease(now, target, true, actions);
    }
  }
  if (m_coordinated.empty()) {
    return;
  }
  for (const TargetId& id : m_move_tracker.AwaitedFormerOwners()) {
    const auto target = m_targets.find(id);
    if (target != m_targets.end() &&
        !m_coordinated.contains(target->second.zone)) {
      UpdateLease(now, target->second, false, actions);
    }
  }
}

void Controller::Impl::UpdateLease(MonotonicTime now,
                                   const PlatformInstance& target,
                                   bool is_coordinator,
                                   std::vector<Action>& actions) {
  const ServiceConfig* service =
      configuration() == nullptr ? nullptr
                                 : configuration()->FindService(target.service);
  if (service == nullptr || !service->keyed) {
    return;
  }
  const RangeSet range_set = RangeSetOf(target);
  const LeaseStep step =
      m_leases.NextStep(now, target.id, range_set,
                        is_coordinator && range_set.assignment_version != 0 &&
                            MayExtend(now, target));
  if (step == LeaseStep::kNothing) {
    return;
  }
  if (step == LeaseStep::kQuery) {
    m_leases.OnQuerySent(now, target.id);
    actions.emplace_back(SendStatusQuery{target.id, target.address});
    return;
  }
  actions.emplace_back(SendLeaseOrder{
      target.address, m_leases.MakeOrder(now, target.id, range_set, step)});
}

RangeSet Controller::Impl::RangeSetOf(const PlatformInstance& target) const {
  RangeSet range_set;
  const ServiceAssignment* assignment =
      m_log.state().FindAssignment(target.service);
  if (assignment == nullptr) {
    return range_set;
  }
  range_set.assignment_version = assignment->version;
  for (const OwnedRange& owned : assignment->ranges) {
    if (owned.owner != target.id) {
      continue;
    }
    const std::vector<LeasedRange> grantable =
        m_move_tracker.GrantableRanges(target.service, owned);
    range_set.complete = range_set.complete && grantable.size() == 1 &&
                         grantable.front().range == owned.range;
    range_set.ranges.insert(range_set.ranges.end(), grantable.begin(),
                            grantable.end());
  }
  return range_set;
}

bool Controller::Impl::MayExtend(MonotonicTime now,
                                 const PlatformInstance& target) const {
  if (m_options.omitted.confirmation) {
    return true;
  }
  const std::optional<MonotonicTime> confirmed =
      m_confirmation.ConfirmedAt(target.zone);
  const TargetLease* lease = m_leases.Find(target.id);
  // If the state was confirmed before this incarnation of the target was known,
  // it may be older than a move that an earlier incarnation confirmed.
  if (!confirmed || lease == nullptr ||
      *confirmed < lease->incarnation_learned_at) {
    return false;
  }
  const std::optional<MonotonicTime> until = ConfirmedUntil(
      target.zone, *configuration()->FindService(target.service));
  return until && now < *until;
}

std::optional<MonotonicTime> Controller::Impl::ConfirmedUntil(
    std::string_view group,
    const ServiceConfig& service) const {
  const std::optional<MonotonicTime> confirmed =
      m_confirmation.ConfirmedAt(group);
  if (!confirmed) {
    return std::nullopt;
  }
  const MonotonicTime until =
      *confirmed + m_options.timing.confirmation_validity;
  if (!service.move_after) {
    return until;
  }
  const std::optional<MonotonicTime> log_confirmed_at =
      m_confirmation.log_confirmed_at();
  if (!log_confirmed_at) {
    return std::nullopt;
  }
  return std::min(until, *log_confirmed_at + *service.move_after);
}

bool Controller::Impl::IsConfirmedByLog(MonotonicTime now) const {
  const std::optional<MonotonicTime> log_confirmed_at =
      m_confirmation.log_confirmed_at();
  return log_confirmed_at &&
         now - *log_confirmed_at < m_options.timing.confirmation_validity;
}

void Controller::Impl::PlanAssignments(MonotonicTime now,
                                       std::vector<Action>& actions) {
  if (configuration() == nullptr) {
    return;
  }
  for (const ServiceConfig& service : configuration()->services) {
    const std::string subject = "assignment/" + service.name;
    if (!service.keyed || !m_pending_appends.IsFree(subject)) {
      continue;
    }
    std::vector<OwnerChange> changes =
        PlanAssignment({m_log.state(), m_peers, m_selector, m_leases, m_targets,
                        now, m_options.timing.silence_timeout},
                       service);
    AddProposedMoves(now, service.name, changes);
    if (changes.empty()) {
      continue;
    }
    const ServiceAssignment* assignment =
        m_log.state().FindAssignment(service.name);
    actions.emplace_back(AppendRecord{m_pending_appends.MakeRecord(
        now, subject, assignment == nullptr ? 0 : assignment->version,
        AssignmentRecord{service.name, std::move(changes)})});
  }
}

void Controller::Impl::AddProposedMoves(MonotonicTime now,
                                        const ServiceName& service,
                                        std::vector<OwnerChange>& changes) {
  const auto node = m_proposed.extract(service);
  const ServiceAssignment* assignment = m_log.state().FindAssignment(service);
  if (node.empty() || assignment == nullptr ||
      node.mapped().based_on != assignment->version) {
    return;
  }
  for (const OwnerChange& move : node.mapped().changes) {
    const GroupMembers* group = m_log.state().FindGroup(move.group);
    const auto target = m_targets.find(move.owner);
    const bool taken = std::any_of(changes.begin(), changes.end(),
                                   [&](const OwnerChange& change) {
                                     return change.range.Overlaps(move.range);
                                   });
    if (!taken && group != nullptr && target != m_targets.end() &&
        target->second.zone == move.group && !target->second.leaving &&
        !configuration()->IsDrained(move.owner) &&
        m_leases.IsAnswering(now, move.owner) &&
        m_selector.IsCoordinator(m_peers, *group, now,
                                 m_options.timing.silence_timeout)) {
      changes.push_back(move);
    }
  }
}

void Controller::Impl::PlanGroups(MonotonicTime now,
                                  std::vector<Action>& actions) {
  if (configuration() == nullptr || m_instances.empty()) {
    return;
  }
  const MembershipInput input{m_log.state(), m_peers,        m_selector,
                              m_instances,   m_absent_since, now,
                              *m_started_at, m_options.self, m_options.timing};
  for (const ZoneConfig& zone : configuration()->zones) {
    const std::string subject = "members/" + zone.name;
    if (!m_pending_appends.IsFree(subject)) {
      continue;
    }
    std::optional<std::vector<InstanceId>> members =
        PlanGroupMembers(input, zone.name);
    if (members) {
      const GroupMembers* group = m_log.state().FindGroup(zone.name);
      actions.emplace_back(AppendRecord{m_pending_appends.MakeRecord(
          now, subject, group == nullptr ? 0 : group->version,
          MembersRecord{zone.name, std::move(*members)})});
    }
  }
}

void Controller::Impl::PlanSnapshot(MonotonicTime now,
                                    std::vector<Action>& actions) {
  constexpr std::string_view kSubject = "snapshot";
  const ClusterState& state = m_log.state();
  const LogOffset since = state.offset() - m_log.last_snapshot();
  // The first offset rises once the retention of the log has started to drop
  // records.
  const LogOffset middle = m_log_first + (m_log_end - m_log_first) / 2;
  const bool is_old = m_log_first > 1 && since >= kMinSnapshotRecords &&
                      m_log.last_snapshot() < middle;
  if (state.groups().empty() || (since < kSnapshotIntervalRecords && !is_old) ||
      !m_pending_appends.IsFree(kSubject) ||
      !m_selector.IsCoordinator(m_peers, state.groups().begin()->second, now,
                                m_options.timing.silence_timeout)) {
    return;
  }
  actions.emplace_back(AppendRecord{m_pending_appends.MakeRecord(
      now, kSubject, state.offset(), state.ToSnapshot())});
}

const Configuration* Controller::Impl::configuration() const {
  const ConfigurationEntry* entry = m_log.state().configuration();
  return entry == nullptr ? nullptr : &entry->configuration;
}

}  // namespace snipehall
