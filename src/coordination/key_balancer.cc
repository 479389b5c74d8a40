#include "coordination/key_balancer.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>

namespace snipehall {

namespace {

// Maximum rate of a part, as a multiple of the desired rate. Above one, since a
// single busy key often exceeds the desired rate.
constexpr double kMaxRateFactor = 1.4;
// Minimum rate of a part, as a fraction of the desired rate; less is not worth
// a move.
constexpr double kMinRateFactor = 0.15;

// A part of a range at its lower or upper end, or the whole range.
struct RangePart {
  std::size_t range = 0;
  KeyNumber first = 0;
  KeyNumber last = 0;
  double rate = 0;
};

// Load of one target by the keys that it owns.
struct TargetUtilization {
  const KeyCandidate* target = nullptr;
  double seconds_per_slot = 0;
  double rate = 0;

  double value() const { return rate * seconds_per_slot; }
};

double Distance(const RangePart& part, double desired_rate) {
  return std::abs(part.rate - desired_rate);
}

// Replaces `best` by `part` if its rate is closer to `desired_rate`.
void ConsiderPart(std::optional<RangePart>& best,
                  const RangePart& part,
                  double desired_rate) {
  if (part.rate > desired_rate * kMaxRateFactor ||
      part.rate < desired_rate * kMinRateFactor) {
    return;
  }
  if (!best || Distance(part, desired_rate) < Distance(*best, desired_rate)) {
    best = part;
  }
}

// Replaces `best` when a part at one end of the range, or the whole range, has
// a rate closer to `desired_rate`.
void ConsiderRange(MonotonicTime now,
                   const KeyAssignment& range,
                   std::size_t index,
                   const KeyLoad& load,
                   double desired_rate,
                   std::optional<RangePart>& best) {
  const auto rates = load.Rates(now, range.first, range.last);
  double total = 0;
  for (const auto& [key, rate] : rates) {
    total += rate;
  }
  double below = 0;
  for (const auto& [key, rate] : rates) {
    if (key > range.first) {
      ConsiderPart(best, {index, range.first, key - 1, below}, desired_rate);
      ConsiderPart(best, {index, key, range.last, total - below}, desired_rate);
    }
    below += rate;
  }
  ConsiderPart(best, {index, range.first, range.last, total}, desired_rate);
}

// Returns the part of the owner's ranges whose rate is closest to
// `desired_rate`, or nothing when none is within the limits.
std::optional<RangePart> FindPart(MonotonicTime now,
                                  std::span<const KeyAssignment> ranges,
                                  std::string_view owner,
                                  const KeyLoad& load,
                                  double desired_rate) {
  std::optional<RangePart> best;
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    if (ranges[i].owner == owner && !ranges[i].moving()) {
      ConsiderRange(now, ranges[i], i, load, desired_rate, best);
    }
  }
  return best;
}

std::vector<TargetUtilization> ComputeUtilizations(
    MonotonicTime now,
    std::span<const KeyAssignment> ranges,
    std::span<const KeyCandidate> candidates,
    const KeyLoad& load) {
  std::map<std::string_view, double> rates;
  for (const KeyAssignment& range : ranges) {
    rates[range.owner] += load.Rate(now, range.first, range.last);
  }
  std::vector<TargetUtilization> utilizations;
  for (const KeyCandidate& candidate : candidates) {
    double seconds = load.ServiceSeconds(candidate.id) / candidate.slots;
    if (candidate.rate_limit) {
      seconds = std::max(seconds, 1 / *candidate.rate_limit);
    }
    utilizations.push_back({&candidate, seconds, rates[candidate.id]});
  }
  return utilizations;
}

double MeanUtilization(std::span<const TargetUtilization> utilizations) {
  double sum = 0;
  for (const TargetUtilization& utilization : utilizations) {
    sum += utilization.value();
  }
  return utilizations.empty() ? 0
                              : sum / static_cast<double>(utilizations.size());
}

bool HasLowerUtilization(const TargetUtilization& left,
                         const TargetUtilization& right) {
  return left.value() < right.value();
}

bool IsWorthMove(const TargetUtilization& most_loaded,
                 const TargetUtilization& least_loaded) {
  return most_loaded.value() >= KeyBalancer::kMinSourceUtilization &&
         most_loaded.value() - least_loaded.value() >=
             KeyBalancer::kMinUtilizationGap;
}

// Returns the rate to move, in requests a second: what closes half of the gap,
// or what raises the least loaded target to `max_utilization` if that is less.
// With the second bound, a cluster of busy keys is spread over many targets at
// once instead of being halved repeatedly.
double DesiredRate(const TargetUtilization& most_loaded,
                   const TargetUtilization& least_loaded,
                   double max_utilization) {
  const double gap = most_loaded.value() - least_loaded.value();
  const double half =
      gap / (most_loaded.seconds_per_slot + least_loaded.seconds_per_slot);
  if (most_loaded.target->rate_limit) {
    max_utilization =
        std::min(max_utilization, KeyBalancer::kMaxUtilizationForLimited);
  }
  const double headroom =
      (max_utilization - least_loaded.value()) / least_loaded.seconds_per_slot;
  return std::min(half, headroom);
}

TargetUtilization* FindUtilization(std::span<TargetUtilization> utilizations,
                                   std::string_view target) {
  const auto found =
      std::find_if(utilizations.begin(), utilizations.end(),
                   [target](const TargetUtilization& utilization) {
                     return utilization.target->id == target;
                   });
  return found == utilizations.end() ? nullptr : &*found;
}

// Whether the range or an adjacent one is moving.
bool HasMoveNearby(std::span<const KeyAssignment> ranges, std::size_t index) {
  return ranges[index].moving() || (index > 0 && ranges[index - 1].moving()) ||
         (index + 1 < ranges.size() && ranges[index + 1].moving());
}

// Move of a small range to the owner of an adjacent range, so that both can be
// merged.
struct MergeMove {
  std::size_t range = 0;
  double rate = 0;
  TargetUtilization* from = nullptr;
  TargetUtilization* to = nullptr;
};

std::optional<MergeMove> FindMergeMove(
    MonotonicTime now,
    std::span<const KeyAssignment> ranges,
    std::span<TargetUtilization> utilizations,
    const KeyLoad& load,
    double max_utilization) {
  std::optional<MergeMove> best;
  const auto consider = [&](std::size_t index, std::size_t neighbour) {
    const KeyAssignment& range = ranges[index];
    const KeyAssignment& next = ranges[neighbour];
    if (HasMoveNearby(ranges, index) || range.owner == next.owner ||
        range.size() > KeyBalancer::kMaxMergeKeys) {
      return;
    }
    TargetUtilization* from = FindUtilization(utilizations, range.owner);
    TargetUtilization* to = FindUtilization(utilizations, next.owner);
    const double rate = load.Rate(now, range.first, range.last);
    if (from != nullptr && to != nullptr && (!best || rate < best->rate) &&
        to->value() + rate * to->seconds_per_slot <= max_utilization) {
      best = MergeMove{index, rate, from, to};
    }
  };
  for (std::size_t i = 0; i + 1 < ranges.size(); ++i) {
    consider(i, i + 1);
    consider(i + 1, i);
  }
  return best;
}

std::size_t MaxMoves(std::size_t targets) {
  return std::max<std::size_t>(KeyBalancer::kMinMoves,
                               targets / KeyBalancer::kTargetsPerMove);
}

// Gives the part to `owner` under a new token, splitting its range if needed.
void MovePart(std::vector<KeyAssignment>& ranges,
              const RangePart& part,
              const KeyCandidate& owner,
              FencingToken& fencing_token) {
  KeyAssignment& whole = ranges[part.range];
  KeyAssignment moved = whole;
  moved.first = part.first;
  moved.last = part.last;
  moved.previous_owner = whole.owner;
  moved.owner = owner.id;
  moved.owner_start_time_ms = owner.start_time_ms;
  moved.fencing_token = ++fencing_token;
  const auto position =
      ranges.begin() + static_cast<std::ptrdiff_t>(part.range);
  if (part.first == whole.first && part.last == whole.last) {
    whole = moved;
  } else if (part.first == whole.first) {
    whole.first = part.last + 1;
    // The remaining range has a new first key, so the leader grants it again.
    ranges.insert(position, std::move(moved));
  } else {
    whole.last = part.first - 1;
    ranges.insert(position + 1, std::move(moved));
  }
}

// Moves small ranges, the least loaded first, to the owners of adjacent ranges.
void MergeSmallRanges(MonotonicTime now,
                      const KeyLoad& load,
                      double max_utilization,
                      std::size_t max_moves,
                      std::vector<KeyAssignment>& ranges,
                      std::span<TargetUtilization> utilizations,
                      FencingToken& fencing_token) {
  for (std::size_t move = 0; move < max_moves; ++move) {
    const auto best =
        FindMergeMove(now, ranges, utilizations, load, max_utilization);
    if (!best) {
      return;
    }
    const KeyAssignment& range = ranges[best->range];
    MovePart(ranges, {best->range, range.first, range.last, best->rate},
             *best->to->target, fencing_token);
    best->from->rate -= best->rate;
    best->to->rate += best->rate;
  }
}

}  // namespace

std::vector<KeyAssignment> KeyBalancer::Plan(
    MonotonicTime now,
    std::span<const KeyAssignment> current,
    std::span<const KeyCandidate> candidates,
    const KeyLoad& load,
    FencingToken& fencing_token) {
  std::vector<KeyAssignment> ranges(current.begin(), current.end());
  std::vector<TargetUtilization> utilizations =
      ComputeUtilizations(now, ranges, candidates, load);
  const double max_utilization =
      MeanUtilization(utilizations) + kMinUtilizationGap / 2;
  const std::size_t max_moves = MaxMoves(candidates.size());
  const std::size_t max_ranges = kMaxRangesPerTarget * candidates.size();
  std::size_t moves = 0;
  while (moves < max_moves && ranges.size() < max_ranges) {
    const auto [least_loaded, most_loaded] = std::minmax_element(
        utilizations.begin(), utilizations.end(), HasLowerUtilization);
    if (utilizations.size() < 2 || !IsWorthMove(*most_loaded, *least_loaded)) {
      break;
    }
    const double desired_rate =
        DesiredRate(*most_loaded, *least_loaded, max_utilization);
    const auto part =
        FindPart(now, ranges, most_loaded->target->id, load, desired_rate);
    if (!part) {
      // No part of this target's ranges fits; other targets may still have one.
      utilizations.erase(most_loaded);
      continue;
    }
    MovePart(ranges, *part, *least_loaded->target, fencing_token);
    most_loaded->rate -= part->rate;
    least_loaded->rate += part->rate;
    ++moves;
  }
  const std::size_t merge_threshold = kMergeRangesPerTarget * candidates.size();
  // Each plan costs a version of the table, so ranges are merged together with
  // other moves, or when the number of ranges allows no other move.
  if (ranges.size() >= max_ranges ||
      (moves > 0 && ranges.size() > merge_threshold)) {
    MergeSmallRanges(now, load, max_utilization, kMinMoves, ranges,
                     utilizations, fencing_token);
  }
  return ranges;
}

}  // namespace snipehall
