#include "coordination/membership_planner.h"

#include <algorithm>

namespace snipehall {

namespace {

// Contact within which an instance may become a member.
constexpr Milliseconds kCandidateContact{3000};
// Time after a start during which other instances may still be unheard.
constexpr Milliseconds kAcquaintance{1000};

bool IsLost(const MembershipView& view, const InstanceId& id) {
  const Milliseconds limit = view.timing.member_replacement;
  const PeerView* peer = view.peers.Find(id);
  const auto absent = view.absent_since.find(id);
  return (peer != nullptr && peer->leaving) ||
         view.duties.IsSilent(view.peers, id, view.now, limit) ||
         (absent != view.absent_since.end() &&
          view.now - absent->second > limit);
}

std::vector<MemberCandidate> Candidates(const MembershipView& view,
                                        std::string_view zone,
                                        const GroupMembers* group) {
  std::vector<MemberCandidate> candidates;
  for (const PlatformInstance& instance : view.instances) {
    if (instance.role != PlatformRole::kEntry) {
      continue;
    }
    const bool heard =
        instance.id == view.self ||
        !view.peers.IsSilent(instance.id, view.now, kCandidateContact);
    candidates.push_back({instance.id, instance.zone == zone, heard,
                          instance.leaving || IsLost(view, instance.id)});
  }
  if (group != nullptr) {
    // Members that the list does not name yet, or no longer names.
    for (const InstanceId& member : group->members) {
      const bool listed = std::any_of(
          candidates.begin(), candidates.end(),
          [&](const MemberCandidate& other) { return other.id == member; });
      if (!listed) {
        // They count as local, so that a lagging list causes no change.
        candidates.push_back({member, true, false, IsLost(view, member)});
      }
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const MemberCandidate& a, const MemberCandidate& b) {
              return a.id < b.id;
            });
  return candidates;
}

bool ProposesNewGroup(const MembershipView& view,
                      std::span<const MemberCandidate> candidates) {
  const bool has_local = std::any_of(
      candidates.begin(), candidates.end(),
      [](const MemberCandidate& candidate) { return candidate.local; });
  // The first available instance, of the zone itself where it has any.
  const auto first = std::find_if(candidates.begin(), candidates.end(),
                                  [&](const MemberCandidate& candidate) {
                                    return candidate.available &&
                                           !candidate.lost &&
                                           (candidate.local || !has_local);
                                  });
  if (first == candidates.end() || first->id != view.self) {
    return false;
  }
  const bool all_heard =
      std::all_of(candidates.begin(), candidates.end(),
                  [](const MemberCandidate& candidate) {
                    return candidate.available || candidate.lost;
                  });
  return all_heard || view.now - view.started > kAcquaintance;
}

bool ProposesChange(const MembershipView& view, const GroupMembers& group) {
  return view.duties.IsActing(view.peers, group, view.now,
                              view.timing.silence) &&
         view.peers.MajorityHasRead(group.members, group.version) &&
         (group.previous_members.empty() ||
          view.peers.MajorityHasRead(group.previous_members, group.version));
}

}  // namespace

std::optional<std::vector<InstanceId>> PlanGroupMembers(
    const MembershipView& view,
    std::string_view zone) {
  const GroupMembers* group = view.state.FindGroup(zone);
  const std::vector<MemberCandidate> candidates = Candidates(view, zone, group);
  const bool proposes = group == nullptr ? ProposesNewGroup(view, candidates)
                                         : ProposesChange(view, *group);
  if (!proposes) {
    return std::nullopt;
  }
  return PlanMembers(group, candidates);
}

}  // namespace snipehall
