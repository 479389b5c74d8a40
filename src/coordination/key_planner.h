#pragma once

#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "state/key_table.h"
#include "state/target_list.h"

namespace snipehall {

// A target that may own keys.
struct KeyCandidate {
  TargetId id;
  std::int64_t start_time_ms = 0;
  // Number of requests that it runs concurrently.
  int slots = 1;
  // Rate limit that it has named, requests per second; no value without one.
  std::optional<double> rate_limit = std::nullopt;
};

// Returns the assignments of one service for a changed set of candidates.
// Ranges whose owner is not a candidate go to the candidates with the fewest
// keys, and a candidate without keys gets part of the largest range. All other
// ranges keep their owners, since a move costs the targets their cached state.
// A moving range gets another new owner only when its new owner is not a
// candidate and cannot hold it.
//
// Changed ranges get the tokens from `fencing_token` + 1 on; `fencing_token` is
// raised to the greatest one. An owner that is not a candidate becomes
// `previous_owner` when `may_hold(range)` returns that it may still hold the
// range. Ranges for which `may_change(range)` is false stay as they are.
template <typename MayHold, typename MayChange>
std::vector<KeyAssignment> PlanKeys(std::span<const KeyAssignment> current,
                                    std::span<const KeyCandidate> candidates,
                                    MayHold may_hold,
                                    MayChange may_change,
                                    FencingToken& fencing_token);

// Returns the first assignments of a service: ranges of equal size for all
// candidates, which must not be empty. Tokens are taken from `fencing_token` as
// in PlanKeys().
std::vector<KeyAssignment> PlanFirstKeys(
    std::span<const KeyCandidate> candidates,
    FencingToken& fencing_token);

namespace key_planner_internal {

// Splits the range among the candidates with the fewest keys. `key_counts` has
// the number of keys of each candidate and is updated.
std::vector<KeyAssignment> SplitRange(const KeyAssignment& range,
                                      std::span<const KeyCandidate> candidates,
                                      std::vector<std::uint32_t>& key_counts);
// Gives each candidate without keys the upper end of the largest range that is
// not moving and may change.
void AssignKeysToNewCandidates(
    std::vector<KeyAssignment>& ranges,
    std::span<const KeyCandidate> candidates,
    const std::function<bool(const KeyAssignment&)>& may_change,
    std::vector<std::uint32_t>& key_counts,
    FencingToken& fencing_token);
// Returns the number of keys of each candidate.
std::vector<std::uint32_t> CountKeys(std::span<const KeyAssignment> ranges,
                                     std::span<const KeyCandidate> candidates);
// Returns the candidate with the id, or null.
const KeyCandidate* FindCandidate(std::span<const KeyCandidate> candidates,
                                  std::string_view id);

}  // namespace key_planner_internal

template <typename MayHold, typename MayChange>
std::vector<KeyAssignment> PlanKeys(std::span<const KeyAssignment> current,
                                    std::span<const KeyCandidate> candidates,
                                    MayHold may_hold,
                                    MayChange may_change,
                                    FencingToken& fencing_token) {
  namespace internal = key_planner_internal;
  if (candidates.empty()) {
    return {current.begin(), current.end()};
  }
  std::vector<std::uint32_t> key_counts =
      internal::CountKeys(current, candidates);
  std::vector<KeyAssignment> result;
  for (const KeyAssignment& range : current) {
    const KeyCandidate* owner =
        internal::FindCandidate(candidates, range.owner);
    const bool same_process =
        owner != nullptr && owner->start_time_ms == range.owner_start_time_ms;
    if (same_process || !may_change(range)) {
      result.push_back(range);
      continue;
    }
    if (owner != nullptr) {
      // A restarted process holds no keys, so no release is needed.
      result.push_back(range);
      result.back().owner_start_time_ms = owner->start_time_ms;
      result.back().fencing_token = ++fencing_token;
      continue;
    }
    const bool held = may_hold(range);
    if (range.moving() && held) {
      // Only one former owner can be recorded, so wait until the move completes
      // or the grant expires.
      result.push_back(range);
      continue;
    }
    for (KeyAssignment& part :
         internal::SplitRange(range, candidates, key_counts)) {
      part.previous_owner = held ? range.owner : range.previous_owner;
      part.fencing_token = ++fencing_token;
      result.push_back(std::move(part));
    }
  }
  internal::AssignKeysToNewCandidates(result, candidates, may_change,
                                      key_counts, fencing_token);
  return result;
}

}  // namespace snipehall
