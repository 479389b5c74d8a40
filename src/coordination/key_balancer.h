#pragma once

#include <span>
#include <vector>

#include "coordination/key_load.h"
#include "coordination/key_planner.h"
#include "state/key_table.h"

namespace snipehall {

// Moves busy keys from the fullest targets to the emptiest ones, for one
// service: parts of ranges whose load closes half of the gap or fills the
// emptiest target up to the mean, so that few keys move. Once there are many
// ranges, joins some again.
class KeyBalancer {
 public:
  // Moves in one plan: at least so many, and one for so many targets. Each
  // waits for work in progress to end, so only some of the targets take part.
  static constexpr std::size_t kLeastMoves = 4;
  static constexpr std::size_t kTargetsPerMove = 2;
  // A target below this use of its slots gives nothing away.
  static constexpr double kBusy = 0.45;
  // Least gap between the uses of two targets that is worth a move.
  static constexpr double kGap = 0.2;
  // Ranges for each target at the most; each is renewed by itself.
  static constexpr std::size_t kRangesPerTarget = 10;
  // From so many ranges for each target on, small ones go to the owner of a
  // neighbour, to become one range with it.
  static constexpr std::size_t kTidyRangesPerTarget = 5;
  // Longest range that is moved for that, keys.
  static constexpr std::uint32_t kTidyKeys = 512;

  // The ranges with some owners changed and new tokens from `fence` + 1 on.
  static std::vector<KeyAssignment> Plan(
      MonotonicTime now,
      std::span<const KeyAssignment> current,
      std::span<const KeyCandidate> candidates,
      const KeyLoad& load,
      FenceToken& fence);
};

}  // namespace snipehall
