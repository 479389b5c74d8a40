// Tests the range ownership protocol in specific failure scenarios, in virtual
// time.

#include <cstdio>

#include "unit/ownership_simulation.h"

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

// Number of seeds with which a scenario is repeated.
constexpr int kSeedCount = 20;

// Runs the simulation until all keys are served, then for 2 s in which the
// assignments become stable.
void RunUntilStable(ClusterSimulation& simulation) {
  const auto served = simulation.RunUntilTrue(
      10 * kSecond, [&] { return simulation.IsServed(); });
  cr_assert(served.has_value(), "the keys are not served after the start");
  simulation.RunUntil(simulation.now() + 2 * kSecond);
  cr_assert(simulation.IsServed());
}

void AssertNoViolations(const ClusterSimulation& simulation) {
  cr_assert(simulation.violations().empty(), "%s",
            simulation.violations().empty()
                ? ""
                : simulation.violations()[0].c_str());
}

// Records the times that a kind of recovery takes and prints the shortest and
// the longest.
class RecoveryTimes {
 public:
  explicit RecoveryTimes(const char* name) : m_name(name) {}
  ~RecoveryTimes() {
    std::fprintf(stderr, "%s: %lld to %lld ms of virtual time\n", m_name,
                 static_cast<long long>(m_shortest / kMs),
                 static_cast<long long>(m_longest / kMs));
  }
  RecoveryTimes(const RecoveryTimes&) = delete;
  RecoveryTimes& operator=(const RecoveryTimes&) = delete;
  // Adds a time; fails the test if it is empty, which means no recovery.
  void Add(std::optional<Time> time) {
    cr_assert(time.has_value(), "%s: no recovery within the limit", m_name);
    m_shortest = std::min(m_shortest, *time);
    m_longest = std::max(m_longest, *time);
  }

 private:
  const char* m_name;
  Time m_shortest = INT64_MAX;
  Time m_longest = 0;
};

// Runs until all keys are served. Returns the time that it took, or nothing if
// it exceeds `limit`.
std::optional<Time> RunUntilServed(ClusterSimulation& simulation, Time limit) {
  return simulation.RunUntilTrue(limit, [&] { return simulation.IsServed(); });
}

}  // namespace

// Guards against keys without a lease for more than 2 s after their owner was
// killed.
Test(ownership_failures, owner_killed) {
  RecoveryTimes recovery("owner killed");
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    ClusterSimulation simulation({static_cast<std::uint64_t>(seed)});
    RunUntilStable(simulation);
    simulation.Kill(simulation.NodeOfTarget(1));
    recovery.Add(RunUntilServed(simulation, 2 * kSecond));
    AssertNoViolations(simulation);
  }
}

// Guards against leases that expire because the coordinator was killed and no
// other member extends them in time.
Test(ownership_failures, coordinator_killed) {
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    ClusterSimulation simulation({static_cast<std::uint64_t>(seed)});
    RunUntilStable(simulation);
    simulation.Kill(0);
    const auto expired = simulation.RunUntilTrue(
        5 * kSecond, [&] { return !simulation.IsServed(); });
    cr_assert(!expired.has_value(), "seed %d: a lease expired after %lld ms",
              seed, static_cast<long long>(expired.value_or(0) / kMs));
    AssertNoViolations(simulation);
  }
}

// Guards against a recovery that takes longer than after the loss of an owner
// alone, 2 s, when the coordinator is killed at the same time.
Test(ownership_failures, owner_and_coordinator_killed) {
  RecoveryTimes recovery("owner and coordinator killed");
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    ClusterSimulation simulation({static_cast<std::uint64_t>(seed)});
    RunUntilStable(simulation);
    simulation.Kill(0);
    simulation.Kill(simulation.NodeOfTarget(1));
    recovery.Add(RunUntilServed(simulation, 2 * kSecond));
    AssertNoViolations(simulation);
  }
}

// Guards against leases that expire during a log outage, also when the
// coordinator is killed during the outage.
Test(ownership_failures, log_outage_of_a_minute) {
  ClusterSimulation simulation({1});
  RunUntilStable(simulation);
  simulation.log_down_until = simulation.now() + 60 * kSecond;
  const Time killed = simulation.now() + 30 * kSecond;
  simulation.ScheduleAt(killed, [&] { simulation.Kill(0); });
  const auto expired = simulation.RunUntilTrue(
      62 * kSecond, [&] { return !simulation.IsServed(); });
  cr_assert(!expired.has_value(), "a lease expired after %lld ms",
            static_cast<long long>(expired.value_or(0) / kMs));
  AssertNoViolations(simulation);
}

// Guards against a member that restarts during a log outage and does not become
// ready until the log returns.
Test(ownership_failures, member_restarted_in_log_outage) {
  ClusterSimulation simulation({3});
  RunUntilStable(simulation);
  simulation.log_down_until = simulation.now() + 60 * kSecond;
  simulation.RunUntil(simulation.now() + 5 * kSecond);
  simulation.Kill(0);
  simulation.RestartAt(0, simulation.now() + 100 * kMs);
  const auto confirmed = simulation.RunUntilTrue(5 * kSecond, [&] {
    return simulation.node(0).alive &&
           simulation.instance(0).controller->routing_table()->ready;
  });
  cr_assert(confirmed.has_value());
  cr_assert(simulation.IsServed());
  AssertNoViolations(simulation);
}

// Guards against an owner that is paused for longer than its lease and still
// serves its former ranges when it resumes.
Test(ownership_failures, paused_owner_loses_its_ranges) {
  RecoveryTimes recovery("owner paused");
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    ClusterSimulation simulation({static_cast<std::uint64_t>(seed)});
    RunUntilStable(simulation);
    simulation.Pause(simulation.NodeOfTarget(1),
                     simulation.now() + 5 * kSecond);
    recovery.Add(RunUntilServed(simulation, 2 * kSecond));
    simulation.RunUntil(simulation.now() + 8 * kSecond);
    cr_assert(simulation.IsServed());
    AssertNoViolations(simulation);
  }
}

// Guards against ranges of an isolated zone that are moved without an
// operator's decision, and against an isolated zone that stops serving its own
// keys.
Test(ownership_failures, isolated_zone_with_wait) {
  ClusterSimulation simulation({5});
  RunUntilStable(simulation);
  simulation.DisconnectZone("z2", true, simulation.now() + 40 * kSecond);
  const auto expired = simulation.RunUntilTrue(
      39 * kSecond, [&] { return !simulation.IsServed(); });
  cr_assert(!expired.has_value(), "a lease expired after %lld ms",
            static_cast<long long>(expired.value_or(0) / kMs));
  simulation.RunUntil(simulation.now() + 10 * kSecond);
  cr_assert(simulation.IsServed());
  cr_assert_eq(simulation.instance(0).controller->state().offset() + 1,
               simulation.log_end());
  AssertNoViolations(simulation);
}

// Guards against two zones that serve the same key, and against ranges of an
// isolated zone that are not moved after `move_after`.
Test(ownership_failures, isolated_zone_with_move_after) {
  constexpr Milliseconds kMoveAfter{5000};
  RecoveryTimes recovery("zone isolated, move_after 5 s");
  RecoveryTimes reconnection("zone reconnected, move_after 5 s");
  for (int seed = 1; seed <= 5; ++seed) {
    ClusterSimulation simulation(
        {static_cast<std::uint64_t>(seed), 3, 3, kMoveAfter});
    RunUntilStable(simulation);
    const Time isolated_at = simulation.now();
    simulation.DisconnectZone("z2", true, isolated_at + 40 * kSecond);
    const auto expired = simulation.RunUntilTrue(
        10 * kSecond, [&] { return !simulation.IsServed(1); });
    cr_assert(expired.has_value());
    const auto served = simulation.RunUntilTrue(
        20 * kSecond, [&] { return simulation.IsServed(); });
    cr_assert(served.has_value());
    recovery.Add(simulation.now() - isolated_at);
    cr_assert(simulation.IsServed(0));
    simulation.RunUntil(isolated_at + 40 * kSecond);
    cr_assert(simulation.IsServed());
    // The ranges move back to the zone when it is connected again.
    reconnection.Add(simulation.RunUntilTrue(20 * kSecond, [&] {
      const auto holder = simulation.FindLeaseHolder(UINT64_MAX);
      return simulation.IsServed() && holder &&
             simulation.node(simulation.NodeOfTarget(*holder)).zone == "z2";
    }));
    AssertNoViolations(simulation);
  }
}

// Guards against a drain that does not complete, or that leaves moved keys
// without a lease.
Test(ownership_failures, drained_target_loses_its_ranges) {
  RecoveryTimes recovery("target drained");
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    ClusterSimulation simulation({static_cast<std::uint64_t>(seed)});
    RunUntilStable(simulation);
    simulation.PublishConfiguration({{PlanKind::kDrain, "z1-t1"}});
    recovery.Add(simulation.RunUntilTrue(3 * kSecond, [&] {
      return simulation.target(1).ranges.empty() && simulation.IsServed();
    }));
    AssertNoViolations(simulation);
  }
}

// Guards against a group that is not filled up after the loss of a member and
// so cannot tolerate the next loss.
Test(ownership_failures, lost_member_is_replaced) {
  ClusterSimulation simulation({7});
  RunUntilStable(simulation);
  simulation.Kill(1);
  const auto replaced = simulation.RunUntilTrue(20 * kSecond, [&] {
    const auto& members = simulation.expected_state().FindGroup("z1")->members;
    return std::find(members.begin(), members.end(), "z1-i1") == members.end();
  });
  cr_assert(replaced.has_value());
  cr_assert_eq(simulation.expected_state().FindGroup("z1")->members.size(), 3U);
  simulation.Kill(0);
  simulation.RunUntil(simulation.now() + 5 * kSecond);
  cr_assert(simulation.IsServed());
  AssertNoViolations(simulation);
}

// Guards against instances that cannot start or catch up when the log has
// dropped its oldest records, so that only a snapshot leads to the current
// state.
Test(ownership_failures, snapshot_replaces_dropped_records) {
  ClusterSimulation simulation({8});
  RunUntilStable(simulation);
  simulation.DisconnectZone("z2", true, simulation.now() + 3 * kSecond);
  for (int i = 0; i < 40; ++i) {
    simulation.PublishConfiguration({});
  }
  simulation.RunUntil(simulation.now() + kSecond);
  simulation.first_log_offset = simulation.log_end() - 20;
  simulation.RunUntil(simulation.now() + 5 * kSecond);
  cr_assert(simulation.IsServed());
  simulation.Kill(0);
  simulation.Kill(3);
  simulation.RestartAt(0, simulation.now() + 100 * kMs);
  simulation.RestartAt(3, simulation.now() + 100 * kMs);
  simulation.RunUntil(simulation.now() + 3 * kSecond);
  for (std::size_t i = 0; i < simulation.instances(); ++i) {
    cr_assert(simulation.instance(i).controller->state() ==
              simulation.expected_state());
  }
  cr_assert(simulation.IsServed());
  AssertNoViolations(simulation);
}
