#include <vector>

#include "coordination/routing_table_builder.h"

#include <criterion/criterion.h>

namespace {

using snipehall::AreAssignmentsKnown;
using snipehall::ClusterState;
using snipehall::PlatformInstance;
using snipehall::PlatformRole;

constexpr snipehall::HashRange kLower{0, UINT64_MAX / 2};
constexpr snipehall::HashRange kUpper{UINT64_MAX / 2 + 1, UINT64_MAX};

snipehall::ConfigurationEntry KeyedService() {
  snipehall::ServiceConfig service;
  service.name = "gearshelf";
  service.keyed = true;
  service.key_ranges = {{kLower, "ridge-north"}, {kUpper, "ridge-south"}};
  snipehall::ConfigurationEntry entry;
  entry.offset = 1;
  entry.configuration.services = {service};
  return entry;
}

// A state with the service, in which `owned` is assigned.
ClusterState StateWith(const std::vector<snipehall::HashRange>& owned) {
  snipehall::SnapshotRecord snapshot;
  snapshot.covers = 2;
  snapshot.history = {KeyedService()};
  snipehall::ServiceAssignment assignment{"gearshelf", 2, {}};
  for (const snipehall::HashRange& range : owned) {
    assignment.ranges.push_back({range, "t1", "ridge-north", 2, {}});
  }
  snapshot.assignments = {assignment};
  return ClusterState::FromSnapshot(snapshot).value();
}

PlatformInstance TargetIn(const char* zone, bool leaving = false) {
  return {"t1", PlatformRole::kTarget, "gearshelf",
          zone, "127.0.0.1:1",         leaving};
}

}  // namespace

// Guards against callers that are sent to an instance which cannot route them:
// before the configuration, the list or the assignments are known.
Test(routing_table_builder, assignments_of_zones_with_targets_are_needed) {
  const std::vector<PlatformInstance> both = {TargetIn("ridge-north"),
                                              TargetIn("ridge-south")};
  cr_assert_not(AreAssignmentsKnown(ClusterState(), both));
  cr_assert_not(AreAssignmentsKnown(StateWith({kLower, kUpper}), {}));
  cr_assert_not(AreAssignmentsKnown(StateWith({}), both));
  cr_assert_not(AreAssignmentsKnown(StateWith({kLower}), both));
  cr_assert(AreAssignmentsKnown(StateWith({kLower, kUpper}), both));
}

// Guards against an instance that never gets ready because of a zone that has
// no live target.
Test(routing_table_builder, zones_without_live_targets_are_not_waited_for) {
  const std::vector<PlatformInstance> instances = {
      TargetIn("ridge-north"), TargetIn("ridge-south", true)};
  cr_assert(AreAssignmentsKnown(StateWith({kLower}), instances));
}
