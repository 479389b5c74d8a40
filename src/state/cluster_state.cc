#include "state/cluster_state.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace snipehall {

namespace {

// Returns false when a range is empty or overlaps another one of the record, or
// when its owner or group is not set.
bool IsWellFormed(const std::vector<OwnerChange>& changes) {
  std::vector<HashRange> ranges;
  for (const OwnerChange& change : changes) {
    if (change.range.first > change.range.last || change.owner.empty() ||
        change.group.empty()) {
      return false;
    }
    ranges.push_back(change.range);
  }
  std::sort(ranges.begin(), ranges.end());
  const auto overlap = std::adjacent_find(
      ranges.begin(), ranges.end(),
      [](const HashRange& a, const HashRange& b) { return a.Overlaps(b); });
  return overlap == ranges.end();
}

// Returns false when there are no members, or when one is empty or repeated.
bool IsWellFormed(const std::vector<InstanceId>& members) {
  const std::set<InstanceId> unique(members.begin(), members.end());
  return !members.empty() && unique.size() == members.size() &&
         !unique.contains(InstanceId());
}

// Returns `ranges` without `range`; entries that extend beyond it are split.
std::vector<OwnedRange> RemoveRange(const std::vector<OwnedRange>& ranges,
                                    const HashRange& range) {
  std::vector<OwnedRange> kept;
  kept.reserve(ranges.size() + 1);
  for (const OwnedRange& entry : ranges) {
    if (!entry.range.Overlaps(range)) {
      kept.push_back(entry);
      continue;
    }
    if (entry.range.first < range.first) {
      kept.push_back(entry);
      kept.back().range.last = range.first - 1;
    }
    if (entry.range.last > range.last) {
      kept.push_back(entry);
      kept.back().range.first = range.last + 1;
    }
  }
  return kept;
}

// Returns the groups, other than the change's own, whose targets owned a part
// of the range or may still hold a lease on one.
std::vector<GroupId> FormerGroups(const std::vector<OwnedRange>& ranges,
                                  const OwnerChange& change) {
  std::set<GroupId> groups;
  for (const OwnedRange& entry : ranges) {
    if (entry.range.Overlaps(change.range)) {
      groups.insert(entry.group);
      groups.insert(entry.former_groups.begin(), entry.former_groups.end());
    }
  }
  groups.erase(change.group);
  return {groups.begin(), groups.end()};
}

bool CanMerge(const OwnedRange& left, const OwnedRange& right) {
  return left.range.last != UINT64_MAX &&
         left.range.last + 1 == right.range.first &&
         left.owner == right.owner && left.group == right.group &&
         left.token == right.token && left.former_groups == right.former_groups;
}

// Sorts the ranges and merges adjacent ones that are otherwise equal.
std::vector<OwnedRange> MergeAdjacent(std::vector<OwnedRange> ranges) {
  std::sort(ranges.begin(), ranges.end(),
            [](const OwnedRange& a, const OwnedRange& b) {
              return a.range < b.range;
            });
  std::vector<OwnedRange> merged;
  merged.reserve(ranges.size());
  for (OwnedRange& entry : ranges) {
    if (!merged.empty() && CanMerge(merged.back(), entry)) {
      merged.back().range.last = entry.range.last;
    } else {
      merged.push_back(std::move(entry));
    }
  }
  return merged;
}

}  // namespace

Result<ClusterState> ClusterState::FromSnapshot(
    const SnapshotRecord& snapshot) {
  if (snapshot.history.size() > kHistoryLimit) {
    return Fail(ErrorCode::kCorrupt,
                "the snapshot holds more configurations than the limit");
  }
  ClusterState state;
  state.m_offset = snapshot.covers;
  state.m_history = snapshot.history;
  for (const ServiceAssignment& assignment : snapshot.assignments) {
    state.m_assignments[assignment.service] = assignment;
  }
  for (const GroupMembers& group : snapshot.groups) {
    state.m_groups[group.group] = group;
  }
  return state;
}

ApplyOutcome ClusterState::Apply(LogOffset offset, const Record& record) {
  if (const auto* snapshot = std::get_if<SnapshotRecord>(&record.body)) {
    // Only a reader without state needs a snapshot, in place of the records
    // that it missed.
    if (m_offset != 0) {
      m_offset = offset;
      return ApplyOutcome::kSkipped;
    }
    Result<ClusterState> restored = FromSnapshot(*snapshot);
    if (!restored.has_value() || snapshot->covers >= offset) {
      m_offset = offset;
      return ApplyOutcome::kInvalid;
    }
    // The records between `covers` and `offset` are applied afterwards.
    *this = std::move(restored).value();
    return ApplyOutcome::kAccepted;
  }
  m_offset = offset;
  if (const auto* body = std::get_if<ConfigurationRecord>(&record.body)) {
    return ApplyConfiguration(offset, record, *body);
  }
  if (const auto* body = std::get_if<AssignmentRecord>(&record.body)) {
    return ApplyAssignment(offset, record, *body);
  }
  return ApplyMembers(offset, record, std::get<MembersRecord>(record.body));
}

const ConfigurationEntry* ClusterState::configuration() const {
  return m_history.empty() ? nullptr : &m_history.back();
}

const ServiceAssignment* ClusterState::FindAssignment(
    std::string_view service) const {
  const auto found = m_assignments.find(service);
  return found == m_assignments.end() ? nullptr : &found->second;
}

const GroupMembers* ClusterState::FindGroup(std::string_view group) const {
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? nullptr : &found->second;
}

SnapshotRecord ClusterState::ToSnapshot() const {
  SnapshotRecord snapshot;
  snapshot.covers = m_offset;
  snapshot.history = m_history;
  for (const auto& [name, assignment] : m_assignments) {
    snapshot.assignments.push_back(assignment);
  }
  for (const auto& [name, group] : m_groups) {
    snapshot.groups.push_back(group);
  }
  return snapshot;
}

ApplyOutcome ClusterState::ApplyConfiguration(LogOffset offset,
                                              const Record& record,
                                              const ConfigurationRecord& body) {
  const LogOffset current = m_history.empty() ? 0 : m_history.back().offset;
  if (record.based_on != current) {
    return ApplyOutcome::kStale;
  }
  if (!ValidateConfiguration(body.configuration).empty()) {
    return ApplyOutcome::kInvalid;
  }
  m_history.push_back(
      {offset, record.author, body.reason, body.time_ms, body.configuration});
  if (m_history.size() > kHistoryLimit) {
    m_history.erase(m_history.begin());
  }
  return ApplyOutcome::kAccepted;
}

ApplyOutcome ClusterState::ApplyAssignment(LogOffset offset,
                                           const Record& record,
                                           const AssignmentRecord& body) {
  const ServiceAssignment* current = FindAssignment(body.service);
  if (record.based_on != (current == nullptr ? 0 : current->version)) {
    return ApplyOutcome::kStale;
  }
  if (body.service.empty() || body.changes.empty() ||
      !IsWellFormed(body.changes)) {
    return ApplyOutcome::kInvalid;
  }
  ServiceAssignment& assignment = m_assignments[body.service];
  assignment.service = body.service;
  assignment.version = offset;
  std::vector<OwnedRange> ranges = std::move(assignment.ranges);
  std::vector<OwnedRange> added;
  for (const OwnerChange& change : body.changes) {
    added.push_back({change.range, change.owner, change.group, offset,
                     FormerGroups(ranges, change)});
    ranges = RemoveRange(ranges, change.range);
  }
  std::move(added.begin(), added.end(), std::back_inserter(ranges));
  assignment.ranges = MergeAdjacent(std::move(ranges));
  return ApplyOutcome::kAccepted;
}

ApplyOutcome ClusterState::ApplyMembers(LogOffset offset,
                                        const Record& record,
                                        const MembersRecord& body) {
  const GroupMembers* current = FindGroup(body.group);
  if (record.based_on != (current == nullptr ? 0 : current->version)) {
    return ApplyOutcome::kStale;
  }
  if (body.group.empty() || !IsWellFormed(body.members)) {
    return ApplyOutcome::kInvalid;
  }
  GroupMembers& group = m_groups[body.group];
  group.group = body.group;
  group.version = offset;
  group.previous_members = std::exchange(group.members, body.members);
  return ApplyOutcome::kAccepted;
}

}  // namespace snipehall
