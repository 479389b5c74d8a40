#include "coordination/range_planner.h"

#include <rapidcheck.h>

#include <map>

#include "state/cluster_state.h"

#include <criterion/criterion.h>

using namespace snipehall;  // NOLINT(google-build-using-namespace)

namespace {

// Applies plans to a cluster state until nothing is left to change.
struct Space {
  HashRange key_range;
  std::vector<PlanTarget> targets;
  ClusterState state;

  void Add(const TargetId& id) {
    targets.push_back({id, "g", TargetCondition::kUsable});
  }
  void Set(std::size_t index, TargetCondition condition) {
    targets[index].condition = condition;
  }
  // Returns the share of the key range that changed owner.
  double Converge() {
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
    RC_FAIL("the plan does not come to rest");
    return moved;
  }
  double Share(const HashRange& range) const {
    return (static_cast<double>(range.last - range.first) + 1) /
           (static_cast<double>(key_range.last - key_range.first) + 1);
  }
  std::map<TargetId, double> Shares() const {
    std::map<TargetId, double> shares;
    for (const OwnedRange& owned : state.FindAssignment("s")->ranges) {
      shares[owned.owner] += Share(owned.range);
    }
    return shares;
  }
};

}  // namespace

// Guards against shares that are far from even, a loss that moves more than
// the lost ranges, and a join that moves more than 1.1/(n+1) of the space.
Test(range_planner, losses_and_joins_move_only_what_they_must) {
  const bool held = rc::check("moves are bounded", [] {
    Space space;
    const auto first = *rc::gen::arbitrary<std::uint32_t>();
    space.key_range = {first, UINT64_MAX - first};
    const int count = *rc::gen::inRange(1, 24);
    for (int i = 0; i < count; ++i) {
      space.Add("t" + std::to_string(i));
    }
    RC_ASSERT(space.Converge() > 0.999);
    const int events = *rc::gen::inRange(0, 12);
    for (int e = 0; e < events; ++e) {
      const auto before = space.Shares();
      const auto usable = static_cast<std::size_t>(
          std::count_if(space.targets.begin(), space.targets.end(),
                        [](const PlanTarget& target) {
                          return target.condition == TargetCondition::kUsable;
                        }));
      const auto index = *rc::gen::resize(
          rc::kNominalSize,
          rc::gen::inRange<std::size_t>(0, space.targets.size()));
      PlanTarget& target = space.targets[index];
      if (target.condition == TargetCondition::kLost) {
        target.condition = TargetCondition::kUsable;
        RC_ASSERT(space.Converge() <=
                  1.1 / static_cast<double>(usable + 1) + 1e-9);
      } else if (usable > 1) {
        target.condition = TargetCondition::kLost;
        const double lost =
            before.contains(target.id) ? before.at(target.id) : 0;
        RC_ASSERT(std::abs(space.Converge() - lost) < 1e-9);
        RC_ASSERT(!space.Shares().contains(target.id));
      }
      for (const auto& [id, share] : space.Shares()) {
        RC_ASSERT(share < 2.0 / static_cast<double>(std::max<std::size_t>(
                                    usable > 1 ? usable - 1 : 1, 1)));
      }
    }
    RC_ASSERT(space.state.FindAssignment("s")->ranges.size() <=
              32 * space.targets.size());
  });
  cr_assert(held);
}

// Guards against a loss that falls on a single target.
Test(range_planner, loss_is_spread) {
  Space space;
  for (int i = 0; i < 9; ++i) {
    space.Add("t" + std::to_string(i));
  }
  space.Converge();
  const auto before = space.Shares();
  space.Set(4, TargetCondition::kLost);
  space.Converge();
  for (const auto& [id, share] : space.Shares()) {
    cr_assert_lt(share - before.at(id), 0.25 / 9);
  }
}

// Guards against a key range that loses its owners when no target is usable.
Test(range_planner, nothing_moves_without_a_usable_target) {
  Space space;
  space.Add("t0");
  space.Converge();
  space.Set(0, TargetCondition::kLost);
  const auto* assignment = space.state.FindAssignment("s");
  cr_assert(PlanKeyRange({}, assignment, space.targets).empty());
  cr_assert(PlanKeyRange({}, assignment, {}).empty());
}

// Guards against a first split before it is known which targets answer.
Test(range_planner, first_split_waits_for_unknown_targets) {
  Space space;
  space.Add("t0");
  space.Add("t1");
  space.Set(1, TargetCondition::kUnknown);
  cr_assert(PlanKeyRange({}, nullptr, space.targets).empty());
}
