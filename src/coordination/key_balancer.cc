#include "coordination/key_balancer.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>

namespace snipehall {

namespace {

// A part of a range that may carry this many times the wanted load is still
// taken; a single busy key often does.
constexpr double kOvershoot = 1.4;
// A part with less than this share of the wanted load is not worth a move.
constexpr double kLeastShare = 0.15;

// A part of a range at its lower or upper end.
struct RangePart {
  std::size_t range = 0;
  KeyNumber first = 0;
  KeyNumber last = 0;
  double rate = 0;
};

struct Use {
  const KeyCandidate* target = nullptr;
  double seconds_per_slot = 0;
  double rate = 0;

  double value() const { return rate * seconds_per_slot; }
};

double Distance(const RangePart& part, double wanted) {
  return std::abs(part.rate - wanted);
}

void Consider(std::optional<RangePart>& best,
              const RangePart& part,
              double wanted) {
  if (part.rate > wanted * kOvershoot || part.rate < wanted * kLeastShare) {
    return;
  }
  if (!best || Distance(part, wanted) < Distance(*best, wanted)) {
    best = part;
  }
}

// The end of the range, or all of it, whose rate is closest to `wanted`.
void ConsiderRange(MonotonicTime now,
                   const KeyAssignment& range,
                   std::size_t index,
                   const KeyLoad& load,
                   double wanted,
                   std::optional<RangePart>& best) {
  const auto rates = load.Rates(now, range.first, range.last);
  double total = 0;
  for (const auto& [key, rate] : rates) {
    total += rate;
  }
  double below = 0;
  for (const auto& [key, rate] : rates) {
    if (key > range.first) {
      Consider(best, {index, range.first, key - 1, below}, wanted);
      Consider(best, {index, key, range.last, total - below}, wanted);
    }
    below += rate;
  }
  Consider(best, {index, range.first, range.last, total}, wanted);
}

std::optional<RangePart> FindPart(MonotonicTime now,
                                  std::span<const KeyAssignment> ranges,
                                  std::string_view owner,
                                  const KeyLoad& load,
                                  double wanted) {
  std::optional<RangePart> best;
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    if (ranges[i].owner == owner && !ranges[i].moving()) {
      ConsiderRange(now, ranges[i], i, load, wanted, best);
    }
  }
  return best;
}

std::vector<Use> UsesOf(MonotonicTime now,
                        std::span<const KeyAssignment> ranges,
                        std::span<const KeyCandidate> candidates,
                        const KeyLoad& load) {
  std::map<std::string_view, double> rates;
  for (const KeyAssignment& range : ranges) {
    rates[range.owner] += load.Rate(now, range.first, range.last);
  }
  std::vector<Use> uses;
  for (const KeyCandidate& candidate : candidates) {
    const double seconds = load.Seconds(candidate.id) / candidate.slots;
    uses.push_back({&candidate, seconds, rates[candidate.id]});
  }
  return uses;
}

double MeanUse(std::span<const Use> uses) {
  double sum = 0;
  for (const Use& use : uses) {
    sum += use.value();
  }
  return uses.empty() ? 0 : sum / static_cast<double>(uses.size());
}

bool IsLess(const Use& left, const Use& right) {
  return left.value() < right.value();
}

bool IsWorthMove(const Use& fullest, const Use& emptiest) {
  return fullest.value() >= KeyBalancer::kBusy &&
         fullest.value() - emptiest.value() >= KeyBalancer::kGap;
}

// The rate that closes half of the gap, or fills the emptiest target up to
// `level` where that is less: a cluster of busy keys goes to many targets at
// once instead of being halved time and again.
double WantedRate(const Use& fullest, const Use& emptiest, double level) {
  const double gap = fullest.value() - emptiest.value();
  const double half =
      gap / (fullest.seconds_per_slot + emptiest.seconds_per_slot);
  const double room = (level - emptiest.value()) / emptiest.seconds_per_slot;
  return std::min(half, room);
}

Use* FindUse(std::span<Use> uses, std::string_view target) {
  const auto found = std::find_if(
      uses.begin(), uses.end(),
      [target](const Use& use) { return use.target->id == target; });
  return found == uses.end() ? nullptr : &*found;
}

// Whether the range or a neighbour of it is moving.
bool HasMove(std::span<const KeyAssignment> ranges, std::size_t index) {
  return ranges[index].moving() || (index > 0 && ranges[index - 1].moving()) ||
         (index + 1 < ranges.size() && ranges[index + 1].moving());
}

// A settled range that its neighbour's owner has room for, with the least load.
struct TidyMove {
  std::size_t range = 0;
  double rate = 0;
  Use* from = nullptr;
  Use* to = nullptr;
};

std::optional<TidyMove> FindTidyMove(MonotonicTime now,
                                     std::span<const KeyAssignment> ranges,
                                     std::span<Use> uses,
                                     const KeyLoad& load,
                                     double level) {
  std::optional<TidyMove> best;
  const auto consider = [&](std::size_t index, std::size_t neighbour) {
    const KeyAssignment& range = ranges[index];
    const KeyAssignment& next = ranges[neighbour];
    if (HasMove(ranges, index) || range.owner == next.owner ||
        range.size() > KeyBalancer::kTidyKeys) {
      return;
    }
    Use* from = FindUse(uses, range.owner);
    Use* to = FindUse(uses, next.owner);
    const double rate = load.Rate(now, range.first, range.last);
    if (from != nullptr && to != nullptr && (!best || rate < best->rate) &&
        to->value() + rate * to->seconds_per_slot <= level) {
      best = TidyMove{index, rate, from, to};
    }
  };
  for (std::size_t i = 0; i + 1 < ranges.size(); ++i) {
    consider(i, i + 1);
    consider(i + 1, i);
  }
  return best;
}

std::size_t MostMoves(std::size_t targets) {
  return std::max<std::size_t>(KeyBalancer::kLeastMoves,
                               targets / KeyBalancer::kTargetsPerMove);
}

void MovePart(std::vector<KeyAssignment>& ranges,
              const RangePart& part,
              const KeyCandidate& owner,
              FenceToken& fence) {
  KeyAssignment& whole = ranges[part.range];
  KeyAssignment moved = whole;
  moved.first = part.first;
  moved.last = part.last;
  moved.previous = whole.owner;
  moved.owner = owner.id;
  moved.owner_born_ms = owner.born_ms;
  moved.fence = ++fence;
  const auto position =
      ranges.begin() + static_cast<std::ptrdiff_t>(part.range);
  if (part.first == whole.first && part.last == whole.last) {
    whole = moved;
  } else if (part.first == whole.first) {
    whole.first = part.last + 1;
    // What stays begins elsewhere now, so it is granted anew.
    ranges.insert(position, std::move(moved));
  } else {
    whole.last = part.first - 1;
    ranges.insert(position + 1, std::move(moved));
  }
}

// Moves small ranges to the owners of their neighbours.
void Tidy(MonotonicTime now,
          const KeyLoad& load,
          double level,
          std::size_t most_moves,
          std::vector<KeyAssignment>& ranges,
          std::span<Use> uses,
          FenceToken& fence) {
  for (std::size_t move = 0; move < most_moves; ++move) {
    const auto best = FindTidyMove(now, ranges, uses, load, level);
    if (!best) {
      return;
    }
    const KeyAssignment& range = ranges[best->range];
    MovePart(ranges, {best->range, range.first, range.last, best->rate},
             *best->to->target, fence);
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
    FenceToken& fence) {
  std::vector<KeyAssignment> ranges(current.begin(), current.end());
  std::vector<Use> uses = UsesOf(now, ranges, candidates, load);
  const double level = MeanUse(uses) + kGap / 2;
  const std::size_t most_moves = MostMoves(candidates.size());
  const std::size_t most_ranges = kRangesPerTarget * candidates.size();
  std::size_t moves = 0;
  while (moves < most_moves && ranges.size() < most_ranges) {
    const auto [emptiest, fullest] =
        std::minmax_element(uses.begin(), uses.end(), IsLess);
    if (uses.size() < 2 || !IsWorthMove(*fullest, *emptiest)) {
      break;
    }
    const double wanted = WantedRate(*fullest, *emptiest, level);
    const auto part = FindPart(now, ranges, fullest->target->id, load, wanted);
    if (!part) {
      // What is left there cannot be divided; others may still give.
      uses.erase(fullest);
      continue;
    }
    MovePart(ranges, *part, *emptiest->target, fence);
    fullest->rate -= part->rate;
    emptiest->rate += part->rate;
    ++moves;
  }
  const std::size_t tidy_ranges = kTidyRangesPerTarget * candidates.size();
  // Each plan costs a version of the table, so ranges are joined beside other
  // moves, or when there is no room for those.
  if (ranges.size() >= most_ranges ||
      (moves > 0 && ranges.size() > tidy_ranges)) {
    Tidy(now, load, level, kLeastMoves, ranges, uses, fence);
  }
  return ranges;
}

}  // namespace snipehall
