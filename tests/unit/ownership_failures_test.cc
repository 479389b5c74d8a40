// Directed failures of the ownership protocol, in virtual time.

#include <cstdio>

#include "unit/ownership_world.h"

#include <criterion/criterion.h>

using namespace snipehall;        // NOLINT(google-build-using-namespace)
using namespace snipehall::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kSeeds = 20;

// Starts a world and waits until all keys are served and nothing changes.
void Settle(World& world) {
  const auto served =
      world.RunUntilTrue(10 * kSecond, [&] { return world.IsServed(); });
  cr_assert(served.has_value(), "the keys are not served after the start");
  world.RunUntil(world.now() + 2 * kSecond);
  cr_assert(world.IsServed());
}

void AssertSafe(const World& world) {
  cr_assert(world.violations().empty(), "%s",
            world.violations().empty() ? "" : world.violations()[0].c_str());
}

// Prints the range of times that a kind of recovery took.
class Recovery {
 public:
  explicit Recovery(const char* name) : m_name(name) {}
  ~Recovery() {
    std::fprintf(stderr, "%s: %lld to %lld ms of virtual time\n", m_name,
                 static_cast<long long>(m_least / kMs),
                 static_cast<long long>(m_most / kMs));
  }
  Recovery(const Recovery&) = delete;
  Recovery& operator=(const Recovery&) = delete;
  void Add(std::optional<Time> time) {
    cr_assert(time.has_value(), "%s: no recovery within the limit", m_name);
    m_least = std::min(m_least, *time);
    m_most = std::max(m_most, *time);
  }

 private:
  const char* m_name;
  Time m_least = INT64_MAX;
  Time m_most = 0;
};

std::optional<Time> WaitServed(World& world, Time limit) {
  return world.RunUntilTrue(limit, [&] { return world.IsServed(); });
}

}  // namespace

// Guards against a lost owner whose keys stay without a lease for over 2 s.
Test(ownership_failures, owner_killed) {
  Recovery recovery("owner killed");
  for (int seed = 1; seed <= kSeeds; ++seed) {
    World world({static_cast<std::uint64_t>(seed)});
    Settle(world);
    world.Kill(world.NodeOfTarget(1));
    recovery.Add(WaitServed(world, 2 * kSecond));
    AssertSafe(world);
  }
}

// Guards against a coordinator's loss that lets leases lapse.
Test(ownership_failures, coordinator_killed) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    World world({static_cast<std::uint64_t>(seed)});
    Settle(world);
    world.Kill(0);
    const auto lapsed =
        world.RunUntilTrue(5 * kSecond, [&] { return !world.IsServed(); });
    cr_assert(!lapsed.has_value(), "seed %d: a lease lapsed after %lld ms",
              seed, static_cast<long long>(lapsed.value_or(0) / kMs));
    AssertSafe(world);
  }
}

// Guards against a double loss that takes longer than a single one.
Test(ownership_failures, owner_and_coordinator_killed) {
  Recovery recovery("owner and lead killed");
  for (int seed = 1; seed <= kSeeds; ++seed) {
    World world({static_cast<std::uint64_t>(seed)});
    Settle(world);
    world.Kill(0);
    world.Kill(world.NodeOfTarget(1));
    recovery.Add(WaitServed(world, 2 * kSecond));
    AssertSafe(world);
  }
}

// Guards against a log outage that ends leases, also when the coordinator is
// lost meanwhile.
Test(ownership_failures, log_outage_of_a_minute) {
  World world({1});
  Settle(world);
  world.log_down_until = world.now() + 60 * kSecond;
  const Time killed = world.now() + 30 * kSecond;
  world.At(killed, [&] { world.Kill(0); });
  const auto lapsed =
      world.RunUntilTrue(62 * kSecond, [&] { return !world.IsServed(); });
  cr_assert(!lapsed.has_value(), "a lease lapsed after %lld ms",
            static_cast<long long>(lapsed.value_or(0) / kMs));
  AssertSafe(world);
}

// Guards against a restarted member that never serves again in a log outage.
Test(ownership_failures, member_restarted_in_log_outage) {
  World world({3});
  Settle(world);
  world.log_down_until = world.now() + 60 * kSecond;
  world.RunUntil(world.now() + 5 * kSecond);
  world.Kill(0);
  world.RestartAt(0, world.now() + 100 * kMs);
  const auto confirmed = world.RunUntilTrue(5 * kSecond, [&] {
    return world.node(0).alive &&
           world.instance(0).controller->routing_table()->ready;
  });
  cr_assert(confirmed.has_value());
  cr_assert(world.IsServed());
  AssertSafe(world);
}

// Guards against a stalled owner that still serves after it returns.
Test(ownership_failures, owner_frozen_and_back) {
  Recovery recovery("owner frozen");
  for (int seed = 1; seed <= kSeeds; ++seed) {
    World world({static_cast<std::uint64_t>(seed)});
    Settle(world);
    world.Pause(world.NodeOfTarget(1), world.now() + 5 * kSecond);
    recovery.Add(WaitServed(world, 2 * kSecond));
    world.RunUntil(world.now() + 8 * kSecond);
    cr_assert(world.IsServed());
    AssertSafe(world);
  }
}

// Guards against keys of a cut zone that are taken over without the operator,
// and against a zone that stops serving its own keys.
Test(ownership_failures, zone_cut_with_wait) {
  World world({5});
  Settle(world);
  world.CutZone("z2", true, world.now() + 40 * kSecond);
  const auto lapsed =
      world.RunUntilTrue(39 * kSecond, [&] { return !world.IsServed(); });
  cr_assert(!lapsed.has_value(), "a lease lapsed after %lld ms",
            static_cast<long long>(lapsed.value_or(0) / kMs));
  world.RunUntil(world.now() + 10 * kSecond);
  cr_assert(world.IsServed());
  cr_assert_eq(world.instance(0).controller->state().offset() + 1,
               world.log_end());
  AssertSafe(world);
}

// Guards against two zones that serve one key, and against a lost zone's keys
// that stay without an owner in spite of `move_after`.
Test(ownership_failures, zone_cut_with_move_after) {
  constexpr Milliseconds kMoveAfter{5000};
  Recovery recovery("zone cut, move_after 5 s");
  Recovery healing("zone back, move_after 5 s");
  for (int seed = 1; seed <= 5; ++seed) {
    World world({static_cast<std::uint64_t>(seed), 3, 3, kMoveAfter});
    Settle(world);
    const Time cut = world.now();
    world.CutZone("z2", true, cut + 40 * kSecond);
    const auto lapsed =
        world.RunUntilTrue(10 * kSecond, [&] { return !world.IsServed(1); });
    cr_assert(lapsed.has_value());
    const auto served =
        world.RunUntilTrue(20 * kSecond, [&] { return world.IsServed(); });
    cr_assert(served.has_value());
    recovery.Add(world.now() - cut);
    cr_assert(world.IsServed(0));
    world.RunUntil(cut + 40 * kSecond);
    cr_assert(world.IsServed());
    // The zone takes its keys back when it is connected again.
    healing.Add(world.RunUntilTrue(20 * kSecond, [&] {
      const auto holder = world.Holder(UINT64_MAX);
      return world.IsServed() && holder &&
             world.node(world.NodeOfTarget(*holder)).zone == "z2";
    }));
    AssertSafe(world);
  }
}

// Guards against a drain that cuts service of the moved keys.
Test(ownership_failures, drained_target_gives_its_keys_away) {
  Recovery recovery("drained target is empty");
  for (int seed = 1; seed <= kSeeds; ++seed) {
    World world({static_cast<std::uint64_t>(seed)});
    Settle(world);
    world.Publish({{PlanKind::kDrain, "z1-t1"}});
    recovery.Add(world.RunUntilTrue(3 * kSecond, [&] {
      return world.target(1).ranges.empty() && world.IsServed();
    }));
    AssertSafe(world);
  }
}

// Guards against a group that is never completed after losses of members.
Test(ownership_failures, lost_member_is_replaced) {
  World world({7});
  Settle(world);
  world.Kill(1);
  const auto replaced = world.RunUntilTrue(20 * kSecond, [&] {
    const auto& members = world.truth().FindGroup("z1")->members;
    return std::find(members.begin(), members.end(), "z1-i1") == members.end();
  });
  cr_assert(replaced.has_value());
  cr_assert_eq(world.truth().FindGroup("z1")->members.size(), 3U);
  world.Kill(0);
  world.RunUntil(world.now() + 5 * kSecond);
  cr_assert(world.IsServed());
  AssertSafe(world);
}

// Guards against instances that cannot start, or fall out, once the log has
// dropped the oldest records.
Test(ownership_failures, snapshot_replaces_dropped_records) {
  World world({8});
  Settle(world);
  world.CutZone("z2", true, world.now() + 3 * kSecond);
  for (int i = 0; i < 40; ++i) {
    world.Publish({});
  }
  world.RunUntil(world.now() + kSecond);
  world.log_first = world.log_end() - 20;
  world.RunUntil(world.now() + 5 * kSecond);
  cr_assert(world.IsServed());
  world.Kill(0);
  world.Kill(3);
  world.RestartAt(0, world.now() + 100 * kMs);
  world.RestartAt(3, world.now() + 100 * kMs);
  world.RunUntil(world.now() + 3 * kSecond);
  for (std::size_t i = 0; i < world.instances(); ++i) {
    cr_assert(world.instance(i).controller->state() == world.truth());
  }
  cr_assert(world.IsServed());
  AssertSafe(world);
}
