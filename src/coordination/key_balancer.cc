#include "coordination/key_balancer.h"

#include <algorithm>
#include <optional>

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

}  // namespace

std::vector<KeyAssignment> KeyBalancer::Plan(
    MonotonicTime now,
    std::span<const KeyAssignment> current,
    std::span<const KeyCandidate> candidates,
    const KeyLoad& load,
    FenceToken& fence) {
  std::vector<KeyAssignment> ranges(current.begin(), current.end());
  std::vector<Use> uses;
  for (const KeyCandidate& candidate : candidates) {
    Use use;
    use.target = &candidate;
    use.seconds_per_slot = load.Seconds(candidate.id) / candidate.slots;
    for (const KeyAssignment& range : ranges) {
      if (range.owner == candidate.id) {
        use.rate += load.Rate(now, range.first, range.last);
      }
    }
    uses.push_back(use);
  }
  const auto less = [](const Use& left, const Use& right) {
    return left.value() < right.value();
  };
  for (int move = 0; move < kMaxMoves && uses.size() > 1; ++move) {
    const auto fullest = std::max_element(uses.begin(), uses.end(), less);
    const auto emptiest = std::min_element(uses.begin(), uses.end(), less);
    const double gap = fullest->value() - emptiest->value();
    if (fullest->value() < kBusy || gap < kGap ||
        ranges.size() >= kRangesPerTarget * candidates.size()) {
      break;
    }
    const double wanted =
        gap / (fullest->seconds_per_slot + emptiest->seconds_per_slot);
    std::optional<RangePart> best;
    for (std::size_t i = 0; i < ranges.size(); ++i) {
      if (ranges[i].owner == fullest->target->id && !ranges[i].moving()) {
        ConsiderRange(now, ranges[i], i, load, wanted, best);
      }
    }
    if (!best) {
      break;
    }
    MovePart(ranges, *best, *emptiest->target, fence);
    fullest->rate -= best->rate;
    emptiest->rate += best->rate;
  }
  return ranges;
}

}  // namespace snipehall
