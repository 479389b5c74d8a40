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

snipehall::ConfigurationEntry MakeConfigurationEntry() {
  snipehall::ServiceConfig service;
  service.name = "gearshelf";
  service.keyed = true;
  service.key_ranges = {{kLower, "ridge-north"}, {kUpper, "ridge-south"}};
  snipehall::ConfigurationEntry entry;
  entry.offset = 1;
  entry.configuration.services = {service};
  return entry;
}

// Returns a state with the service, in which the ranges `owned` are assigned.
ClusterState MakeState(const std::vector<snipehall::HashRange>& owned) {
  snipehall::SnapshotRecord snapshot;
  snapshot.covers = 2;
  snapshot.history = {MakeConfigurationEntry()};
  snipehall::ServiceAssignment assignment{"gearshelf", 2, {}};
  for (const snipehall::HashRange& range : owned) {
    assignment.ranges.push_back({range, "t1", "ridge-north", 2, {}});
  }
  snapshot.assignments = {assignment};
  return ClusterState::FromSnapshot(snapshot).value();
}

PlatformInstance MakeTarget(const char* zone, bool leaving = false) {
  return {"t1", PlatformRole::kTarget, "gearshelf",
          zone, "127.0.0.1:1",         leaving};
}

}  // namespace

// Guards against an instance that reports itself ready before it can route
// requests, because the configuration, the platform's list or the assignments
// are not known yet.
Test(routing_table_builder, assignments_of_zones_with_targets_are_needed) {
  const std::vector<PlatformInstance> both = {MakeTarget("ridge-north"),
                                              MakeTarget("ridge-south")};
  cr_assert_not(AreAssignmentsKnown(ClusterState(), both));
  cr_assert_not(AreAssignmentsKnown(MakeState({kLower, kUpper}), {}));
  cr_assert_not(AreAssignmentsKnown(MakeState({}), both));
  cr_assert_not(AreAssignmentsKnown(MakeState({kLower}), both));
  cr_assert(AreAssignmentsKnown(MakeState({kLower, kUpper}), both));
}

// Guards against an instance that never becomes ready because the key range of
// a zone without live targets is not assigned.
Test(routing_table_builder, zones_without_live_targets_are_not_waited_for) {
  const std::vector<PlatformInstance> instances = {
      MakeTarget("ridge-north"), MakeTarget("ridge-south", true)};
  cr_assert(AreAssignmentsKnown(MakeState({kLower}), instances));
}
