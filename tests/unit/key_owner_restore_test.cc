#include <cstdlib>
#include <functional>
#include <string>

#include "support/key_owner_simulation.h"

#include <criterion/criterion.h>

// The log comes back from an older copy, and leaders are replaced, while
// instances, targets and links fail.

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

// Suspends the leader, lets its successor's process start again, and resumes
// it: it then reports to a process that does not know what its former one
// granted. Targets disappear from the list meanwhile.
void ReplaceLeaderTwice(KeyOwnerSimulation& simulation) {
  simulation.PauseInstance(simulation.Leader(),
                           DrawTime(simulation, 2500, 6000));
  simulation.UnlistTarget(static_cast<std::size_t>(simulation.Draw(
                              0, KeyOwnerSimulation::kTargets - 1)),
                          DrawTime(simulation, 4000, 9000));
  simulation.RunFor(DrawTime(simulation, 1800, 3500));
  const std::size_t successor = simulation.Leader();
  if (simulation.Draw(0, 2) == 0) {
    simulation.StartReplacement(successor, DrawTime(simulation, 500, 9000));
  }
  simulation.KillInstance(successor, DrawTime(simulation, 50, 1000));
}

// `restores` tells whether the log may come back from an older copy.
void InjectFault(KeyOwnerSimulation& simulation, bool restores) {
  const auto instance = static_cast<std::size_t>(
      simulation.Draw(0, KeyOwnerSimulation::kInstances - 1));
  const auto target = static_cast<std::size_t>(
      simulation.Draw(0, KeyOwnerSimulation::kTargets - 1));
  const Milliseconds time = DrawTime(simulation, 100, 7000);
  switch (simulation.Draw(restores ? 0 : 3, 17)) {
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
    case 13:
      return simulation.UnlistTarget(target, time);
    case 14:
      return simulation.StartReplacement(instance, time);
    case 15:
    case 16:
      return ReplaceLeaderTwice(simulation);
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
void RunSeeds(const std::function<void(KeyOwnerSimulation&)>& faults,
              LogEra first_era = kFirstLogEra) {
  const int seeds = SeedCount();
  for (int seed = 1; seed <= seeds; ++seed) {
    KeyOwnerSimulation simulation(static_cast<std::uint64_t>(seed), first_era);
    simulation.RunFor(kStartTime);
    cr_assert_eq(simulation.UnownedKeys(), 0, "seed %d: not started", seed);
    faults(simulation);
    simulation.RunFor(kRecovery);
    RequireSafe(simulation, seed);
    cr_assert_eq(simulation.UnownedKeys(), 0,
                 "seed %d: keys without an owner after the recovery", seed);
  }
}

void InjectFaults(KeyOwnerSimulation& simulation, bool restores) {
  for (int fault = 0; fault < 12; ++fault) {
    InjectFault(simulation, restores);
    simulation.RunFor(DrawTime(simulation, 0, 3500));
  }
  simulation.RunFor(Milliseconds(7000));
}

Test(key_owner_restore, keys_have_one_owner_under_random_faults) {
  RunSeeds(
      [](KeyOwnerSimulation& simulation) { InjectFaults(simulation, true); });
}

// The same with a log that does not count its restores and has none.
Test(key_owner_restore, keys_have_one_owner_without_restores) {
  RunSeeds(
      [](KeyOwnerSimulation& simulation) { InjectFaults(simulation, false); },
      0);
}

// Guards against two owners of a key: a leader that resumes reports the end of
// its grants to a successor whose process has started again since.
Test(key_owner_restore, leaders_that_are_replaced_twice_keep_owners_unique) {
  for (const LogEra era : {LogEra{0}, kFirstLogEra}) {
    RunSeeds(
        [](KeyOwnerSimulation& simulation) {
          for (int i = 0; i < 3; ++i) {
            simulation.RunFor(DrawTime(simulation, 3000, 12000));
            ReplaceLeaderTwice(simulation);
          }
          simulation.RunFor(Milliseconds(7000));
        },
        era);
  }
}

// Guards against a target that is granted keys with the token of its former
// process, because it answers before its new entry is read (OWNER, review/9).
Test(key_owner_restore, restarted_targets_get_greater_tokens) {
  RunSeeds([](KeyOwnerSimulation& simulation) {
    simulation.CheckProcesses();
    for (int restart = 0; restart < 8; ++restart) {
      const auto target = static_cast<std::size_t>(
          simulation.Draw(0, KeyOwnerSimulation::kTargets - 1));
      simulation.RestartTarget(target, DrawTime(simulation, 2500, 7000));
      simulation.RunFor(DrawTime(simulation, 100, 8000));
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
