#pragma once

#include <span>
#include <vector>

#include "coordination/key_load.h"
#include "coordination/key_planner.h"
#include "state/key_table.h"

namespace snipehall {

// Balances the load of the keys of one service: moves parts of ranges from the
// most loaded targets to the least loaded ones. Each part is chosen to close
// half of the gap, or to raise the receiving target to the mean utilization
// plus half of kMinUtilizationGap, so that few keys move. Merges small ranges
// again once there are many. Utilization is request rate times service time per
// slot, or request rate by the target's rate limit if that is more; 1 means
// that all slots are busy.
class KeyBalancer {
 public:
  // Moves in one plan are limited to one for every kTargetsPerMove targets, and
  // to kMinMoves if that is more. A move has to wait for requests in progress,
  // so only some of the targets may take part at once.
  static constexpr std::size_t kMinMoves = 4;
  static constexpr std::size_t kTargetsPerMove = 2;
  // Keys are moved away only from targets with at least this utilization.
  static constexpr double kMinSourceUtilization = 0.45;
  // Minimum difference between the utilizations of two targets for a move.
  static constexpr double kMinUtilizationGap = 0.2;
  // Up to this utilization, a target takes keys from one that is at its rate
  // limit. Above it, requests would queue there, which is worse for callers
  // than to be refused at once.
  static constexpr double kMaxUtilizationForLimited = 0.8;
  // Maximum number of ranges per target, since each range costs its own
  // renewals.
  static constexpr std::size_t kMaxRangesPerTarget = 10;
  // Above this number of ranges per target, small ranges are moved to the owner
  // of an adjacent range, so that the two can be merged.
  static constexpr std::size_t kMergeRangesPerTarget = 5;
  // Largest range that is moved for a merge, in keys.
  static constexpr std::uint32_t kMaxMergeKeys = 512;

  // Returns `current` with some parts of ranges given to other owners, or
  // unchanged when no move is worth its cost. Changed ranges get the tokens
  // from `fencing_token` + 1 on; `fencing_token` is raised to the greatest one.
  // The leader calls it periodically.
  static std::vector<KeyAssignment> Plan(
      MonotonicTime now,
      std::span<const KeyAssignment> current,
      std::span<const KeyCandidate> candidates,
      const KeyLoad& load,
      FencingToken& fencing_token);
};

}  // namespace snipehall
