#include "coordination/completion_chooser.h"

#include <algorithm>
#include <limits>

namespace snipehall {

namespace {

// Time that a target of another zone must save, relative to the mean service
// time.
constexpr double kZoneAdvantage = 0.3;

// Weight of a busy slot against an idle one: a target with free slots takes the
// next request at once.
constexpr double kBusySlotWeight = 0.25;

// Own loads that differ by less count as equal.
constexpr double kOwnLoadTolerance = 0.5;

double Capacity(const CompletionCandidate& candidate) {
  return candidate.ramp * candidate.slots / candidate.relative_time;
}

// Draws a candidate for which `is_eligible` holds, with a probability in
// proportion to its capacity; null if there is none.
template <typename Predicate>
const CompletionCandidate* Draw(std::span<const CompletionCandidate> candidates,
                                std::mt19937_64& random,
                                Predicate is_eligible) {
  double total = 0;
  for (const CompletionCandidate& candidate : candidates) {
    if (is_eligible(candidate)) {
      total += Capacity(candidate);
    }
  }
  double left = std::uniform_real_distribution<double>(0, total)(random);
  const CompletionCandidate* drawn = nullptr;
  for (const CompletionCandidate& candidate : candidates) {
    if (!is_eligible(candidate)) {
      continue;
    }
    drawn = &candidate;
    left -= Capacity(candidate);
    if (left < 0) {
      break;
    }
  }
  return drawn;
}

// The better one of two candidates of the own zone, or of other zones.
const CompletionCandidate* DrawBest(
    std::span<const CompletionCandidate> candidates,
    std::mt19937_64& random,
    bool local) {
  double least_load = std::numeric_limits<double>::infinity();
  for (const CompletionCandidate& candidate : candidates) {
    if (candidate.local == local) {
      least_load = std::min(least_load, candidate.own_load);
    }
  }
  const auto is_eligible = [local, least_load](const auto& item) {
    return item.local == local &&
           item.own_load < least_load + kOwnLoadTolerance;
  };
  const CompletionCandidate* first = Draw(candidates, random, is_eligible);
  const CompletionCandidate* second =
      Draw(candidates, random, [&is_eligible, first](const auto& item) {
        return is_eligible(item) && &item != first;
      });
  const CompletionCandidate* best =
      second != nullptr && second->Completion() < first->Completion() ? second
                                                                      : first;
  if (best == nullptr || best->QueueLength() <= 0) {
    return best;
  }
  // Both are full, so the others are worth a look.
  for (const CompletionCandidate& candidate : candidates) {
    if (is_eligible(candidate) && candidate.Completion() < best->Completion()) {
      best = &candidate;
    }
  }
  return best;
}

}  // namespace

double CompletionCandidate::QueueLength() const {
  return std::max(0.0, outstanding + 1 - slots) / slots;
}

double CompletionCandidate::Completion() const {
  return relative_time *
         (1 + QueueLength() + kBusySlotWeight * outstanding / slots);
}

std::optional<std::size_t> ChooseByCompletion(
    std::span<const CompletionCandidate> candidates,
    std::mt19937_64& random) {
  const CompletionCandidate* local = DrawBest(candidates, random, true);
  if (local != nullptr && local->QueueLength() <= 0) {
    return local->index;
  }
  const CompletionCandidate* remote = DrawBest(candidates, random, false);
  if (local == nullptr && remote == nullptr) {
    return std::nullopt;
  }
  const bool take_remote =
      local == nullptr ||
      (remote != nullptr &&
       remote->Completion() + kZoneAdvantage < local->Completion());
  return take_remote ? remote->index : local->index;
}

}  // namespace snipehall
