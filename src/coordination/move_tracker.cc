#include "coordination/move_tracker.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "coordination/clock_drift.h"

namespace snipehall {

namespace {

// Time after a move during which heartbeats are sent at every tick. Members
// that have not read it by then are slow or partitioned.
constexpr Milliseconds kFrequentHeartbeatPeriod{2000};

HashRange Intersection(const HashRange& a, const HashRange& b) {
  return {std::max(a.first, b.first), std::min(a.last, b.last)};
}

// Returns the moves outside `range`, including the parts of overlapping moves
// outside it.
std::vector<PendingMove> Subtract(const std::vector<PendingMove>& moves,
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

// Returns the current and the previous members; majorities of both are
// required.
std::vector<InstanceId> AllMembers(const GroupMembers& group) {
  std::vector<InstanceId> members = group.members;
  members.insert(members.end(), group.previous_members.begin(),
                 group.previous_members.end());
  return members;
}

bool MajoritiesHaveRead(const MoveTrackerInput& input,
                        const GroupId& id,
                        LogOffset offset) {
  const GroupMembers* group = input.state.FindGroup(id);
  return group != nullptr &&
         input.peers.MajorityHasRead(group->members, offset) &&
         (group->previous_members.empty() ||
          input.peers.MajorityHasRead(group->previous_members, offset));
}

// Returns the longest time for which an unreachable member of the group may go
// on extending leases of the service after its last read of the log. Empty if
// there is no limit. A configuration counts only if a majority of the group is
// known to have read it; otherwise an older one may be in use there.
std::optional<Milliseconds> IsolationLimit(const MoveTrackerInput& input,
                                           std::string_view service,
                                           const GroupId& group) {
  Milliseconds longest{0};
  const auto history = input.state.history();
  for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
    const ServiceConfig* config = entry->configuration.FindService(service);
    if (config == nullptr || !config->move_after) {
      return std::nullopt;
    }
    longest = std::max(longest, *config->move_after);
    if (MajoritiesHaveRead(input, group, entry->offset)) {
      return longest;
    }
  }
  return std::nullopt;
}

}  // namespace

void MoveTracker::OnAssignment(MonotonicTime now,
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
    moves = Subtract(moves, change.range);
  }
  std::move(added.begin(), added.end(), std::back_inserter(moves));
}

void MoveTracker::OnSnapshot(MonotonicTime now, const ClusterState& state) {
  m_moves.clear();
  m_members_known_since.clear();
  for (const auto& [id, group] : state.groups()) {
    m_members_known_since[id] = now;
  }
  for (const auto& [service, assignment] : state.assignments()) {
    for (const OwnedRange& owned : assignment.ranges) {
      PendingMove move{owned.range, owned.token, now};
      move.unknown_owners = true;
      m_moves[service].push_back(std::move(move));
    }
  }
}

void MoveTracker::OnMembers(MonotonicTime now, std::string_view group) {
  m_members_known_since[std::string(group)] = now;
}

bool MoveTracker::Update(const MoveTrackerInput& input) {
  const ConfigurationEntry* configuration = input.state.configuration();
  if (configuration == nullptr) {
    return false;
  }
  std::size_t removed = 0;
  for (auto& [name, moves] : m_moves) {
    const ServiceConfig* service =
        configuration->configuration.FindService(name);
    const ServiceAssignment* assignment = input.state.FindAssignment(name);
    if (service == nullptr || assignment == nullptr) {
      continue;
    }
    removed += std::erase_if(moves, [&](PendingMove& move) {
      return IsGrantable(input, *service, GroupsOf(*assignment, move.range),
                         move);
    });
  }
  return removed > 0;
}

std::vector<LeasedRange> MoveTracker::GrantableRanges(
    std::string_view service,
    const OwnedRange& owned) const {
  std::vector<LeasedRange> grantable{{owned.range, owned.token}};
  const auto found = m_moves.find(service);
  if (found == m_moves.end()) {
    return grantable;
  }
  for (const PendingMove& move : found->second) {
    std::vector<LeasedRange> kept;
    for (const LeasedRange& part : grantable) {
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
    grantable = std::move(kept);
  }
  return grantable;
}

std::vector<TargetId> MoveTracker::AwaitedFormerOwners() const {
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

bool MoveTracker::NeedsFrequentHeartbeats(MonotonicTime now) const {
  return std::any_of(m_moves.begin(), m_moves.end(), [&](const auto& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(),
                       [&](const PendingMove& move) {
                         return !move.majority_read_at &&
                                now - move.read_at < kFrequentHeartbeatPeriod;
                       });
  });
}

std::vector<GroupId> MoveTracker::AwaitedGroups(
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

bool MoveTracker::IsGrantable(const MoveTrackerInput& input,
                              const ServiceConfig& service,
                              const std::vector<GroupId>& groups,
                              PendingMove& move) const {
  if (m_skip_wait) {
    return true;
  }
  if (!move.majority_read_at &&
      std::all_of(groups.begin(), groups.end(), [&](const GroupId& group) {
        return MajoritiesHaveRead(input, group, move.token);
      })) {
    move.majority_read_at = input.now;
  }
  if (!move.majority_read_at) {
    return IsIsolationPeriodOver(input, service, groups, move);
  }
  const MonotonicTime leases_expired_at =
      *move.majority_read_at + LeaseExpiryWait(m_timing);
  const std::chrono::nanoseconds in_progress =
      WithDrift(service.longest_deadline(), m_timing.max_drift_per_mille);
  if (!service.checks_orders) {
    return input.now >= leases_expired_at + in_progress;
  }
  if (AreReleased(input, move)) {
    return true;
  }
  // A former owner that answers and still runs requests on the range delays the
  // grant.
  const bool in_use = std::any_of(
      move.former_owners.begin(), move.former_owners.end(),
      [&](const FormerOwner& former) {
        const TargetLease* lease = input.leases.Find(former.target);
        return lease != nullptr &&
               lease->assignment_version >= former.moved_at_offset &&
               lease->revoked_in_progress > 0 &&
               input.leases.IsAnswering(input.now, former.target);
      });
  if (in_use) {
    return input.now >= leases_expired_at + in_progress;
  }
  return input.now >= leases_expired_at ||
         HaveLeasesExpired(input, groups, move);
}

bool MoveTracker::IsIsolationPeriodOver(const MoveTrackerInput& input,
                                        const ServiceConfig& service,
                                        const std::vector<GroupId>& groups,
                                        PendingMove& move) const {
  Milliseconds limit{0};
  for (const GroupId& group : groups) {
    if (MajoritiesHaveRead(input, group, move.token)) {
      continue;
    }
    const std::optional<Milliseconds> group_limit =
        IsolationLimit(input, service.name, group);
    if (!group_limit) {
      move.isolation_known_at.reset();
      return false;
    }
    limit = std::max(limit, *group_limit);
  }
  if (!move.isolation_known_at) {
    move.isolation_known_at = input.now;
  }
  std::chrono::nanoseconds wait =
      WithDrift(limit, m_timing.max_drift_per_mille) +
      LeaseExpiryWait(m_timing);
  if (!service.checks_orders) {
    wait += WithDrift(service.longest_deadline(), m_timing.max_drift_per_mille);
  }
  return input.confirmed_by_log && input.now >= *move.isolation_known_at + wait;
}

bool MoveTracker::AreReleased(const MoveTrackerInput& input,
                              const PendingMove& move) const {
  // An answer to an order that was sent before the majority had read the move
  // does not count: a member that had not read it could still send the old
  // range set to a restarted target.
  return !move.unknown_owners &&
         std::all_of(
             move.former_owners.begin(), move.former_owners.end(),
             [&](const FormerOwner& former) {
               const TargetLease* lease = input.leases.Find(former.target);
               return lease != nullptr && lease->last_answer &&
                      lease->answer_sent >= *move.majority_read_at &&
                      lease->assignment_version >= former.moved_at_offset &&
                      lease->revoked_in_progress == 0;
             });
}

bool MoveTracker::HaveLeasesExpired(const MoveTrackerInput& input,
                                    const std::vector<GroupId>& groups,
                                    const PendingMove& move) const {
  if (move.unknown_owners) {
    return false;
  }
  const std::chrono::nanoseconds lease =
      WithDrift(m_timing.lease_duration, m_timing.max_drift_per_mille);
  for (const GroupId& id : groups) {
    const GroupMembers* group = input.state.FindGroup(id);
    const auto known = m_members_known_since.find(id);
    // Members that were replaced shortly before may have extended leases.
    if (group == nullptr || known == m_members_known_since.end() ||
        input.now < known->second + LeaseExpiryWait(m_timing)) {
      return false;
    }
    for (const InstanceId& member : AllMembers(*group)) {
      const PeerStatus* peer = input.peers.Find(member);
      // The answer shows that the incarnation that reported its leases was
      // running when the majority had read the move.
      if (peer == nullptr || !peer->answered ||
          *peer->answered < *move.majority_read_at ||
          peer->offset() < move.token) {
        return false;
      }
      // An earlier incarnation may have extended leases until it terminated.
      MonotonicTime end = peer->first_heard + lease;
      for (const FormerOwner& former : move.former_owners) {
        if (member == input.self) {
          const TargetLease* own = input.leases.Find(former.target);
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
      if (input.now < end) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace snipehall
