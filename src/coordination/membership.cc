#include "coordination/membership.h"

#include <algorithm>

namespace snipehall {

namespace {

bool Contains(const std::vector<InstanceId>& members, const InstanceId& id) {
  return std::find(members.begin(), members.end(), id) != members.end();
}

const MemberCandidate* FindCandidate(
    std::span<const MemberCandidate> candidates,
    const InstanceId& id) {
  const auto found = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const MemberCandidate& candidate) { return candidate.id == id; });
  return found == candidates.end() ? nullptr : &*found;
}

void AddAvailable(std::vector<InstanceId>& members,
                  std::span<const MemberCandidate> candidates,
                  bool local) {
  for (const MemberCandidate& candidate : candidates) {
    if (members.size() < kGroupSize && candidate.available && !candidate.lost &&
        candidate.local == local && !Contains(members, candidate.id)) {
      members.push_back(candidate.id);
    }
  }
}

// Removes the last members from other zones as long as local candidates need a
// place.
void MakeRoomForLocal(std::vector<InstanceId>& members,
                      std::span<const MemberCandidate> candidates) {
  auto waiting = std::count_if(candidates.begin(), candidates.end(),
                               [&](const MemberCandidate& candidate) {
                                 return candidate.local &&
                                        candidate.available &&
                                        !candidate.lost &&
                                        !Contains(members, candidate.id);
                               });
  waiting -= static_cast<std::ptrdiff_t>(kGroupSize -
                                         std::min(kGroupSize, members.size()));
  for (std::size_t i = members.size(); i > 0 && waiting > 0; --i) {
    const MemberCandidate* candidate =
        FindCandidate(candidates, members[i - 1]);
    if (candidate != nullptr && !candidate->local) {
      members.erase(members.begin() + static_cast<std::ptrdiff_t>(i - 1));
      --waiting;
    }
  }
}

}  // namespace

std::optional<std::vector<InstanceId>> PlanMembers(
    const GroupMembers* current,
    std::span<const MemberCandidate> candidates) {
  std::vector<InstanceId> members;
  std::vector<InstanceId> lost;
  if (current != nullptr) {
    for (const InstanceId& id : current->members) {
      const MemberCandidate* candidate = FindCandidate(candidates, id);
      const bool is_lost = candidate == nullptr || candidate->lost;
      (is_lost ? lost : members).push_back(id);
    }
  }
  MakeRoomForLocal(members, candidates);
  AddAvailable(members, candidates, true);
  AddAvailable(members, candidates, false);
  if (current != nullptr) {
    // A smaller group does not tolerate more failures, so lost members keep
    // their places until there are replacements.
    for (const InstanceId& id : lost) {
      if (members.size() < std::min(kGroupSize, current->members.size())) {
        members.push_back(id);
      }
    }
  }
  if (members.empty() || (current != nullptr && members == current->members)) {
    return std::nullopt;
  }
  // A list that only orders the same members differently is no change.
  if (current != nullptr &&
      std::is_permutation(members.begin(), members.end(),
                          current->members.begin(), current->members.end())) {
    return std::nullopt;
  }
  return members;
}

}  // namespace snipehall
