#include "coordination/assignment_planner.h"

#include <algorithm>
#include <iterator>

namespace snipehall {

namespace {

// Silence after which the members of another zone's group are taken for cut
// off. Heartbeats between zones are sent every second.
constexpr Milliseconds kFarSilence{2500};

bool PlansFor(const AssignmentView& view, std::string_view zone) {
  const GroupMembers* group = view.state.FindGroup(zone);
  return group != nullptr &&
         view.duties.IsActing(view.peers, *group, view.now, view.silence);
}

std::vector<PlanTarget> TargetsOf(const AssignmentView& view,
                                  const ServiceConfig& service,
                                  std::string_view zone) {
  const Configuration& configuration =
      view.state.configuration()->configuration;
  std::vector<PlanTarget> targets;
  for (const auto& [id, target] : view.targets) {
    if (target.service != service.name || target.zone != zone) {
      continue;
    }
    TargetCondition condition = TargetCondition::kUnknown;
    if (target.leaving || configuration.IsDrained(id) ||
        view.leases.IsSilent(view.now, id)) {
      condition = TargetCondition::kLost;
    } else if (view.leases.IsAnswering(view.now, id)) {
      condition = TargetCondition::kUsable;
    }
    targets.push_back({id, target.zone, condition});
  }
  return targets;
}

// Owners in other zones whose groups cannot be heard keep what they have:
// another zone stands in for this one, and moving its ranges back without a
// link would only be undone there.
void AddUnreachableOwners(const AssignmentView& view,
                          const KeyRangeConfig& key_range,
                          const ServiceAssignment& assignment,
                          std::vector<PlanTarget>& targets) {
  for (const OwnedRange& owned : assignment.ranges) {
    if (owned.group == key_range.zone ||
        !owned.range.Overlaps(key_range.range)) {
      continue;
    }
    const GroupMembers* group = view.state.FindGroup(owned.group);
    if (group != nullptr &&
        view.duties.AreAllSilent(view.peers, *group, view.now, kFarSilence)) {
      targets.push_back({owned.owner, owned.group, TargetCondition::kUnknown});
    }
  }
}

bool HasTargets(const AssignmentView& view,
                const ServiceConfig& service,
                std::string_view zone) {
  return std::any_of(
      view.targets.begin(), view.targets.end(), [&](const auto& entry) {
        return entry.second.service == service.name &&
               entry.second.zone == zone && !entry.second.leaving;
      });
}

// The record is proposed before `move_after` has passed, since the settlement
// waits for that time again from when the record is read.
bool IsZoneLost(const AssignmentView& view,
                const ServiceConfig& service,
                std::string_view zone) {
  const GroupMembers* group = view.state.FindGroup(zone);
  return group != nullptr &&
         view.duties.AreAllSilent(
             view.peers, *group, view.now,
             std::max(*service.move_after / 2, kFarSilence));
}

// The zone that stands in for `lost`: the first one in the configuration that
// has targets of the service and is not lost itself.
const ZoneName* FindSubstitute(const AssignmentView& view,
                               const ServiceConfig& service,
                               std::string_view lost) {
  for (const ZoneConfig& zone :
       view.state.configuration()->configuration.zones) {
    if (zone.name != lost && HasTargets(view, service, zone.name) &&
        view.state.FindGroup(zone.name) != nullptr &&
        !IsZoneLost(view, service, zone.name)) {
      return &zone.name;
    }
  }
  return nullptr;
}

}  // namespace

std::vector<OwnerChange> PlanAssignment(const AssignmentView& view,
                                        const ServiceConfig& service) {
  const ServiceAssignment* assignment = view.state.FindAssignment(service.name);
  std::vector<OwnerChange> changes;
  for (const KeyRangeConfig& key_range : service.key_ranges) {
    std::vector<PlanTarget> targets;
    if (PlansFor(view, key_range.zone)) {
      targets = TargetsOf(view, service, key_range.zone);
      if (assignment != nullptr) {
        AddUnreachableOwners(view, key_range, *assignment, targets);
      }
    } else if (service.move_after &&
               IsZoneLost(view, service, key_range.zone)) {
      const ZoneName* substitute =
          FindSubstitute(view, service, key_range.zone);
      if (substitute == nullptr || !PlansFor(view, *substitute)) {
        continue;
      }
      targets = TargetsOf(view, service, *substitute);
    }
    std::vector<OwnerChange> planned =
        PlanKeyRange(key_range.range, assignment, targets);
    std::move(planned.begin(), planned.end(), std::back_inserter(changes));
  }
  return changes;
}

}  // namespace snipehall
