#include "coordination/range_planner.h"

#include <algorithm>
#include <map>
#include <utility>

namespace snipehall {

namespace {

// 128 bits, because the whole space has 2^64 hashes.
__extension__ using Size = unsigned __int128;

// Ranges per target at the first split. With more ranges, the load of a lost
// target is spread over more targets, but tables have more entries.
constexpr std::size_t kInitialRangesPerTarget = 8;
// Number of ranges per target above which ranges are only moved whole, so that
// the loss and addition of targets do not fragment the space without limit.
constexpr std::size_t kMaxRangesPerTarget = 24;

struct Piece {
  HashRange range;
  TargetId owner;
};

Size SizeOf(const HashRange& range) {
  return Size{range.last} - range.first + 1;
}

// The owners of one key range and the changes planned to them.
class Plan {
 public:
  Plan(const HashRange& key_range,
       const ServiceAssignment* assignment,
       std::span<const PlanTarget> targets)
      : m_targets(targets) {
    for (const PlanTarget& target : targets) {
      m_conditions[target.id] = target.condition;
      if (target.condition == TargetCondition::kUsable) {
        m_owned[target.id] = 0;
      }
    }
    Collect(key_range, assignment);
    m_quota = m_owned.empty() ? 0 : SizeOf(key_range) / CountNotLost();
  }

  std::vector<OwnerChange> Make() {
    if (m_owned.empty()) {
      return {};
    }
    const bool all_known = std::none_of(
        m_targets.begin(), m_targets.end(), [](const PlanTarget& target) {
          return target.condition == TargetCondition::kUnknown;
        });
    PlaceOrphans();
    // The first split waits until the condition of every target is known.
    if (!m_unassigned.empty() && all_known) {
      PlaceUnassigned();
    }
    if (m_changes.empty() && m_unassigned.empty() && all_known) {
      FillUnderloaded();
    }
    return std::move(m_changes);
  }

 private:
  void Collect(const HashRange& key_range,
               const ServiceAssignment* assignment) {
    // One past the last hash if nothing is left.
    Size next = key_range.first;
    if (assignment != nullptr) {
      for (const OwnedRange& entry : assignment->ranges) {
        if (!entry.range.Overlaps(key_range)) {
          continue;
        }
        const HashRange part{std::max(entry.range.first, key_range.first),
                             std::min(entry.range.last, key_range.last)};
        if (next < part.first) {
          m_unassigned.push_back(
              {static_cast<std::uint64_t>(next), part.first - 1});
        }
        next = Size{part.last} + 1;
        AddOwned({part, entry.owner});
      }
    }
    if (next <= key_range.last) {
      m_unassigned.push_back(
          {static_cast<std::uint64_t>(next), key_range.last});
    }
  }

  void AddOwned(Piece piece) {
    const auto condition = m_conditions.find(piece.owner);
    if (condition == m_conditions.end() ||
        condition->second == TargetCondition::kLost) {
      m_orphans.push_back(std::move(piece));
      return;
    }
    if (condition->second == TargetCondition::kUsable) {
      m_owned[piece.owner] += SizeOf(piece.range);
    }
    m_pieces.push_back(std::move(piece));
  }

  std::size_t CountNotLost() const {
    return static_cast<std::size_t>(std::count_if(
        m_targets.begin(), m_targets.end(), [](const PlanTarget& target) {
          return target.condition != TargetCondition::kLost;
        }));
  }

  TargetId LeastLoaded() const {
    return std::min_element(
               m_owned.begin(), m_owned.end(),
               [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
  }

  void Assign(const HashRange& range, const TargetId& owner) {
    const auto target =
        std::find_if(m_targets.begin(), m_targets.end(),
                     [&](const PlanTarget& t) { return t.id == owner; });
    m_changes.push_back({range, owner, target->group});
    m_owned[owner] += SizeOf(range);
  }

  // Assigns `range` to the targets with the least space, split where a target's
  // share is full.
  void Spread(HashRange range) {
    while (true) {
      const TargetId owner = LeastLoaded();
      const Size size = SizeOf(range);
      const Size room = m_quota > m_owned[owner] ? m_quota - m_owned[owner] : 0;
      if (room <= MinPieceSize() || size <= room + room / 4 || !MaySplit()) {
        Assign(range, owner);
        return;
      }
      const auto last = range.first + static_cast<std::uint64_t>(room - 1);
      Assign({range.first, last}, owner);
      range.first = last + 1;
    }
  }

  // Smallest space that is worth a range of its own.
  Size MinPieceSize() const { return m_quota / 32; }

  bool MaySplit() const {
    return m_pieces.size() + m_orphans.size() + m_changes.size() <
           kMaxRangesPerTarget * m_owned.size();
  }

  void PlaceOrphans() {
    std::sort(m_orphans.begin(), m_orphans.end(),
              [](const Piece& a, const Piece& b) {
                return SizeOf(a.range) > SizeOf(b.range);
              });
    for (const Piece& orphan : m_orphans) {
      Spread(orphan.range);
    }
  }

  void PlaceUnassigned() {
    for (const HashRange& range : m_unassigned) {
      const Size slice = std::max<Size>(
          SizeOf(range) / (Size{m_owned.size()} * kInitialRangesPerTarget), 1);
      std::uint64_t first = range.first;
      while (true) {
        const Size left = Size{range.last} - first + 1;
        // The last slice takes the remainder of the division.
        if (left < 2 * slice) {
          Assign({first, range.last}, LeastLoaded());
          break;
        }
        const auto last = first + static_cast<std::uint64_t>(slice - 1);
        Assign({first, last}, LeastLoaded());
        first = last + 1;
      }
    }
  }

  // A target with less than half its share is considered new.
  void FillUnderloaded() {
    for (const PlanTarget& target : m_targets) {
      if (target.condition == TargetCondition::kUsable &&
          m_owned[target.id] < m_quota / 2) {
        Fill(target.id);
      }
    }
  }

  void Fill(const TargetId& recipient) {
    Size need = m_quota - m_owned[recipient];
    while (need > MinPieceSize()) {
      Piece* piece = LargestSurplusPiece(recipient, need);
      if (piece == nullptr) {
        return;
      }
      const Size surplus = m_owned[piece->owner] - m_quota;
      const Size size = SizeOf(piece->range);
      Size take = std::min({need, surplus, size});
      if (take < size && !MaySplit()) {
        return;
      }
      HashRange moved = piece->range;
      moved.first = moved.last - static_cast<std::uint64_t>(take - 1);
      m_owned[piece->owner] -= take;
      if (take == size) {
        m_pieces.erase(m_pieces.begin() + (piece - m_pieces.data()));
      } else {
        piece->range.last = moved.first - 1;
      }
      Assign(moved, recipient);
      need -= take;
    }
  }

  // Returns a range of the target with the most space above its share, or null.
  // Ranges that fit whole are preferred to ranges that have to be split.
  Piece* LargestSurplusPiece(const TargetId& recipient, Size need) {
    const TargetId* donor = nullptr;
    Size most = 0;
    for (const auto& [id, owned] : m_owned) {
      if (id != recipient && owned > m_quota && owned - m_quota > most) {
        most = owned - m_quota;
        donor = &id;
      }
    }
    if (donor == nullptr || most <= MinPieceSize()) {
      return nullptr;
    }
    Piece* best = nullptr;
    bool best_fits = false;
    for (Piece& piece : m_pieces) {
      if (piece.owner != *donor) {
        continue;
      }
      const bool fits = SizeOf(piece.range) <= std::min(need, most);
      if (best == nullptr || (fits && !best_fits) ||
          (fits == best_fits && SizeOf(piece.range) > SizeOf(best->range))) {
        best = &piece;
        best_fits = fits;
      }
    }
    return best;
  }

  std::span<const PlanTarget> m_targets;
  std::map<TargetId, TargetCondition> m_conditions;
  // Space owned by each usable target within the key range.
  std::map<TargetId, Size> m_owned;
  Size m_quota = 0;
  std::vector<Piece> m_pieces;
  std::vector<Piece> m_orphans;
  std::vector<HashRange> m_unassigned;
  std::vector<OwnerChange> m_changes;
};

}  // namespace

std::vector<OwnerChange> PlanKeyRange(const HashRange& key_range,
                                      const ServiceAssignment* assignment,
                                      std::span<const PlanTarget> targets) {
  return Plan(key_range, assignment, targets).Make();
}

}  // namespace snipehall
