#pragma once

#include <span>
#include <vector>

#include "state/key_table.h"
#include "state/target_list.h"

namespace snipehall {

// A target that may own keys.
struct KeyCandidate {
  TargetId id;
  std::int64_t born_ms = 0;
  // Requests that it runs at a time.
  int slots = 1;
};

// Assigns the keys of one service. Ranges whose owner is no candidate go to
// the candidates with the fewest keys, and a candidate without keys takes some
// from those with the most; all else stays, since each move costs the targets
// their warm state. A range that is moving gets another owner when the one it
// moves to is no candidate and cannot hold it.
//
// Changed ranges get the tokens from `fence` + 1 on; `fence` is raised to the
// greatest one. An owner that is no candidate becomes `previous` when
// `may_hold` says that it may still hold the range.
template <typename MayHold>
std::vector<KeyAssignment> PlanKeys(std::span<const KeyAssignment> current,
                                    std::span<const KeyCandidate> candidates,
                                    MayHold may_hold,
                                    FenceToken& fence);

// Equal ranges for all candidates, for a service without assignments.
std::vector<KeyAssignment> PlanFirstKeys(
    std::span<const KeyCandidate> candidates,
    FenceToken& fence);

namespace key_planner_internal {

// The ranges of `current` with new owners. `owners` has the number of keys of
// each candidate and is kept up to date.
std::vector<KeyAssignment> SplitRange(const KeyAssignment& range,
                                      std::span<const KeyCandidate> candidates,
                                      std::vector<std::uint32_t>& sizes);
void FillEmptyCandidates(std::vector<KeyAssignment>& ranges,
                         std::span<const KeyCandidate> candidates,
                         std::vector<std::uint32_t>& sizes,
                         FenceToken& fence);
std::vector<std::uint32_t> CountKeys(std::span<const KeyAssignment> ranges,
                                     std::span<const KeyCandidate> candidates);
const KeyCandidate* FindCandidate(std::span<const KeyCandidate> candidates,
                                  std::string_view id);

}  // namespace key_planner_internal

template <typename MayHold>
std::vector<KeyAssignment> PlanKeys(std::span<const KeyAssignment> current,
                                    std::span<const KeyCandidate> candidates,
                                    MayHold may_hold,
                                    FenceToken& fence) {
  namespace internal = key_planner_internal;
  if (candidates.empty()) {
    return {current.begin(), current.end()};
  }
  std::vector<std::uint32_t> sizes = internal::CountKeys(current, candidates);
  std::vector<KeyAssignment> result;
  for (const KeyAssignment& range : current) {
    const KeyCandidate* owner =
        internal::FindCandidate(candidates, range.owner);
    if (owner != nullptr && owner->born_ms == range.owner_born_ms) {
      result.push_back(range);
      continue;
    }
    if (owner != nullptr) {
      // A new process of the same target holds nothing.
      result.push_back(range);
      result.back().owner_born_ms = owner->born_ms;
      result.back().fence = ++fence;
      continue;
    }
    const bool held = may_hold(range);
    if (range.moving() && held) {
      // Only one earlier owner is recorded; the move ends, or the hold lapses.
      result.push_back(range);
      continue;
    }
    for (KeyAssignment& part : internal::SplitRange(range, candidates, sizes)) {
      part.previous = held ? range.owner : range.previous;
      part.fence = ++fence;
      result.push_back(std::move(part));
    }
  }
  internal::FillEmptyCandidates(result, candidates, sizes, fence);
  return result;
}

}  // namespace snipehall
