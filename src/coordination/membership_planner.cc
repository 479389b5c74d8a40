#include "coordination/membership_planner.h"

#include <algorithm>

namespace snipehall {

namespace {

// Only instances heard from within this time may become members.
constexpr Milliseconds kCandidateMaxSilence{3000};
// Time after the start during which other instances may not have been heard
// from yet.
constexpr Milliseconds kDiscoveryPeriod{1000};

bool IsLost(const MembershipInput& input, const InstanceId& id) {
  const Milliseconds limit = input.timing.member_replacement;
  const PeerStatus* peer = input.peers.Find(id);
  const auto absent = input.absent_since.find(id);
  return (peer != nullptr && peer->leaving) ||
         input.selector.IsUnresponsive(input.peers, id, input.now, limit) ||
         (absent != input.absent_since.end() &&
          input.now - absent->second > limit);
}

std::vector<MemberCandidate> Candidates(const MembershipInput& input,
                                        std::string_view zone,
                                        const GroupMembers* group) {
  std::vector<MemberCandidate> candidates;
  for (const PlatformInstance& instance : input.instances) {
    if (instance.role != PlatformRole::kEntry) {
      continue;
    }
    const bool heard = instance.id == input.self ||
                       !input.peers.IsUnresponsive(instance.id, input.now,
                                                   kCandidateMaxSilence);
    candidates.push_back({instance.id, instance.zone == zone, heard,
                          instance.leaving || IsLost(input, instance.id)});
  }
  if (group != nullptr) {
    // Members that are not on the list yet or no longer.
    for (const InstanceId& member : group->members) {
      const bool listed = std::any_of(
          candidates.begin(), candidates.end(),
          [&](const MemberCandidate& other) { return other.id == member; });
      if (!listed) {
        // They count as local, so that an outdated list causes no change.
        candidates.push_back({member, true, false, IsLost(input, member)});
      }
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const MemberCandidate& a, const MemberCandidate& b) {
              return a.id < b.id;
            });
  return candidates;
}

bool ProposesNewGroup(const MembershipInput& input,
                      std::span<const MemberCandidate> candidates) {
  const bool has_local = std::any_of(
      candidates.begin(), candidates.end(),
      [](const MemberCandidate& candidate) { return candidate.local; });
  // The first available instance, taken from the zone itself if it has any.
  const auto first = std::find_if(candidates.begin(), candidates.end(),
                                  [&](const MemberCandidate& candidate) {
                                    return candidate.available &&
                                           !candidate.lost &&
                                           (candidate.local || !has_local);
                                  });
  if (first == candidates.end() || first->id != input.self) {
    return false;
  }
  const bool all_heard =
      std::all_of(candidates.begin(), candidates.end(),
                  [](const MemberCandidate& candidate) {
                    return candidate.available || candidate.lost;
                  });
  return all_heard || input.now - input.started > kDiscoveryPeriod;
}

bool ProposesChange(const MembershipInput& input, const GroupMembers& group) {
  return input.selector.IsCoordinator(input.peers, group, input.now,
                                      input.timing.silence_timeout) &&
         input.peers.MajorityHasRead(group.members, group.version) &&
         (group.previous_members.empty() ||
          input.peers.MajorityHasRead(group.previous_members, group.version));
}

}  // namespace

std::optional<std::vector<InstanceId>> PlanGroupMembers(
    const MembershipInput& input,
    std::string_view zone) {
  const GroupMembers* group = input.state.FindGroup(zone);
  const std::vector<MemberCandidate> candidates =
      Candidates(input, zone, group);
  const bool proposes = group == nullptr ? ProposesNewGroup(input, candidates)
                                         : ProposesChange(input, *group);
  if (!proposes) {
    return std::nullopt;
  }
  return PlanMembers(group, candidates);
}

}  // namespace snipehall
