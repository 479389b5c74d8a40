#include "coordination/key_balancer.h"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

const MonotonicTime kNow = MonotonicTime(Milliseconds(100000));
constexpr int kSlotsPerTarget = 3;

std::vector<KeyCandidate> MakeTargets(int count) {
  std::vector<KeyCandidate> targets;
  targets.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    targets.push_back({"t" + std::to_string(i), 1, kSlotsPerTarget});
  }
  return targets;
}

// Reports `requests` requests for each key from `first` to `last`.
void ReportRequests(KeyLoad& load,
                    KeyNumber first,
                    KeyNumber last,
                    int requests) {
  KeyLoadReport report;
  report.requests_per_key = static_cast<std::uint32_t>(requests);
  for (std::uint32_t key = first; key <= last; ++key) {
    report.keys.push_back(static_cast<KeyNumber>(key));
  }
  load.OnReport(kNow, report);
}

// Utilization of the target; 1 means that all of its slots are busy.
double Utilization(const KeyLoad& load,
                   const std::vector<KeyAssignment>& ranges,
                   const TargetId& target) {
  double rate = 0;
  for (const KeyAssignment& range : ranges) {
    if (range.owner == target) {
      rate += load.Rate(kNow, range.first, range.last);
    }
  }
  return rate * load.ServiceSeconds(target) / kSlotsPerTarget;
}

double MaxUtilization(const KeyLoad& load,
                      const std::vector<KeyAssignment>& ranges,
                      const std::vector<KeyCandidate>& targets) {
  double max = 0;
  for (const KeyCandidate& target : targets) {
    max = std::max(max, Utilization(load, ranges, target.id));
  }
  return max;
}

std::vector<KeyAssignment> Plan(const std::vector<KeyCandidate>& targets,
                                const std::vector<KeyAssignment>& ranges,
                                const KeyLoad& load,
                                FencingToken& fencing_token) {
  return KeyBalancer::Plan(kNow, ranges, targets, load, fencing_token);
}

// Guards against one key with more load than a target can serve that prevents
// the moves of all other keys.
Test(key_balancer, overloaded_single_key_does_not_prevent_other_moves) {
  const auto targets = MakeTargets(10);
  FencingToken fencing_token = 0;
  const auto ranges = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  ReportRequests(load, ranges[0].first, ranges[0].first, 2000);
  ReportRequests(load, ranges[5].first, ranges[5].first + 9, 20);
  auto planned = ranges;
  for (int i = 0; i < 3; ++i) {
    planned = Plan(targets, planned, load, fencing_token);
    for (KeyAssignment& range : planned) {
      range.previous_owner.clear();
    }
  }
  cr_assert_lt(Utilization(load, planned, targets[5].id),
               KeyBalancer::kMinSourceUtilization);
}

// Guards against requests that are refused at a target at its rate limit while
// others have free slots: two targets with the same load, one of which takes
// less than half of it.
Test(key_balancer, keys_move_away_from_a_target_at_its_rate_limit) {
  constexpr double kLimit = 3;
  auto targets = MakeTargets(4);
  FencingToken fencing_token = 0;
  const auto ranges = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  ReportRequests(load, ranges[0].first, ranges[0].first + 15, 1);
  ReportRequests(load, ranges[1].first, ranges[1].first + 15, 1);
  cr_assert(Plan(targets, ranges, load, fencing_token) == ranges,
            "keys moved although no target is busy");
  targets[0].rate_limit = kLimit;
  auto planned = ranges;
  for (int i = 0; i < 5; ++i) {
    planned = Plan(targets, planned, load, fencing_token);
    for (KeyAssignment& range : planned) {
      range.previous_owner.clear();
    }
  }
  double rate = 0;
  for (const KeyAssignment& range : planned) {
    if (range.owner == targets[0].id) {
      rate += load.Rate(kNow, range.first, range.last);
    }
  }
  cr_assert_leq(rate, kLimit);
}

// Guards against a load peak that is over before its keys are spread: one plan
// must be enough for adjacent busy keys on one of many targets.
Test(key_balancer, one_plan_spreads_adjacent_busy_keys) {
  const auto targets = MakeTargets(160);
  FencingToken fencing_token = 0;
  const auto ranges = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  for (std::uint32_t key = 0; key <= kLastKey; key += 20) {
    ReportRequests(load, static_cast<KeyNumber>(key),
                   static_cast<KeyNumber>(key), 1);
  }
  const double baseline = MaxUtilization(load, ranges, targets);
  ReportRequests(load, ranges[40].first, ranges[40].first + 59, 10);
  const auto planned = Plan(targets, ranges, load, fencing_token);
  double mean = 0;
  for (const KeyCandidate& target : targets) {
    mean += Utilization(load, planned, target.id) / 160;
  }
  cr_assert_gt(MaxUtilization(load, ranges, targets), 5 * baseline);
  cr_assert_lt(MaxUtilization(load, planned, targets),
               mean + 2 * KeyBalancer::kMinUtilizationGap);
}

// Guards against moves for small imbalances: each move costs the targets their
// cached state and the leader additional orders.
Test(key_balancer, even_load_moves_nothing) {
  const auto targets = MakeTargets(20);
  FencingToken fencing_token = 0;
  const auto ranges = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  ReportRequests(load, 0, kLastKey, 1);
  cr_assert_eq(Plan(targets, ranges, load, fencing_token) == ranges, true);
}

// Guards against a balancer that stops moving keys for good once ranges have
// been split often: the busy keys change within seconds, so ranges are split
// again and again until kMaxRangesPerTarget is reached.
Test(key_balancer, small_ranges_are_merged_again) {
  const auto targets = MakeTargets(8);
  FencingToken fencing_token = 0;
  auto planned = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  ReportRequests(load, 0, 0, 1);
  std::vector<KeyAssignment> parts;
  for (std::uint32_t first = 0; first < 80 * 8; first += 8) {
    KeyAssignment part = planned[0];
    part.first = static_cast<KeyNumber>(first);
    part.last = static_cast<KeyNumber>(first + 7);
    part.owner = targets[(first / 8) % 8].id;
    part.fencing_token = ++fencing_token;
    parts.push_back(part);
  }
  planned[0].first = 640;
  planned.insert(planned.begin(), parts.begin(), parts.end());
  const std::size_t range_count = planned.size();
  cr_assert_geq(range_count, KeyBalancer::kMaxRangesPerTarget * targets.size());
  const auto result = Plan(targets, planned, load, fencing_token);
  std::size_t merged = 0;
  for (std::size_t i = 1; i < result.size(); ++i) {
    merged += result[i].owner == result[i - 1].owner ? 1 : 0;
  }
  cr_assert_geq(merged, KeyBalancer::kMinMoves);
}

// Guards against keys without an owner, or with two, when ranges are split.
Test(key_balancer, split_ranges_cover_all_keys_once) {
  const auto targets = MakeTargets(50);
  FencingToken fencing_token = 0;
  auto planned = PlanFirstKeys(targets, fencing_token);
  KeyLoad load;
  ReportRequests(load, 100, 400, 30);
  ReportRequests(load, 30000, 30000, 3000);
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
