#include <cstdlib>
#include <functional>
#include <string>

#include "support/key_owner_simulation.h"

#include <criterion/criterion.h>

// The log comes back from an older copy while instances, targets and links
// fail.

namespace snipehall::test {
namespace {

// Number of seeds; the environment variable SNIPEHALL_SEEDS has another one.
constexpr int kSeeds = 200;
// The users' limit for service after a disruption.
constexpr Milliseconds kRecovery{15000};
// Time until all keys have owners after the start.
constexpr Milliseconds kStartTime{8000};

int SeedCount() {
  const char* text = std::getenv("SNIPEHALL_SEEDS");
  return text == nullptr ? kSeeds : std::atoi(text);
}

Milliseconds DrawTime(KeyOwnerSimulation& simulation, int low, int high) {
  return Milliseconds(simulation.Draw(low, high));
}

void InjectFault(KeyOwnerSimulation& simulation) {
  const auto instance = static_cast<std::size_t>(
      simulation.Draw(0, KeyOwnerSimulation::kInstances - 1));
  const auto target = static_cast<std::size_t>(
      simulation.Draw(0, KeyOwnerSimulation::kTargets - 1));
  const Milliseconds time = DrawTime(simulation, 100, 7000);
  switch (simulation.Draw(0, 13)) {
    case 0:
    case 1:
    case 2:
      return simulation.RestoreLog(DrawTime(simulation, 100, 12000),
                                   DrawTime(simulation, 0, 3000));
    case 3:
      return simulation.StopLog(time);
    case 4:
      return simulation.DisturbAppends(time);
    case 5:
      return simulation.KillInstance(instance, DrawTime(simulation, 50, 4000));
    case 6:
      return simulation.KillInstance(simulation.Leader(),
                                     DrawTime(simulation, 50, 4000));
    case 7:
      return simulation.PauseInstance(instance, time);
    case 8:
      return simulation.PauseInstance(simulation.Leader(), time);
    case 9:
      return simulation.CutInstanceFromLog(instance, time);
    case 10:
      return simulation.RestartTarget(target, time);
    case 11:
      return simulation.FreezeTarget(target, time);
    case 12:
      return simulation.CutTarget(target, time);
    default:
      for (std::size_t i = 0; i < KeyOwnerSimulation::kInstances; ++i) {
        simulation.KillInstance(i, DrawTime(simulation, 50, 1000));
      }
  }
}

void RequireSafe(const KeyOwnerSimulation& simulation, int seed) {
  cr_assert(simulation.violations().empty(), "seed %d: %s", seed,
            simulation.violations().empty()
                ? ""
                : simulation.violations().front().c_str());
}

// Runs `faults` on a simulation in which all keys have owners, for each seed.
// Requires that no invariant is violated and that all keys have owners again
// within the users' limit.
void RunSeeds(const std::function<void(KeyOwnerSimulation&)>& faults) {
  const int seeds = SeedCount();
  for (int seed = 1; seed <= seeds; ++seed) {
    KeyOwnerSimulation simulation(static_cast<std::uint64_t>(seed));
    simulation.RunFor(kStartTime);
    cr_assert_eq(simulation.UnownedKeys(), 0, "seed %d: not started", seed);
    faults(simulation);
    simulation.RunFor(kRecovery);
    RequireSafe(simulation, seed);
    cr_assert_eq(simulation.UnownedKeys(), 0,
                 "seed %d: keys without an owner after the recovery", seed);
  }
}

Test(key_owner_restore, keys_have_one_owner_under_random_faults) {
  RunSeeds([](KeyOwnerSimulation& simulation) {
    for (int fault = 0; fault < 12; ++fault) {
      InjectFault(simulation);
      simulation.RunFor(DrawTime(simulation, 0, 3500));
    }
    simulation.RunFor(Milliseconds(7000));
  });
}

// Guards against leases that are not renewed after a restore: their targets are
// live, and all instances know who owns what.
Test(key_owner_restore, live_owners_keep_their_keys) {
  RunSeeds([](KeyOwnerSimulation& simulation) {
    simulation.RunFor(Milliseconds(12000));
    simulation.RestoreLog(DrawTime(simulation, 100, 15000),
                          DrawTime(simulation, 0, 3000));
    simulation.RunFor(Milliseconds(8000));
    cr_assert(simulation.IsTableRestored());
    cr_assert_eq(simulation.lapsed_leases(), 0);
    cr_assert_eq(simulation.UnownedKeys(), 0);
  });
}

// Guards against leases that end although other instances know the owners.
Test(key_owner_restore, live_owners_keep_their_keys_without_the_leader) {
  RunSeeds([](KeyOwnerSimulation& simulation) {
    simulation.RunFor(Milliseconds(12000));
    simulation.RestoreLog(DrawTime(simulation, 100, 15000),
                          DrawTime(simulation, 100, 1500));
    const std::size_t leader = simulation.Leader();
    simulation.RunFor(DrawTime(simulation, 0, 3000));
    simulation.KillInstance(leader, Milliseconds(3000));
    simulation.RunFor(Milliseconds(8000));
    cr_assert_eq(simulation.UnownedKeys(), 0);
  });
}

}  // namespace
}  // namespace snipehall::test
