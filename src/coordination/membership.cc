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

// Takes the last foreign members out as long as local ones wait for a place.
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
    const GroupMembers* present,
    std::span<const MemberCandidate> candidates) {
  std::vector<InstanceId> members;
  std::vector<InstanceId> lost;
  if (present != nullptr) {
    for (const InstanceId& id : present->members) {
      const MemberCandidate* candidate = FindCandidate(candidates, id);
      const bool is_lost = candidate == nullptr || candidate->lost;
      (is_lost ? lost : members).push_back(id);
    }
  }
  MakeRoomForLocal(members, candidates);
  AddAvailable(members, candidates, true);
  AddAvailable(members, candidates, false);
  if (present != nullptr) {
    // A smaller group does not tolerate more losses, so the lost ones keep
    // their places until someone can take them.
    for (const InstanceId& id : lost) {
      if (members.size() < std::min(kGroupSize, present->members.size())) {
        members.push_back(id);
      }
    }
  }
  if (members.empty() || (present != nullptr && members == present->members)) {
    return std::nullopt;
  }
  // An order that differs only by lost members at the end is no change.
  if (present != nullptr &&
      std::is_permutation(members.begin(), members.end(),
                          present->members.begin(), present->members.end())) {
    return std::nullopt;
  }
  return members;
}

}  // namespace snipehall
