#include "coordination/assignment_planner.h"

#include <algorithm>
#include <iterator>

namespace snipehall {

namespace {

// Silence after which another zone's group counts as unreachable. Heartbeats
// between zones are sent every second.
constexpr Milliseconds kRemoteGroupSilenceTimeout{2500};

bool IsPlannerFor(const AssignmentInput& input, std::string_view zone) {
  const GroupMembers* group = input.state.FindGroup(zone);
  return group != nullptr &&
         input.selector.IsCoordinator(input.peers, *group, input.now,
                                      input.silence_timeout);
}

std::vector<PlanTarget> TargetsOf(const AssignmentInput& input,
                                  const ServiceConfig& service,
                                  std::string_view zone) {
  const Configuration& configuration =
      input.state.configuration()->configuration;
  std::vector<PlanTarget> targets;
  for (const auto& [id, target] : input.targets) {
    if (target.service != service.name || target.zone != zone) {
      continue;
    }
    TargetCondition condition = TargetCondition::kUnknown;
    if (target.leaving || configuration.IsDrained(id) ||
        input.leases.IsUnresponsive(input.now, id)) {
      condition = TargetCondition::kLost;
    } else if (input.leases.IsAnswering(input.now, id)) {
      condition = TargetCondition::kUsable;
    }
    targets.push_back({id, target.zone, condition});
  }
  return targets;
}

// Keeps the ranges of owners in other zones whose groups are unreachable. Such
// a zone is the failover zone of this one; it would undo any attempt to move
// the ranges back while the zones are partitioned.
void AddUnreachableOwners(const AssignmentInput& input,
                          const KeyRangeConfig& key_range,
                          const ServiceAssignment& assignment,
                          std::vector<PlanTarget>& targets) {
  for (const OwnedRange& owned : assignment.ranges) {
    if (owned.group == key_range.zone ||
        !owned.range.Overlaps(key_range.range)) {
      continue;
    }
    const GroupMembers* group = input.state.FindGroup(owned.group);
    if (group != nullptr &&
        input.selector.AreAllUnresponsive(input.peers, *group, input.now,
                                          kRemoteGroupSilenceTimeout)) {
      targets.push_back({owned.owner, owned.group, TargetCondition::kUnknown});
    }
  }
}

bool HasTargets(const AssignmentInput& input,
                const ServiceConfig& service,
                std::string_view zone) {
  return std::any_of(
      input.targets.begin(), input.targets.end(), [&](const auto& entry) {
        return entry.second.service == service.name &&
               entry.second.zone == zone && !entry.second.leaving;
      });
}

// Returns true before `move_after` has passed, because the move itself waits
// for `move_after` from the time at which its record is read.
bool IsZoneLost(const AssignmentInput& input,
                const ServiceConfig& service,
                std::string_view zone) {
  const GroupMembers* group = input.state.FindGroup(zone);
  return group != nullptr &&
         input.selector.AreAllUnresponsive(
             input.peers, *group, input.now,
             std::max(*service.move_after / 2, kRemoteGroupSilenceTimeout));
}

// Returns the failover zone of `lost`: the first zone of the configuration that
// has targets of the service and is not lost itself. Null if there is none.
const ZoneName* FindFailoverZone(const AssignmentInput& input,
                                 const ServiceConfig& service,
                                 std::string_view lost) {
  for (const ZoneConfig& zone :
       input.state.configuration()->configuration.zones) {
    if (zone.name != lost && HasTargets(input, service, zone.name) &&
        input.state.FindGroup(zone.name) != nullptr &&
        !IsZoneLost(input, service, zone.name)) {
      return &zone.name;
    }
  }
  return nullptr;
}

}  // namespace

std::vector<OwnerChange> PlanAssignment(const AssignmentInput& input,
                                        const ServiceConfig& service) {
  const ServiceAssignment* assignment =
      input.state.FindAssignment(service.name);
  std::vector<OwnerChange> changes;
  for (const KeyRangeConfig& key_range : service.key_ranges) {
    std::vector<PlanTarget> targets;
    if (IsPlannerFor(input, key_range.zone)) {
      targets = TargetsOf(input, service, key_range.zone);
      if (assignment != nullptr) {
        AddUnreachableOwners(input, key_range, *assignment, targets);
      }
    } else if (service.move_after &&
               IsZoneLost(input, service, key_range.zone)) {
      const ZoneName* failover_zone =
          FindFailoverZone(input, service, key_range.zone);
      if (failover_zone == nullptr || !IsPlannerFor(input, *failover_zone)) {
        continue;
      }
      targets = TargetsOf(input, service, *failover_zone);
    }
    std::vector<OwnerChange> planned =
        PlanKeyRange(key_range.range, assignment, targets);
    std::move(planned.begin(), planned.end(), std::back_inserter(changes));
  }
  return changes;
}

}  // namespace snipehall
