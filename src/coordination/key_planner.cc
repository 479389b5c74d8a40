#include "coordination/key_planner.h"

#include <algorithm>
#include <numeric>

namespace snipehall {

namespace {

// Maximum number of candidates among which a range without an owner is split.
// More would balance better, but the leader renews each range separately.
constexpr std::size_t kMaxPartsPerRange = 3;

// Fraction of an equal share of the keys that a candidate without keys gets.
// Below one, because its caches are cold.
constexpr double kNewCandidateShare = 0.8;

}  // namespace

namespace key_planner_internal {

const KeyCandidate* FindCandidate(std::span<const KeyCandidate> candidates,
                                  std::string_view id) {
  const auto found =
      std::find_if(candidates.begin(), candidates.end(),
                   [id](const KeyCandidate& item) { return item.id == id; });
  return found == candidates.end() ? nullptr : &*found;
}

std::vector<std::uint32_t> CountKeys(std::span<const KeyAssignment> ranges,
                                     std::span<const KeyCandidate> candidates) {
  std::vector<std::uint32_t> key_counts(candidates.size(), 0);
  for (const KeyAssignment& range : ranges) {
    if (const KeyCandidate* owner = FindCandidate(candidates, range.owner)) {
      key_counts[static_cast<std::size_t>(owner - candidates.data())] +=
          range.size();
    }
  }
  return key_counts;
}

std::vector<KeyAssignment> SplitRange(const KeyAssignment& range,
                                      std::span<const KeyCandidate> candidates,
                                      std::vector<std::uint32_t>& key_counts) {
  const std::size_t parts =
      std::min<std::size_t>({kMaxPartsPerRange, candidates.size(),
                             static_cast<std::size_t>(range.size())});
  std::vector<KeyAssignment> result;
  KeyNumber next = range.first;
  for (std::size_t part = 0; part < parts; ++part) {
    const std::size_t owner = static_cast<std::size_t>(
        std::min_element(key_counts.begin(), key_counts.end()) -
        key_counts.begin());
    KeyAssignment item;
    item.first = next;
    item.last = static_cast<KeyNumber>(range.first +
                                       range.size() * (part + 1) / parts - 1);
    item.owner = candidates[owner].id;
    item.owner_start_time_ms = candidates[owner].start_time_ms;
    key_counts[owner] += item.size();
    next = item.last + 1;
    result.push_back(std::move(item));
  }
  return result;
}

void AssignKeysToNewCandidates(
    std::vector<KeyAssignment>& ranges,
    std::span<const KeyCandidate> candidates,
    const std::function<bool(const KeyAssignment&)>& may_change,
    std::vector<std::uint32_t>& key_counts,
    FencingToken& fencing_token) {
  const std::uint64_t total =
      std::accumulate(key_counts.begin(), key_counts.end(), std::uint64_t{0});
  const auto wanted = static_cast<std::uint32_t>(
      kNewCandidateShare * static_cast<double>(total) /
      static_cast<double>(candidates.size()));
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (key_counts[i] > 0 || wanted == 0) {
      continue;
    }
    auto largest = ranges.end();
    for (auto it = ranges.begin(); it != ranges.end(); ++it) {
      if (!it->moving() && may_change(*it) &&
          (largest == ranges.end() || it->size() > largest->size())) {
        largest = it;
      }
    }
    if (largest == ranges.end() || largest->size() < 2) {
      return;
    }
    const std::uint32_t moved_keys = std::min(wanted, largest->size() / 2);
    const KeyCandidate* donor = FindCandidate(candidates, largest->owner);
    KeyAssignment moved_range = *largest;
    moved_range.first = largest->last - moved_keys + 1;
    moved_range.owner = candidates[i].id;
    moved_range.owner_start_time_ms = candidates[i].start_time_ms;
    moved_range.previous_owner = largest->owner;
    moved_range.fencing_token = ++fencing_token;
    largest->last = moved_range.first - 1;
    key_counts[i] += moved_keys;
    if (donor != nullptr) {
      key_counts[static_cast<std::size_t>(donor - candidates.data())] -=
          moved_keys;
    }
    ranges.insert(largest + 1, std::move(moved_range));
  }
}

}  // namespace key_planner_internal

std::vector<KeyAssignment> PlanFirstKeys(
    std::span<const KeyCandidate> candidates,
    FencingToken& fencing_token) {
  std::vector<KeyAssignment> result;
  const std::size_t count = candidates.size();
  const std::uint64_t keys = std::uint64_t{kLastKey} + 1;
  for (std::size_t i = 0; i < count; ++i) {
    KeyAssignment item;
    item.first = static_cast<KeyNumber>(keys * i / count);
    item.last = static_cast<KeyNumber>(keys * (i + 1) / count - 1);
    item.owner = candidates[i].id;
    item.owner_start_time_ms = candidates[i].start_time_ms;
    item.fencing_token = ++fencing_token;
    result.push_back(std::move(item));
  }
  return result;
}

}  // namespace snipehall
