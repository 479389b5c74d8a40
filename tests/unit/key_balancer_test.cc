#include "coordination/key_balancer.h"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

const MonotonicTime kNow = MonotonicTime(Milliseconds(100000));
constexpr int kSlots = 3;

std::vector<KeyCandidate> MakeTargets(int count) {
  std::vector<KeyCandidate> targets;
  targets.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    targets.push_back({"t" + std::to_string(i), 1, kSlots});
  }
  return targets;
}

// Reports `requests` for each key from `first` to `last`.
void Report(KeyLoad& load, KeyNumber first, KeyNumber last, int requests) {
  KeyLoadReport report;
  report.requests_per_key = static_cast<std::uint32_t>(requests);
  for (std::uint32_t key = first; key <= last; ++key) {
    report.keys.push_back(static_cast<KeyNumber>(key));
  }
  load.OnReport(kNow, report);
}

// Work for each slot of the target.
double Use(const KeyLoad& load,
           const std::vector<KeyAssignment>& ranges,
           const TargetId& target) {
  double rate = 0;
  for (const KeyAssignment& range : ranges) {
    if (range.owner == target) {
      rate += load.Rate(kNow, range.first, range.last);
    }
  }
  return rate * load.ServiceSeconds(target) / kSlots;
}

double GreatestUse(const KeyLoad& load,
                   const std::vector<KeyAssignment>& ranges,
                   const std::vector<KeyCandidate>& targets) {
  double greatest = 0;
  for (const KeyCandidate& target : targets) {
    greatest = std::max(greatest, Use(load, ranges, target.id));
  }
  return greatest;
}

std::vector<KeyAssignment> Plan(const std::vector<KeyCandidate>& targets,
                                const std::vector<KeyAssignment>& ranges,
                                const KeyLoad& load,
                                FencingToken& fencing_token) {
  return KeyBalancer::Plan(kNow, ranges, targets, load, fencing_token);
}

// Guards against a key that alone is more than a target can serve stopping the
// moves of all others.
Test(key_balancer, single_busy_key_does_not_stop_other_moves) {
  const auto targets = MakeTargets(10);
  FencingToken fencing_token = 0;
  const auto ranges = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  Report(load, ranges[0].first, ranges[0].first, 2000);
  Report(load, ranges[5].first, ranges[5].first + 9, 20);
  auto planned = ranges;
  for (int i = 0; i < 3; ++i) {
    planned = Plan(targets, planned, load, fencing_token);
    for (KeyAssignment& range : planned) {
      range.previous_owner.clear();
    }
  }
  cr_assert_lt(Use(load, planned, targets[5].id),
               KeyBalancer::kMinSourceUtilization);
}

// Guards against a crest that ends before its keys are spread: one plan must
// suffice for a cluster of busy keys on one of many targets.
Test(key_balancer, one_plan_spreads_a_cluster_of_busy_keys) {
  const auto targets = MakeTargets(160);
  FencingToken fencing_token = 0;
  const auto ranges = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  for (std::uint32_t key = 0; key <= kLastKey; key += 20) {
    Report(load, static_cast<KeyNumber>(key), static_cast<KeyNumber>(key), 1);
  }
  const double everyday = GreatestUse(load, ranges, targets);
  Report(load, ranges[40].first, ranges[40].first + 59, 10);
  const auto planned = Plan(targets, ranges, load, fencing_token);
  double mean = 0;
  for (const KeyCandidate& target : targets) {
    mean += Use(load, planned, target.id) / 160;
  }
  cr_assert_gt(GreatestUse(load, ranges, targets), 5 * everyday);
  cr_assert_lt(GreatestUse(load, planned, targets),
               mean + 2 * KeyBalancer::kMinUtilizationGap);
}

// Guards against moves that only shift small imbalances: each costs the targets
// warm state and the leader orders.
Test(key_balancer, even_load_moves_nothing) {
  const auto targets = MakeTargets(20);
  FencingToken fencing_token = 0;
  const auto ranges = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  Report(load, 0, kLastKey, 1);
  cr_assert_eq(Plan(targets, ranges, load, fencing_token) == ranges, true);
}

// Guards against moves that stop for good once ranges have been divided often:
// the busy keys change within seconds.
Test(key_balancer, ranges_are_joined_again) {
  const auto targets = MakeTargets(8);
  FencingToken fencing_token = 0;
  auto planned = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  Report(load, 0, 0, 1);
  std::vector<KeyAssignment> pieces;
  for (std::uint32_t first = 0; first < 80 * 8; first += 8) {
    KeyAssignment piece = planned[0];
    piece.first = static_cast<KeyNumber>(first);
    piece.last = static_cast<KeyNumber>(first + 7);
    piece.owner = targets[(first / 8) % 8].id;
    piece.fencing_token = ++fencing_token;
    pieces.push_back(piece);
  }
  planned[0].first = 640;
  planned.insert(planned.begin(), pieces.begin(), pieces.end());
  const std::size_t before = planned.size();
  cr_assert_geq(before, KeyBalancer::kMaxRangesPerTarget * targets.size());
  const auto result = Plan(targets, planned, load, fencing_token);
  std::size_t joined = 0;
  for (std::size_t i = 1; i < result.size(); ++i) {
    joined += result[i].owner == result[i - 1].owner ? 1 : 0;
  }
  cr_assert_geq(joined, KeyBalancer::kMinMoves);
}

// Guards against lost or doubled keys when ranges are cut.
Test(key_balancer, ranges_still_cover_all_keys_once) {
  const auto targets = MakeTargets(50);
  FencingToken fencing_token = 0;
  auto planned = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  Report(load, 100, 400, 30);
  Report(load, 30000, 30000, 3000);
  for (int i = 0; i < 6; ++i) {
    planned = Plan(targets, planned, load, fencing_token);
    std::uint32_t next = 0;
    for (KeyAssignment& range : planned) {
      cr_assert_eq(range.first, next);
      cr_assert_geq(range.last, range.first);
      next = range.last + std::uint32_t{1};
      range.previous_owner.clear();
    }
    cr_assert_eq(next, std::uint32_t{kLastKey} + 1);
  }
}

}  // namespace
}  // namespace snipehall
