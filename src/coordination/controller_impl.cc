#include "coordination/controller_impl.h"

#include <algorithm>
#include <utility>

#include "coordination/routing_table_builder.h"

namespace snipehall {

namespace {

// Interval of heartbeats to instances outside the own groups.
constexpr Milliseconds kFarHeartbeatInterval{1000};
// Interval of heartbeats while a move waits to be read.
constexpr Milliseconds kUrgentHeartbeatInterval{20};
// Time by which a peer has to be ahead before its records are fetched; the log
// is usually faster.
constexpr Milliseconds kFetchDelay{60};
constexpr Milliseconds kFetchInterval{100};
// Contact within which a peer is asked for records.
constexpr Milliseconds kFetchContact{3000};
// Records after the newest snapshot that cause the next one.
constexpr LogOffset kSnapshotInterval = 10000;
// Fewer records than this are never worth a snapshot.
constexpr LogOffset kSnapshotMinimum = 16;

}  // namespace

Controller::Impl::Impl(ControllerOptions options)
    : m_options(std::move(options)),
      m_peers(m_options.self,
              m_options.incarnation,
              m_options.timing.drift_per_mille),
      m_confirmation(m_options.self),
      m_leases(m_options.timing),
      m_settlement(m_options.timing, m_options.omitted.settlement),
      m_slots(m_options.self, m_options.incarnation),
      m_duties(m_options.self),
      m_table(std::make_shared<RoutingTable>()) {}

void Controller::Impl::OnLogRead(MonotonicTime began,
                                 MonotonicTime now,
                                 const LogRead& read) {
  m_fold.NoteFirst(read.first);
  m_log_first = std::max(m_log_first, read.first);
  m_log_end = std::max(m_log_end, read.end);
  Fold(now, read.entries);
  if (read.end == m_fold.state().offset() + 1) {
    m_confirmation.OnCompleteRead(began);
    m_slots.OnCompleteRead(began);
  }
  Refresh(now);
}

void Controller::Impl::OnInstances(
    MonotonicTime now,
    std::span<const PlatformInstance> instances) {
  m_instances.assign(instances.begin(), instances.end());
  m_table_stale = true;
  KnownTargets targets;
  std::map<InstanceId, MonotonicTime, std::less<>> present;
  for (const PlatformInstance& instance : instances) {
    if (instance.role == PlatformRole::kTarget) {
      targets[instance.id] = instance;
    } else {
      present[instance.id] = now;
    }
  }
  for (const auto& [name, assignment] : m_fold.state().assignments()) {
    for (const OwnedRange& owned : assignment.ranges) {
      const auto known = m_targets.find(owned.owner);
      if (known != m_targets.end()) {
        targets.insert(*known);
      }
    }
  }
  m_targets = std::move(targets);
  for (const auto& [id, group] : m_fold.state().groups()) {
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
  Refresh(now);
}

void Controller::Impl::OnPeerRecords(MonotonicTime now,
                                     std::span<const LogEntry> entries) {
  Fold(now, entries);
  Refresh(now);
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
  if (m_duties.NoteRunning(now)) {
    m_leases.RestartWatch(now);
  }
  Refresh(now);
  const bool settled =
      m_settlement.Update({m_fold.state(), m_peers, m_leases, now,
                           m_options.self, IsConfirmedByLog(now)});
  m_table_stale = m_table_stale || settled;
  std::vector<Action> actions;
  SendHeartbeats(now, actions);
  FetchMissing(now, actions);
  TendTargets(now, actions);
  if (IsConfirmedByLog(now) && !m_duties.leaving()) {
    PlanGroups(now, actions);
    PlanAssignments(now, actions);
    PlanSnapshot(now, actions);
  }
  UpdateTable();
  return actions;
}

MonotonicTime Controller::Impl::confirmed_until() const {
  if (!m_confirmation.started()) {
    return {};
  }
  std::optional<MonotonicTime> until;
  const auto limit_to = [&until](MonotonicTime time) {
    until = until ? std::min(*until, time) : time;
  };
  for (const auto& [name, assignment] : m_fold.state().assignments()) {
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

void Controller::Impl::Fold(MonotonicTime now,
                            std::span<const LogEntry> entries) {
  m_fold.Accept(entries, [&](const FoldStep& step) { OnFoldStep(now, step); });
}

void Controller::Impl::OnFoldStep(MonotonicTime now, const FoldStep& step) {
  m_table_stale = true;
  if (step.entry == nullptr) {
    m_settlement.OnSnapshot(now, m_fold.state());
    return;
  }
  if (!step.entry->record) {
    return;
  }
  const Record& record = *step.entry->record;
  m_slots.OnRead(record.id);
  if (step.outcome != ApplyOutcome::kAccepted) {
    return;
  }
  if (const auto* assignment = std::get_if<AssignmentRecord>(&record.body)) {
    m_slots.OnVersionChange("assignment/" + assignment->service);
    m_settlement.OnAssignment(now, step.entry->offset, *assignment,
                              step.replaced);
  } else if (const auto* members = std::get_if<MembersRecord>(&record.body)) {
    m_slots.OnVersionChange("members/" + members->group);
    m_settlement.OnMembers(now, members->group);
  }
}

void Controller::Impl::Refresh(MonotonicTime now) {
  if (!m_started) {
    m_started = now;
  }
  m_peers.NoteSelf(now, m_fold.state().offset());
  const bool was_started = m_confirmation.started();
  m_confirmation.Update(now, m_fold.state(), m_peers);
  m_table_stale = m_table_stale || was_started != m_confirmation.started();
}

void Controller::Impl::UpdateTable() {
  if (!m_table_stale) {
    return;
  }
  m_table_stale = false;
  // Once ready, an instance stays so: a new service without an assignment must
  // not take all instances away from the balancer.
  const bool ready =
      m_table->ready || (m_confirmation.started() &&
                         AreAssignmentsKnown(m_fold.state(), m_instances));
  auto table =
      BuildRoutingTable(m_fold.state(), m_settlement, m_instances, ready);
  if (*table != *m_table) {
    m_table = std::move(table);
  }
}

Heartbeat Controller::Impl::MakeHeartbeat(MonotonicTime now) const {
  Heartbeat heartbeat;
  heartbeat.from = m_options.self;
  heartbeat.incarnation = m_options.incarnation;
  heartbeat.offset = m_fold.state().offset();
  heartbeat.confirmed = m_confirmation.started();
  heartbeat.leaving = m_duties.leaving();
  heartbeat.lease_remaining_ms = m_leases.Remaining(now);
  return heartbeat;
}

std::set<InstanceId> Controller::Impl::ClosePeers() const {
  std::set<InstanceId> close;
  const auto add = [&close](const GroupMembers& group) {
    close.insert(group.members.begin(), group.members.end());
    close.insert(group.previous_members.begin(), group.previous_members.end());
  };
  for (const auto& [id, group] : m_fold.state().groups()) {
    if (std::find(group.members.begin(), group.members.end(), m_options.self) !=
        group.members.end()) {
      add(group);
    }
  }
  for (const GroupId& id : m_settlement.AwaitedGroups(m_fold.state())) {
    if (const GroupMembers* group = m_fold.state().FindGroup(id)) {
      add(*group);
    }
  }
  return close;
}

void Controller::Impl::SendHeartbeats(MonotonicTime now,
                                      std::vector<Action>& actions) {
  const std::set<InstanceId> close = ClosePeers();
  const Milliseconds close_interval =
      m_settlement.IsUrgent(now) ? std::min(kUrgentHeartbeatInterval,
                                            m_options.timing.heartbeat_interval)
                                 : m_options.timing.heartbeat_interval;
  for (const PlatformInstance& instance : m_instances) {
    if (instance.role != PlatformRole::kEntry ||
        instance.id == m_options.self) {
      continue;
    }
    const Milliseconds interval =
        close.contains(instance.id) ? close_interval : kFarHeartbeatInterval;
    const auto sent = m_heartbeats_sent.find(instance.id);
    if (sent != m_heartbeats_sent.end() && now - sent->second < interval) {
      continue;
    }
    m_heartbeats_sent[instance.id] = now;
    actions.emplace_back(
        SendHeartbeat{instance.id, instance.address, MakeHeartbeat(now)});
  }
}

void Controller::Impl::FetchMissing(MonotonicTime now,
                                    std::vector<Action>& actions) {
  const PlatformInstance* best = nullptr;
  LogOffset highest = m_fold.state().offset();
  for (const PlatformInstance& instance : m_instances) {
    const PeerView* view = m_peers.Find(instance.id);
    if (instance.role == PlatformRole::kEntry && view != nullptr &&
        view->offset() > highest && now - view->last_heard < kFetchContact) {
      highest = view->offset();
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
      (m_fetched && now - *m_fetched < kFetchInterval)) {
    return;
  }
  m_fetched = now;
  actions.emplace_back(
      FetchRecords{best->id, best->address, m_fold.state().offset() + 1});
}

void Controller::Impl::TendTargets(MonotonicTime now,
                                   std::vector<Action>& actions) {
  // Extending without delay matters more than who extends, so a member takes
  // over after half the limit of silence.
  std::set<GroupId, std::less<>> extending;
  for (const auto& [id, group] : m_fold.state().groups()) {
    if (m_duties.IsActing(m_peers, group, now, m_options.timing.silence / 2)) {
      extending.insert(id);
    }
  }
  if (!std::includes(m_extending.begin(), m_extending.end(), extending.begin(),
                     extending.end())) {
    m_leases.RestartWatch(now);
  }
  m_extending = std::move(extending);
  for (const auto& [id, target] : m_targets) {
    if (m_extending.contains(target.zone)) {
      TendTarget(now, target, true, actions);
    }
  }
  if (m_extending.empty()) {
    return;
  }
  for (const TargetId& id : m_settlement.AwaitedTargets()) {
    const auto target = m_targets.find(id);
    if (target != m_targets.end() &&
        !m_extending.contains(target->second.zone)) {
      TendTarget(now, target->second, false, actions);
    }
  }
}

void Controller::Impl::TendTarget(MonotonicTime now,
                                  const PlatformInstance& target,
                                  bool extends,
                                  std::vector<Action>& actions) {
  const ServiceConfig* service =
      configuration() == nullptr ? nullptr
                                 : configuration()->FindService(target.service);
  if (service == nullptr || !service->keyed) {
    return;
  }
  const LeaseContent content = ContentOf(target);
  const LeaseStep step =
      m_leases.Due(now, target.id, content,
                   extends && content.set != 0 && MayExtend(now, target));
  if (step == LeaseStep::kNothing) {
    return;
  }
  if (step == LeaseStep::kQuery) {
    m_leases.NoteQuery(now, target.id);
    actions.emplace_back(SendStatusQuery{target.id, target.address});
    return;
  }
  actions.emplace_back(SendLeaseOrder{
      target.address, m_leases.MakeOrder(now, target.id, content, step)});
}

LeaseContent Controller::Impl::ContentOf(const PlatformInstance& target) const {
  LeaseContent content;
  const ServiceAssignment* assignment =
      m_fold.state().FindAssignment(target.service);
  if (assignment == nullptr) {
    return content;
  }
  content.set = assignment->version;
  for (const OwnedRange& owned : assignment->ranges) {
    if (owned.owner != target.id) {
      continue;
    }
    const std::vector<LeasedRange> settled =
        m_settlement.Settled(target.service, owned);
    content.complete = content.complete && settled.size() == 1 &&
                       settled.front().range == owned.range;
    content.ranges.insert(content.ranges.end(), settled.begin(), settled.end());
  }
  return content;
}

bool Controller::Impl::MayExtend(MonotonicTime now,
                                 const PlatformInstance& target) const {
  if (m_options.omitted.confirmation) {
    return true;
  }
  const std::optional<MonotonicTime> confirmed =
      m_confirmation.ConfirmedAt(target.zone);
  const TargetLease* lease = m_leases.Find(target.id);
  // A state confirmed before this incarnation of the target was known may be
  // older than a move that an earlier incarnation has confirmed.
  if (!confirmed || lease == nullptr ||
      *confirmed < lease->incarnation_learned) {
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
  const std::optional<MonotonicTime> by_log = m_confirmation.by_log();
  if (!by_log) {
    return std::nullopt;
  }
  return std::min(until, *by_log + *service.move_after);
}

bool Controller::Impl::IsConfirmedByLog(MonotonicTime now) const {
  const std::optional<MonotonicTime> by_log = m_confirmation.by_log();
  return by_log && now - *by_log < m_options.timing.confirmation_validity;
}

void Controller::Impl::PlanAssignments(MonotonicTime now,
                                       std::vector<Action>& actions) {
  if (configuration() == nullptr) {
    return;
  }
  for (const ServiceConfig& service : configuration()->services) {
    const std::string slot = "assignment/" + service.name;
    if (!service.keyed || !m_slots.IsFree(slot)) {
      continue;
    }
    std::vector<OwnerChange> changes =
        PlanAssignment({m_fold.state(), m_peers, m_duties, m_leases, m_targets,
                        now, m_options.timing.silence},
                       service);
    AddProposedMoves(now, service.name, changes);
    if (changes.empty()) {
      continue;
    }
    const ServiceAssignment* assignment =
        m_fold.state().FindAssignment(service.name);
    actions.emplace_back(AppendRecord{
        m_slots.Make(now, slot, assignment == nullptr ? 0 : assignment->version,
                     AssignmentRecord{service.name, std::move(changes)})});
  }
}

void Controller::Impl::AddProposedMoves(MonotonicTime now,
                                        const ServiceName& service,
                                        std::vector<OwnerChange>& changes) {
  const auto node = m_proposed.extract(service);
  const ServiceAssignment* assignment = m_fold.state().FindAssignment(service);
  if (node.empty() || assignment == nullptr ||
      node.mapped().based_on != assignment->version) {
    return;
  }
  for (const OwnerChange& move : node.mapped().changes) {
    const GroupMembers* group = m_fold.state().FindGroup(move.group);
    const auto target = m_targets.find(move.owner);
    const bool taken = std::any_of(changes.begin(), changes.end(),
                                   [&](const OwnerChange& change) {
                                     return change.range.Overlaps(move.range);
                                   });
    if (!taken && group != nullptr && target != m_targets.end() &&
        target->second.zone == move.group && !target->second.leaving &&
        !configuration()->IsDrained(move.owner) &&
        m_leases.IsAnswering(now, move.owner) &&
        m_duties.IsActing(m_peers, *group, now, m_options.timing.silence)) {
      changes.push_back(move);
    }
  }
}

void Controller::Impl::PlanGroups(MonotonicTime now,
                                  std::vector<Action>& actions) {
  if (configuration() == nullptr || m_instances.empty()) {
    return;
  }
  const MembershipView view{m_fold.state(), m_peers,        m_duties,
                            m_instances,    m_absent_since, now,
                            *m_started,     m_options.self, m_options.timing};
  for (const ZoneConfig& zone : configuration()->zones) {
    const std::string slot = "members/" + zone.name;
    if (!m_slots.IsFree(slot)) {
      continue;
    }
    std::optional<std::vector<InstanceId>> members =
        PlanGroupMembers(view, zone.name);
    if (members) {
      const GroupMembers* group = m_fold.state().FindGroup(zone.name);
      actions.emplace_back(AppendRecord{
          m_slots.Make(now, slot, group == nullptr ? 0 : group->version,
                       MembersRecord{zone.name, std::move(*members)})});
    }
  }
}

void Controller::Impl::PlanSnapshot(MonotonicTime now,
                                    std::vector<Action>& actions) {
  constexpr std::string_view kSlot = "snapshot";
  const ClusterState& state = m_fold.state();
  const LogOffset since = state.offset() - m_fold.last_snapshot();
  // The first offset rises once the log's retention has begun to drop records.
  const LogOffset middle = m_log_first + (m_log_end - m_log_first) / 2;
  const bool is_old = m_log_first > 1 && since >= kSnapshotMinimum &&
                      m_fold.last_snapshot() < middle;
  if (state.groups().empty() || (since < kSnapshotInterval && !is_old) ||
      !m_slots.IsFree(kSlot) ||
      !m_duties.IsActing(m_peers, state.groups().begin()->second, now,
                         m_options.timing.silence)) {
    return;
  }
  actions.emplace_back(AppendRecord{
      m_slots.Make(now, kSlot, state.offset(), state.ToSnapshot())});
}

const Configuration* Controller::Impl::configuration() const {
  const ConfigurationEntry* entry = m_fold.state().configuration();
  return entry == nullptr ? nullptr : &entry->configuration;
}

}  // namespace snipehall
