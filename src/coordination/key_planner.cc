#include "coordination/key_planner.h"

#include <algorithm>
#include <numeric>

namespace snipehall {

namespace {

// A range without an owner is divided among at most this many candidates: more
// would balance better, but every range costs the lead its own renewals.
constexpr std::size_t kMaxParts = 3;

// Share of an equal part that a candidate without keys takes. Less than one,
// because it starts cold.
constexpr double kNewcomerShare = 0.8;

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
  std::vector<std::uint32_t> sizes(candidates.size(), 0);
  for (const KeyAssignment& range : ranges) {
    if (const KeyCandidate* owner = FindCandidate(candidates, range.owner)) {
      sizes[static_cast<std::size_t>(owner - candidates.data())] +=
          range.size();
    }
  }
  return sizes;
}

std::vector<KeyAssignment> SplitRange(const KeyAssignment& range,
                                      std::span<const KeyCandidate> candidates,
                                      std::vector<std::uint32_t>& sizes) {
  const std::size_t parts = std::min<std::size_t>(
      {kMaxParts, candidates.size(), static_cast<std::size_t>(range.size())});
  std::vector<KeyAssignment> result;
  KeyNumber next = range.first;
  for (std::size_t part = 0; part < parts; ++part) {
    const std::size_t owner = static_cast<std::size_t>(
        std::min_element(sizes.begin(), sizes.end()) - sizes.begin());
    KeyAssignment item;
    item.first = next;
    item.last = static_cast<KeyNumber>(range.first +
                                       range.size() * (part + 1) / parts - 1);
    item.owner = candidates[owner].id;
    item.owner_born_ms = candidates[owner].born_ms;
    sizes[owner] += item.size();
    next = item.last + 1;
    result.push_back(std::move(item));
  }
  return result;
}

void FillEmptyCandidates(std::vector<KeyAssignment>& ranges,
                         std::span<const KeyCandidate> candidates,
                         std::vector<std::uint32_t>& sizes,
                         FenceToken& fence) {
  const std::uint64_t total =
      std::accumulate(sizes.begin(), sizes.end(), std::uint64_t{0});
  const auto wanted =
      static_cast<std::uint32_t>(kNewcomerShare * static_cast<double>(total) /
                                 static_cast<double>(candidates.size()));
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (sizes[i] > 0 || wanted == 0) {
      continue;
    }
    // The largest settled range gives up its upper end.
    auto largest = ranges.end();
    for (auto it = ranges.begin(); it != ranges.end(); ++it) {
      if (!it->moving() &&
          (largest == ranges.end() || it->size() > largest->size())) {
        largest = it;
      }
    }
    if (largest == ranges.end() || largest->size() < 2) {
      return;
    }
    const std::uint32_t given = std::min(wanted, largest->size() / 2);
    const KeyCandidate* giver = FindCandidate(candidates, largest->owner);
    KeyAssignment taken = *largest;
    taken.first = largest->last - given + 1;
    taken.owner = candidates[i].id;
    taken.owner_born_ms = candidates[i].born_ms;
    taken.previous = largest->owner;
    taken.fence = ++fence;
    largest->last = taken.first - 1;
    sizes[i] += given;
    if (giver != nullptr) {
      sizes[static_cast<std::size_t>(giver - candidates.data())] -= given;
    }
    ranges.insert(largest + 1, std::move(taken));
  }
}

}  // namespace key_planner_internal

std::vector<KeyAssignment> PlanFirstKeys(
    std::span<const KeyCandidate> candidates,
    FenceToken& fence) {
  std::vector<KeyAssignment> result;
  const std::size_t count = candidates.size();
  const std::uint64_t keys = std::uint64_t{kLastKey} + 1;
  for (std::size_t i = 0; i < count; ++i) {
    KeyAssignment item;
    item.first = static_cast<KeyNumber>(keys * i / count);
    item.last = static_cast<KeyNumber>(keys * (i + 1) / count - 1);
    item.owner = candidates[i].id;
    item.owner_born_ms = candidates[i].born_ms;
    item.fence = ++fence;
    result.push_back(std::move(item));
  }
  return result;
}

}  // namespace snipehall
