#include "coordination/key_rebalancer.h"

#include <algorithm>
#include <optional>
#include <set>

namespace snipehall {

namespace {

using LoadByTarget = std::map<TargetId, std::uint64_t, std::less<>>;

bool ByLoad(const LoadByTarget::value_type& a,
            const LoadByTarget::value_type& b) {
  return a.second < b.second;
}

// A hot key with its owner.
struct Candidate {
  KeyCount key;
  TargetId owner;
  bool moved = false;
};

std::vector<Candidate> FindCandidates(const LoadSample& sample,
                                      const ServiceAssignment& assignment,
                                      std::string_view group) {
  std::vector<Candidate> candidates;
  for (const KeyCount& key : sample.hot_keys) {
    const OwnedRange* range = assignment.Find(key.hash);
    if (range != nullptr && range->group == group) {
      candidates.push_back({key, range->owner});
    }
  }
  return candidates;
}

// The largest key of the fullest target whose move to the idlest one leaves
// both below the load that the fullest has now.
Candidate* BestMove(std::vector<Candidate>& candidates,
                    std::string_view from,
                    std::uint64_t from_load,
                    std::uint64_t to_load) {
  const auto found = std::find_if(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return !candidate.moved && candidate.owner == from &&
               to_load + candidate.key.count < from_load;
      });
  return found == candidates.end() ? nullptr : &*found;
}

}  // namespace

Result<KeyRebalancer> KeyRebalancer::Create(KeyRebalancerOptions options) {
  if (options.overload_ratio <= 1) {
    return Fail(ErrorCode::kInvalidArgument,
                "overload_ratio must be greater than 1");
  }
  return KeyRebalancer(options);
}

std::vector<OwnerChange> KeyRebalancer::Plan(
    MonotonicTime now,
    const LoadSample& sample,
    const ServiceAssignment& assignment,
    std::string_view group) {
  std::vector<OwnerChange> changes;
  LoadByTarget loads;
  std::uint64_t total = 0;
  for (const TargetLoad& load : sample.targets) {
    loads[load.target] = load.requests;
    total += load.requests;
  }
  if (total < m_options.min_requests || loads.size() < 2) {
    return changes;
  }
  std::vector<Candidate> candidates = FindCandidates(sample, assignment, group);
  for (const Candidate& candidate : candidates) {
    m_return_at[candidate.key.hash] = now + m_options.cold_after;
  }
  const double threshold = m_options.overload_ratio *
                           static_cast<double>(total) /
                           static_cast<double>(loads.size());
  while (changes.size() < m_options.max_moves) {
    const auto to = std::min_element(loads.begin(), loads.end(), ByLoad);
    const auto from = std::max_element(loads.begin(), loads.end(), ByLoad);
    if (static_cast<double>(from->second) <= threshold) {
      break;
    }
    Candidate* best =
        BestMove(candidates, from->first, from->second, to->second);
    if (best == nullptr) {
      break;
    }
    best->moved = true;
    best->owner = to->first;
    from->second -= std::min(from->second, best->key.count);
    to->second += best->key.count;
    changes.push_back(
        {HashRange{best->key.hash, best->key.hash}, to->first, GroupId(group)});
  }
  PlanReturns(now, assignment, group, changes);
  return changes;
}

void KeyRebalancer::PlanReturns(MonotonicTime now,
                                const ServiceAssignment& assignment,
                                std::string_view group,
                                std::vector<OwnerChange>& changes) {
  std::set<std::uint64_t> present;
  for (std::size_t i = 0; i < assignment.ranges.size(); ++i) {
    const OwnedRange& range = assignment.ranges[i];
    if (!range.range.IsSingleHash() || range.group != group) {
      continue;
    }
    const std::uint64_t hash = range.range.first;
    present.insert(hash);
    const auto known =
        m_return_at.try_emplace(hash, now + m_options.cold_after);
    const bool expired = known.first->second <= now;
    if (!expired || changes.size() >= m_options.max_moves || i == 0) {
      continue;
    }
    const OwnedRange& neighbour = assignment.ranges[i - 1];
    if (neighbour.group == group && neighbour.owner != range.owner) {
      changes.push_back({range.range, neighbour.owner, GroupId(group)});
    }
  }
  std::erase_if(m_return_at, [&](const auto& entry) {
    return entry.second <= now && !present.contains(entry.first);
  });
}

}  // namespace snipehall
