#include "coordination/range_planner.h"

#include <rapidcheck.h>

#include <map>

#include "state/cluster_state.h"

#include <criterion/criterion.h>

using namespace snipehall;  // NOLINT(google-build-using-namespace)

namespace {

// Targets and the state of one key range. Applies planned changes to the state
// until the planner returns none.
struct PlannerFixture {
  HashRange key_range;
  std::vector<PlanTarget> targets;
  ClusterState state;

  void AddTarget(const TargetId& id) {
    targets.push_back({id, "g", TargetCondition::kUsable});
  }
  void SetCondition(std::size_t index, TargetCondition condition) {
    targets[index].condition = condition;
  }
  // Applies plans until there are no further changes. Returns the share of the
  // key range that changed owner; a hash that moves twice counts twice. Fails
  // after 20 rounds.
  double ApplyUntilStable() {
    double moved = 0;
    for (int rounds = 0; rounds < 20; ++rounds) {
      const ServiceAssignment* current = state.FindAssignment("s");
      const auto changes = PlanKeyRange(key_range, current, targets);
      if (changes.empty()) {
        return moved;
      }
      for (const OwnerChange& change : changes) {
        moved += Share(change.range);
      }
      const LogOffset based_on = current == nullptr ? 0 : current->version;
      RC_ASSERT(
          state.Apply(state.offset() + 1,
                      {"", "", based_on, AssignmentRecord{"s", changes}}) ==
          ApplyOutcome::kAccepted);
    }
    RC_FAIL("the planner still returns changes after 20 rounds");
    return moved;
  }
  // Returns the fraction of the key range that `range` covers.
  double Share(const HashRange& range) const {
    return (static_cast<double>(range.last - range.first) + 1) /
           (static_cast<double>(key_range.last - key_range.first) + 1);
  }
  // Returns the fraction of the key range that each target owns.
  std::map<TargetId, double> Shares() const {
    std::map<TargetId, double> shares;
    for (const OwnedRange& owned : state.FindAssignment("s")->ranges) {
      shares[owned.owner] += Share(owned.range);
    }
    return shares;
  }
};

}  // namespace

// Guards against shares of twice the even share or more, a loss that moves more
// than the ranges of the lost target, and a target that joins n others and
// receives more than 1.1/(n+1) of the key range.
Test(range_planner, losses_and_joins_move_a_bounded_share) {
  const bool passed = rc::check("moved shares are bounded", [] {
    PlannerFixture fixture;
    const auto first = *rc::gen::arbitrary<std::uint32_t>();
    fixture.key_range = {first, UINT64_MAX - first};
    const int count = *rc::gen::inRange(1, 24);
    for (int i = 0; i < count; ++i) {
      fixture.AddTarget("t" + std::to_string(i));
    }
    RC_ASSERT(fixture.ApplyUntilStable() > 0.999);
    const int events = *rc::gen::inRange(0, 12);
    for (int e = 0; e < events; ++e) {
      const auto before = fixture.Shares();
      const auto usable = static_cast<std::size_t>(
          std::count_if(fixture.targets.begin(), fixture.targets.end(),
                        [](const PlanTarget& target) {
                          return target.condition == TargetCondition::kUsable;
                        }));
      const auto index = *rc::gen::resize(
          rc::kNominalSize,
          rc::gen::inRange<std::size_t>(0, fixture.targets.size()));
      PlanTarget& target = fixture.targets[index];
      if (target.condition == TargetCondition::kLost) {
        target.condition = TargetCondition::kUsable;
        RC_ASSERT(fixture.ApplyUntilStable() <=
                  1.1 / static_cast<double>(usable + 1) + 1e-9);
      } else if (usable > 1) {
        target.condition = TargetCondition::kLost;
        const double lost =
            before.contains(target.id) ? before.at(target.id) : 0;
        RC_ASSERT(std::abs(fixture.ApplyUntilStable() - lost) < 1e-9);
        RC_ASSERT(!fixture.Shares().contains(target.id));
      }
      for (const auto& [id, share] : fixture.Shares()) {
        RC_ASSERT(share < 2.0 / static_cast<double>(std::max<std::size_t>(
                                    usable > 1 ? usable - 1 : 1, 1)));
      }
    }
    RC_ASSERT(fixture.state.FindAssignment("s")->ranges.size() <=
              32 * fixture.targets.size());
  });
  cr_assert(passed);
}

// Guards against a plan that moves all ranges of a lost target to a single
// target and so overloads it.
Test(range_planner, lost_ranges_are_spread) {
  PlannerFixture fixture;
  for (int i = 0; i < 9; ++i) {
    fixture.AddTarget("t" + std::to_string(i));
  }
  fixture.ApplyUntilStable();
  const auto before = fixture.Shares();
  fixture.SetCondition(4, TargetCondition::kLost);
  fixture.ApplyUntilStable();
  for (const auto& [id, share] : fixture.Shares()) {
    cr_assert_lt(share - before.at(id), 0.25 / 9);
  }
}

// Guards against removing the owners of a key range when no target is usable.
Test(range_planner, nothing_moves_without_a_usable_target) {
  PlannerFixture fixture;
  fixture.AddTarget("t0");
  fixture.ApplyUntilStable();
  fixture.SetCondition(0, TargetCondition::kLost);
  const auto* assignment = fixture.state.FindAssignment("s");
  cr_assert(PlanKeyRange({}, assignment, fixture.targets).empty());
  cr_assert(PlanKeyRange({}, assignment, {}).empty());
}

// Guards against the first distribution of a key range before it is known which
// targets answer.
Test(range_planner, first_distribution_waits_for_unknown_targets) {
  PlannerFixture fixture;
  fixture.AddTarget("t0");
  fixture.AddTarget("t1");
  fixture.SetCondition(1, TargetCondition::kUnknown);
  cr_assert(PlanKeyRange({}, nullptr, fixture.targets).empty());
}
