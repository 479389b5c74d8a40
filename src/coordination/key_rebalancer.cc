#include "coordination/key_rebalancer.h"

#include <algorithm>
#include <set>

namespace snipehall {

namespace {

using LoadByTarget = std::map<TargetId, std::uint64_t, std::less<>>;

bool IsLessLoaded(const LoadByTarget::value_type& a,
                  const LoadByTarget::value_type& b) {
  return a.second < b.second;
}

// A range that may be moved and its number of requests: a single hot key, or a
// whole owned range with an estimated number.
struct Candidate {
  HashRange range;
  std::uint64_t requests = 0;
  TargetId owner;
};

std::vector<Candidate> HotKeys(const LoadSample& sample,
                               const ServiceAssignment& assignment,
                               std::string_view group) {
  std::vector<Candidate> candidates;
  for (const KeyCount& key : sample.hot_keys) {
    const OwnedRange* range = assignment.Find(key.hash);
    if (range != nullptr && range->group == group) {
      candidates.push_back({{key.hash, key.hash}, key.count, range->owner});
    }
  }
  return candidates;
}

// Returns the ranges owned by `target`. The requests of each are those of its
// hot keys plus a share of the target's other requests in proportion to its
// width.
std::vector<Candidate> WholeRanges(const ServiceAssignment& assignment,
                                   std::span<const Candidate> hot_keys,
                                   std::string_view target,
                                   std::uint64_t target_requests) {
  std::vector<Candidate> candidates;
  double width = 0;
  for (const OwnedRange& range : assignment.ranges) {
    if (range.owner == target && !range.range.IsSingleHash()) {
      candidates.push_back({range.range, 0, range.owner});
      width += static_cast<double>(range.range.last - range.range.first);
    }
  }
  std::uint64_t cold = target_requests;
  for (const Candidate& key : hot_keys) {
    cold -= key.owner == target ? std::min(cold, key.requests) : 0;
  }
  for (Candidate& candidate : candidates) {
    const auto part =
        static_cast<double>(candidate.range.last - candidate.range.first) /
        width;
    candidate.requests =
        static_cast<std::uint64_t>(part * static_cast<double>(cold));
    for (const Candidate& key : hot_keys) {
      if (candidate.range.Overlaps(key.range)) {
        candidate.requests += key.requests;
      }
    }
  }
  return candidates;
}

// The moves planned so far and the resulting loads.
class MovePlan {
 public:
  MovePlan(const LoadSample& sample, std::string_view group) : m_group(group) {
    for (const TargetLoad& load : sample.targets) {
      m_loads[load.target] = load.requests;
      m_total += load.requests;
    }
  }

  std::uint64_t total() const { return m_total; }
  std::size_t targets() const { return m_loads.size(); }
  std::uint64_t Load(std::string_view target) const {
    return m_loads.find(target)->second;
  }
  std::vector<OwnerChange>& changes() { return m_changes; }

  // Returns the most loaded target above `threshold` that is not in
  // `exhausted`, or null.
  const TargetId* MostLoaded(
      double threshold,
      const std::set<TargetId, std::less<>>& exhausted) const {
    const LoadByTarget::value_type* most_loaded = nullptr;
    for (const auto& entry : m_loads) {
      if (static_cast<double>(entry.second) > threshold &&
          !exhausted.contains(entry.first) &&
          (most_loaded == nullptr || IsLessLoaded(*most_loaded, entry))) {
        most_loaded = &entry;
      }
    }
    return most_loaded == nullptr ? nullptr : &most_loaded->first;
  }

  // Plans a move to the least loaded target of the first candidate owned by
  // `from` that leaves the new owner below the current load of `from`. Returns
  // false if there is none.
  bool PlanMove(std::span<const Candidate> candidates, const TargetId& from) {
    const auto to =
        std::min_element(m_loads.begin(), m_loads.end(), IsLessLoaded);
    for (const Candidate& candidate : candidates) {
      if (candidate.owner != from || candidate.requests == 0 ||
          to->second + candidate.requests >= m_loads[from] ||
          Overlaps(candidate.range)) {
        continue;
      }
      m_loads[from] -= std::min(m_loads[from], candidate.requests);
      to->second += candidate.requests;
      m_changes.push_back({candidate.range, to->first, m_group});
      return true;
    }
    return false;
  }

 private:
  // Whether a planned move overlaps the range. The ranges of one record must
  // not overlap.
  bool Overlaps(const HashRange& range) const {
    return std::any_of(m_changes.begin(), m_changes.end(),
                       [&range](const OwnerChange& change) {
                         return change.range.Overlaps(range);
                       });
  }

  GroupId m_group;
  LoadByTarget m_loads;
  std::uint64_t m_total = 0;
  std::vector<OwnerChange> m_changes;
};

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
  MovePlan plan(sample, group);
  if (plan.total() < m_options.min_requests || plan.targets() < 2) {
    return {};
  }
  const std::vector<Candidate> hot_keys = HotKeys(sample, assignment, group);
  for (const Candidate& key : hot_keys) {
    m_return_at[key.range.first] = now + m_options.cold_after;
  }
  const double threshold = m_options.overload_ratio *
                           static_cast<double>(plan.total()) /
                           static_cast<double>(plan.targets());
  // Targets without any range that can be moved.
  std::set<TargetId, std::less<>> exhausted;
  std::size_t range_moves = 0;
  while (plan.changes().size() < m_options.max_moves) {
    const TargetId* most_loaded = plan.MostLoaded(threshold, exhausted);
    if (most_loaded == nullptr) {
      break;
    }
    if (plan.PlanMove(hot_keys, *most_loaded)) {
      continue;
    }
    if (range_moves < m_options.max_range_moves &&
        plan.PlanMove(WholeRanges(assignment, hot_keys, *most_loaded,
                                  plan.Load(*most_loaded)),
                      *most_loaded)) {
      ++range_moves;
      continue;
    }
    exhausted.insert(*most_loaded);
  }
  PlanReturns(now, assignment, group, plan.changes());
  return std::move(plan.changes());
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
