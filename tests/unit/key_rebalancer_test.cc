#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "coordination/hot_key_sketch.h"
#include "coordination/key_rebalancer.h"
#include "state/cluster_state.h"

#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using snipehall::ClusterState;
using snipehall::HashKey;
using snipehall::HotKeySketch;
using snipehall::KeyRebalancer;
using snipehall::LoadSample;
using snipehall::MonotonicTime;
using snipehall::OwnedRange;
using snipehall::OwnerChange;
using snipehall::ServiceAssignment;

constexpr MonotonicTime kStart{1h};
constexpr std::size_t kTargets = 20;
constexpr std::size_t kRangesPerTarget = 16;
constexpr std::uint64_t kSeed = 11;

std::string TargetName(std::size_t index) {
  return "gearshelf-" + std::to_string(index);
}

// All ranges have the same width and are spread evenly over the targets.
ServiceAssignment MakeEvenAssignment() {
  ServiceAssignment assignment;
  assignment.service = "gearshelf";
  constexpr std::size_t kRanges = kTargets * kRangesPerTarget;
  const std::uint64_t width = UINT64_MAX / kRanges;
  for (std::size_t i = 0; i < kRanges; ++i) {
    OwnedRange range;
    range.range = {i * width,
                   i + 1 == kRanges ? UINT64_MAX : (i + 1) * width - 1};
    range.owner = TargetName(i % kTargets);
    range.group = "g";
    assignment.ranges.push_back(range);
  }
  return assignment;
}

// Returns the key hashes of requests whose keys follow Zipf's law with
// exponent 1.
std::vector<std::uint64_t> MakeZipfRequests(std::size_t count) {
  constexpr std::size_t kKeys = 10000;
  std::vector<double> weights(kKeys);
  for (std::size_t i = 0; i < kKeys; ++i) {
    weights[i] = 1.0 / static_cast<double>(i + 1);
  }
  std::discrete_distribution<std::size_t> zipf(weights.begin(), weights.end());
  std::mt19937_64 random(kSeed);
  std::vector<std::uint64_t> hashes(count);
  for (std::uint64_t& hash : hashes) {
    hash = HashKey("key-" + std::to_string(zipf(random)));
  }
  return hashes;
}

// Returns the sample that an instance takes from the requests.
LoadSample MakeSample(const std::vector<std::uint64_t>& hashes,
                      const ServiceAssignment& assignment) {
  std::map<std::string, std::uint64_t> loads;
  for (std::size_t i = 0; i < kTargets; ++i) {
    loads[TargetName(i)] = 0;
  }
  HotKeySketch sketch = HotKeySketch::Create(256).value();
  for (const std::uint64_t hash : hashes) {
    ++loads[assignment.Find(hash)->owner];
    sketch.Add(hash);
  }
  LoadSample sample;
  sample.service = "gearshelf";
  for (const auto& [target, requests] : loads) {
    sample.targets.push_back({target, requests});
  }
  sample.hot_keys = sketch.Top(64);
  return sample;
}

// Returns the assignment after a log record with `changes` was applied to it.
ServiceAssignment ApplyChanges(const ServiceAssignment& assignment,
                               const std::vector<OwnerChange>& changes) {
  if (changes.empty()) {
    return assignment;
  }
  snipehall::SnapshotRecord snapshot;
  snapshot.covers = 1 + assignment.version;
  snapshot.assignments = {assignment};
  ClusterState state = ClusterState::FromSnapshot(snapshot).value();
  const snipehall::Record record{
      "r", "test", assignment.version,
      snipehall::AssignmentRecord{"gearshelf", changes}};
  cr_assert_eq(state.Apply(state.offset() + 1, record),
               snipehall::ApplyOutcome::kAccepted);
  return *state.FindAssignment("gearshelf");
}

// Returns the load of the most loaded target divided by the mean load.
double Imbalance(const LoadSample& sample) {
  double total = 0;
  double max = 0;
  for (const auto& load : sample.targets) {
    total += static_cast<double>(load.requests);
    max = std::max(max, static_cast<double>(load.requests));
  }
  return max / (total / static_cast<double>(sample.targets.size()));
}

}  // namespace

// Guards against a sketch that misses a key with more than 1/capacity of the
// requests, or overestimates its count by more than total/capacity.
Test(hot_key_sketch, finds_all_frequent_keys) {
  const auto hashes = MakeZipfRequests(100000);
  HotKeySketch sketch = HotKeySketch::Create(256).value();
  std::map<std::uint64_t, std::uint64_t> exact;
  for (const std::uint64_t hash : hashes) {
    sketch.Add(hash);
    ++exact[hash];
  }
  std::map<std::uint64_t, std::uint64_t> found;
  for (const auto& entry : sketch.Top(256)) {
    found[entry.hash] = entry.count;
  }
  for (const auto& [hash, count] : exact) {
    if (count > hashes.size() / 256) {
      cr_assert(found.contains(hash));
      cr_assert_geq(found[hash], count);
      cr_assert_leq(found[hash], count + hashes.size() / 256);
    }
  }
}

// Guards against moves that raise the load of the most loaded target, and
// against more moves than one plan may contain.
Test(key_rebalancer, reduces_imbalance_of_zipf_distributed_keys) {
  constexpr int kRounds = 5;
  ServiceAssignment assignment = MakeEvenAssignment();
  const auto hashes = MakeZipfRequests(200000);
  const LoadSample before = MakeSample(hashes, assignment);
  KeyRebalancer rebalancer = KeyRebalancer::Create({}).value();
  std::size_t moves = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto changes = rebalancer.Plan(kStart, MakeSample(hashes, assignment),
                                         assignment, "g");
    cr_assert_leq(changes.size(), 16U);
    cr_assert_leq(std::count_if(changes.begin(), changes.end(),
                                [](const OwnerChange& change) {
                                  return !change.range.IsSingleHash();
                                }),
                  4);
    moves += changes.size();
    assignment = ApplyChanges(assignment, changes);
  }
  const LoadSample after = MakeSample(hashes, assignment);
  // Imbalance by the hottest key alone. No move of keys can go below it.
  const double min_imbalance =
      static_cast<double>(before.hot_keys.front().count) * kTargets /
      static_cast<double>(hashes.size());
  std::printf(
      "imbalance under Zipf 1.0, 20 targets: before %.2f, after %.2f, "
      "hottest key alone %.2f, %zu moves\n",
      Imbalance(before), Imbalance(after), min_imbalance, moves);
  cr_assert_leq(Imbalance(after), std::max(1.15, min_imbalance) * 1.15);
}

// Guards against unnecessary moves while the load is balanced.
Test(key_rebalancer, even_load_moves_nothing) {
  const ServiceAssignment assignment = MakeEvenAssignment();
  LoadSample sample;
  for (std::size_t i = 0; i < kTargets; ++i) {
    sample.targets.push_back({TargetName(i), 1000 + i});
  }
  sample.hot_keys = {{5, 900}};
  KeyRebalancer rebalancer = KeyRebalancer::Create({}).value();
  cr_assert(rebalancer.Plan(kStart, sample, assignment, "g").empty());
}

// Guards against a number of single-key ranges that grows without bound.
Test(key_rebalancer, cold_key_returns_to_the_surrounding_range) {
  ServiceAssignment assignment = MakeEvenAssignment();
  const std::uint64_t hash = 1000;
  OwnedRange upper_part = assignment.ranges.front();
  assignment.ranges.front().range.last = hash - 1;
  upper_part.range.first = hash + 1;
  OwnedRange single = upper_part;
  single.range = {hash, hash};
  single.owner = TargetName(3);
  assignment.ranges.insert(assignment.ranges.begin() + 1, {single, upper_part});
  LoadSample sample;
  for (std::size_t i = 0; i < kTargets; ++i) {
    sample.targets.push_back({TargetName(i), 1000});
  }
  KeyRebalancer rebalancer = KeyRebalancer::Create({}).value();
  cr_assert(rebalancer.Plan(kStart, sample, assignment, "g").empty());
  cr_assert(rebalancer.Plan(kStart + 9min, sample, assignment, "g").empty());
  const auto changes = rebalancer.Plan(kStart + 11min, sample, assignment, "g");
  cr_assert_eq(changes.size(), 1U);
  cr_assert_eq(changes.front().range.first, hash);
  cr_assert_eq(changes.front().owner, TargetName(0));
}
