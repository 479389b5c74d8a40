#pragma once

#include <span>
#include <vector>

#include "coordination/key_load.h"
#include "coordination/key_planner.h"
#include "state/key_table.h"

namespace snipehall {

// Moves busy keys from the fullest target to the emptiest one, for one service:
// a part of a range whose load closes half of the gap, so that few keys move.
class KeyBalancer {
 public:
  // Moves in one plan. Each waits for work in progress to end, so they are
  // spread over several plans.
  static constexpr int kMaxMoves = 4;
  // A target below this use of its slots gives nothing away.
  static constexpr double kBusy = 0.45;
  // Least gap between the uses of two targets that is worth a move.
  static constexpr double kGap = 0.2;
  // Ranges for each target at the most; each is renewed by itself.
  static constexpr std::size_t kRangesPerTarget = 6;

  // The ranges with some owners changed and new tokens from `fence` + 1 on.
  static std::vector<KeyAssignment> Plan(
      MonotonicTime now,
      std::span<const KeyAssignment> current,
      std::span<const KeyCandidate> candidates,
      const KeyLoad& load,
      FenceToken& fence);
};

}  // namespace snipehall
