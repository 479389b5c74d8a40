#include "coordination/completion_chooser.h"

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <vector>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

// Load: one slow server of ten. Requests arrive at a constant rate; a target
// serves those in its slots at its own speed, and the chooser sees the loads of
// the previous step only, as reports lag.
struct Outcome {
  int served = 0;
  int served_in_time = 0;
};

constexpr int kTargets = 10;
constexpr int kSlots = 3;
constexpr int kServiceSteps = 20;
constexpr int kSlowFactor = 4;
constexpr int kObjectiveSteps = 60;
constexpr int kSteps = 4000;
// 0.7 of what all targets can serve.
constexpr double kArrivalsPerStep =
    0.7 * (kTargets - 1 + 1.0 / kSlowFactor) * kSlots / kServiceSteps;

class UnevenTargets {
 public:
  // Returns when the request that arrives at `step` is served.
  int Add(int target, int step) {
    std::deque<int>& ends = m_ends[target];
    const int service = kServiceSteps * (target == 0 ? kSlowFactor : 1);
    const int begin = ends.size() < kSlots
                          ? step
                          : std::max(step, ends[ends.size() - kSlots]);
    ends.push_back(begin + service);
    std::sort(ends.begin(), ends.end());
    return begin + service;
  }
  void Advance(int step) {
    for (std::deque<int>& ends : m_ends) {
      while (!ends.empty() && ends.front() <= step) {
        ends.pop_front();
      }
    }
  }
  double outstanding(int target) const {
    return static_cast<double>(m_ends[target].size());
  }

 private:
  std::array<std::deque<int>, kTargets> m_ends;
};

Outcome Serve(bool knows_speeds) {
  constexpr int kReportInterval = 10;
  std::mt19937_64 random(1);
  UnevenTargets targets;
  std::vector<CompletionCandidate> candidates(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    candidates[i] = {i, true, kSlots, 0};
  }
  if (knows_speeds) {
    candidates[0].relative_time = kSlowFactor;
  }
  Outcome outcome;
  double due = 0;
  for (int step = 0; step < kSteps; ++step) {
    targets.Advance(step);
    if (step % kReportInterval == 0) {
      for (int i = 0; i < kTargets; ++i) {
        candidates[i].outstanding = targets.outstanding(i);
      }
    }
    for (due += kArrivalsPerStep; due >= 1; due -= 1) {
      const std::size_t chosen = *ChooseByCompletion(candidates, random);
      const int served_at = targets.Add(static_cast<int>(chosen), step);
      ++outcome.served;
      outcome.served_in_time += served_at - step <= kObjectiveSteps ? 1 : 0;
    }
  }
  return outcome;
}

Test(completion_chooser, callers_do_not_wait_for_one_slow_server_of_ten) {
  const Outcome learned = Serve(true);
  const Outcome equal = Serve(false);
  cr_assert(learned.served_in_time >= learned.served * 0.97,
            "%d of %d are served in time", learned.served_in_time,
            learned.served);
  cr_assert(learned.served_in_time > equal.served_in_time,
            "%d with known speeds, %d without", learned.served_in_time,
            equal.served_in_time);
}

Test(completion_chooser, other_zones_serve_only_what_would_wait) {
  std::mt19937_64 random(1);
  std::vector<CompletionCandidate> candidates = {{0, true, 3, 2},
                                                 {1, false, 3, 0}};
  cr_assert(*ChooseByCompletion(candidates, random) == 0);
  candidates[0].outstanding = 9;
  cr_assert(*ChooseByCompletion(candidates, random) == 1);
  candidates[1].outstanding = 9;
  cr_assert(*ChooseByCompletion(candidates, random) == 0);
  cr_assert(!ChooseByCompletion({}, random));
}

}  // namespace
}  // namespace snipehall
