#include "coordination/move_settlement.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "coordination/drift.h"

namespace snipehall {

namespace {

// Time after a move during which heartbeats are sent at every tick. Members
// that have not read it by then are slow or cut off.
constexpr Milliseconds kUrgentTime{2000};

HashRange Intersection(const HashRange& a, const HashRange& b) {
  return {std::max(a.first, b.first), std::min(a.last, b.last)};
}

// The moves outside `range`, and the parts of others that stand out of it.
std::vector<PendingMove> Outside(const std::vector<PendingMove>& moves,
                                 const HashRange& range) {
  std::vector<PendingMove> kept;
  for (const PendingMove& move : moves) {
    if (!move.range.Overlaps(range)) {
      kept.push_back(move);
      continue;
    }
    if (move.range.first < range.first) {
      kept.push_back(move);
      kept.back().range.last = range.first - 1;
    }
    if (move.range.last > range.last) {
      kept.push_back(move);
      kept.back().range.first = range.last + 1;
    }
  }
  return kept;
}

std::vector<GroupId> GroupsOf(const ServiceAssignment& assignment,
                              const HashRange& range) {
  std::set<GroupId> groups;
  for (const OwnedRange& entry : assignment.ranges) {
    if (entry.range.Overlaps(range)) {
      groups.insert(entry.group);
      groups.insert(entry.former_groups.begin(), entry.former_groups.end());
    }
  }
  return {groups.begin(), groups.end()};
}

// The present and the previous members; both have to be asked.
std::vector<InstanceId> AllMembers(const GroupMembers& group) {
  std::vector<InstanceId> members = group.members;
  members.insert(members.end(), group.previous_members.begin(),
                 group.previous_members.end());
  return members;
}

bool MajoritiesHaveRead(const SettlementView& view,
                        const GroupId& id,
                        LogOffset offset) {
  const GroupMembers* group = view.state.FindGroup(id);
  return group != nullptr &&
         view.peers.MajorityHasRead(group->members, offset) &&
         (group->previous_members.empty() ||
          view.peers.MajorityHasRead(group->previous_members, offset));
}

// Longest time for which a member of the group that cannot be reached may go
// on extending leases of the service after its last read of the log. Empty
// when it may go on without limit: configurations that the majority of its
// group is not known to have read may not be in force there.
std::optional<Milliseconds> IsolationLimit(const SettlementView& view,
                                           std::string_view service,
                                           const GroupId& group) {
  Milliseconds longest{0};
  const auto history = view.state.history();
  for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
    const ServiceConfig* config = entry->configuration.FindService(service);
    if (config == nullptr || !config->move_after) {
      return std::nullopt;
    }
    longest = std::max(longest, *config->move_after);
    if (MajoritiesHaveRead(view, group, entry->offset)) {
      return longest;
    }
  }
  return std::nullopt;
}

Milliseconds LongestDeadline(const ServiceConfig& service) {
  Milliseconds longest{0};
  for (const ClassConfig& entry : service.classes) {
    longest = std::max(longest, entry.default_deadline);
  }
  return longest;
}

}  // namespace

void MoveSettlement::OnAssignment(MonotonicTime now,
                                  LogOffset offset,
                                  const AssignmentRecord& record,
                                  const ServiceAssignment* replaced) {
  Moves& moves = m_moves[record.service];
  if (replaced == nullptr) {
    return;
  }
  Moves added;
  for (const OwnerChange& change : record.changes) {
    for (const OwnedRange& old : replaced->ranges) {
      if (!old.range.Overlaps(change.range)) {
        continue;
      }
      PendingMove move{Intersection(old.range, change.range), offset, now};
      if (old.owner != change.owner) {
        move.former_owners.push_back({old.owner, offset});
      }
      for (const PendingMove& earlier : moves) {
        if (!earlier.range.Overlaps(move.range)) {
          continue;
        }
        std::copy_if(earlier.former_owners.begin(), earlier.former_owners.end(),
                     std::back_inserter(move.former_owners),
                     [&](const FormerOwner& former) {
                       return former.target != change.owner;
                     });
        move.unknown_owners = move.unknown_owners || earlier.unknown_owners;
      }
      if (!move.former_owners.empty() || move.unknown_owners) {
        added.push_back(std::move(move));
      }
    }
  }
  for (const OwnerChange& change : record.changes) {
    moves = Outside(moves, change.range);
  }
  std::move(added.begin(), added.end(), std::back_inserter(moves));
}

void MoveSettlement::OnSnapshot(MonotonicTime now, const ClusterState& state) {
  m_moves.clear();
  m_members_known.clear();
  for (const auto& [id, group] : state.groups()) {
    m_members_known[id] = now;
  }
  for (const auto& [service, assignment] : state.assignments()) {
    for (const OwnedRange& owned : assignment.ranges) {
      PendingMove move{owned.range, owned.token, now};
      move.unknown_owners = true;
      m_moves[service].push_back(std::move(move));
    }
  }
}

void MoveSettlement::OnMembers(MonotonicTime now, std::string_view group) {
  m_members_known[std::string(group)] = now;
}

bool MoveSettlement::Update(const SettlementView& view) {
  const ConfigurationEntry* configuration = view.state.configuration();
  if (configuration == nullptr) {
    return false;
  }
  std::size_t settled = 0;
  for (auto& [name, moves] : m_moves) {
    const ServiceConfig* service =
        configuration->configuration.FindService(name);
    const ServiceAssignment* assignment = view.state.FindAssignment(name);
    if (service == nullptr || assignment == nullptr) {
      continue;
    }
    settled += std::erase_if(moves, [&](PendingMove& move) {
      return IsMoveSettled(view, *service, GroupsOf(*assignment, move.range),
                           move);
    });
  }
  return settled > 0;
}

std::vector<LeasedRange> MoveSettlement::Settled(
    std::string_view service,
    const OwnedRange& owned) const {
  std::vector<LeasedRange> settled{{owned.range, owned.token}};
  const auto found = m_moves.find(service);
  if (found == m_moves.end()) {
    return settled;
  }
  for (const PendingMove& move : found->second) {
    std::vector<LeasedRange> kept;
    for (const LeasedRange& part : settled) {
      if (!part.range.Overlaps(move.range)) {
        kept.push_back(part);
        continue;
      }
      if (part.range.first < move.range.first) {
        kept.push_back({{part.range.first, move.range.first - 1}, part.token});
      }
      if (part.range.last > move.range.last) {
        kept.push_back({{move.range.last + 1, part.range.last}, part.token});
      }
    }
    settled = std::move(kept);
  }
  return settled;
}

std::vector<TargetId> MoveSettlement::AwaitedTargets() const {
  std::set<TargetId> targets;
  for (const auto& [service, moves] : m_moves) {
    for (const PendingMove& move : moves) {
      for (const FormerOwner& former : move.former_owners) {
        targets.insert(former.target);
      }
    }
  }
  return {targets.begin(), targets.end()};
}

bool MoveSettlement::IsUrgent(MonotonicTime now) const {
  return std::any_of(m_moves.begin(), m_moves.end(), [&](const auto& entry) {
    return std::any_of(
        entry.second.begin(), entry.second.end(), [&](const PendingMove& move) {
          return !move.majority_read && now - move.read < kUrgentTime;
        });
  });
}

std::vector<GroupId> MoveSettlement::AwaitedGroups(
    const ClusterState& state) const {
  std::set<GroupId> groups;
  for (const auto& [service, moves] : m_moves) {
    const ServiceAssignment* assignment = state.FindAssignment(service);
    if (assignment == nullptr) {
      continue;
    }
    for (const PendingMove& move : moves) {
      const std::vector<GroupId> ids = GroupsOf(*assignment, move.range);
      groups.insert(ids.begin(), ids.end());
    }
  }
  return {groups.begin(), groups.end()};
}

bool MoveSettlement::IsMoveSettled(const SettlementView& view,
                                   const ServiceConfig& service,
                                   const std::vector<GroupId>& groups,
                                   PendingMove& move) const {
  if (m_skip_wait) {
    return true;
  }
  if (!move.majority_read &&
      std::all_of(groups.begin(), groups.end(), [&](const GroupId& group) {
        return MajoritiesHaveRead(view, group, move.token);
      })) {
    move.majority_read = view.now;
  }
  if (!move.majority_read) {
    return IsIsolationOver(view, service, groups, move);
  }
  const MonotonicTime lapsed = *move.majority_read + LeaseLapseWait(m_timing);
  const std::chrono::nanoseconds in_progress =
      WithDrift(LongestDeadline(service), m_timing.drift_per_mille);
  if (!service.checks_orders) {
    return view.now >= lapsed + in_progress;
  }
  if (AreReleased(view, move)) {
    return true;
  }
  // A former owner that answers and still works on the range is waited for.
  const bool busy =
      std::any_of(move.former_owners.begin(), move.former_owners.end(),
                  [&](const FormerOwner& former) {
                    const TargetLease* lease = view.leases.Find(former.target);
                    return lease != nullptr && lease->set >= former.taken_at &&
                           lease->leaving_in_progress > 0 &&
                           view.leases.IsAnswering(view.now, former.target);
                  });
  if (busy) {
    return view.now >= lapsed + in_progress;
  }
  return view.now >= lapsed || HaveLeasesEnded(view, groups, move);
}

bool MoveSettlement::IsIsolationOver(const SettlementView& view,
                                     const ServiceConfig& service,
                                     const std::vector<GroupId>& groups,
                                     PendingMove& move) const {
  Milliseconds limit{0};
  for (const GroupId& group : groups) {
    if (MajoritiesHaveRead(view, group, move.token)) {
      continue;
    }
    const std::optional<Milliseconds> group_limit =
        IsolationLimit(view, service.name, group);
    if (!group_limit) {
      move.isolation_known.reset();
      return false;
    }
    limit = std::max(limit, *group_limit);
  }
  if (!move.isolation_known) {
    move.isolation_known = view.now;
  }
  std::chrono::nanoseconds wait =
      WithDrift(limit, m_timing.drift_per_mille) + LeaseLapseWait(m_timing);
  if (!service.checks_orders) {
    wait += WithDrift(LongestDeadline(service), m_timing.drift_per_mille);
  }
  return view.confirmed_by_log && view.now >= *move.isolation_known + wait;
}

bool MoveSettlement::AreReleased(const SettlementView& view,
                                 const PendingMove& move) const {
  // An answer to an order that was sent before the majority had read the move
  // does not count: a member that had not read it could still give the old set
  // to a restarted target.
  return !move.unknown_owners &&
         std::all_of(move.former_owners.begin(), move.former_owners.end(),
                     [&](const FormerOwner& former) {
                       const TargetLease* lease =
                           view.leases.Find(former.target);
                       return lease != nullptr && lease->last_answer &&
                              lease->answer_sent >= *move.majority_read &&
                              lease->set >= former.taken_at &&
                              lease->leaving_in_progress == 0;
                     });
}

bool MoveSettlement::HaveLeasesEnded(const SettlementView& view,
                                     const std::vector<GroupId>& groups,
                                     const PendingMove& move) const {
  if (move.unknown_owners) {
    return false;
  }
  const std::chrono::nanoseconds lease =
      WithDrift(m_timing.lease, m_timing.drift_per_mille);
  for (const GroupId& id : groups) {
    const GroupMembers* group = view.state.FindGroup(id);
    const auto known = m_members_known.find(id);
    // Members that were replaced shortly before may have extended leases.
    if (group == nullptr || known == m_members_known.end() ||
        view.now < known->second + LeaseLapseWait(m_timing)) {
      return false;
    }
    for (const InstanceId& member : AllMembers(*group)) {
      const PeerView* peer = view.peers.Find(member);
      // The answer shows that the incarnation that reported its leases was
      // running when the majority had read the move.
      if (peer == nullptr || !peer->answered ||
          *peer->answered < *move.majority_read ||
          peer->offset() < move.token) {
        return false;
      }
      // An earlier incarnation may have extended leases up to its end.
      MonotonicTime end = peer->first_heard + lease;
      for (const FormerOwner& former : move.former_owners) {
        if (member == view.self) {
          const TargetLease* own = view.leases.Find(former.target);
          end = own != nullptr && own->end_bound
                    ? std::max(end, *own->end_bound)
                    : end;
          continue;
        }
        const auto reported = peer->lease_ends.find(former.target);
        end = reported != peer->lease_ends.end()
                  ? std::max(end, reported->second)
                  : end;
      }
      if (view.now < end) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace snipehall
