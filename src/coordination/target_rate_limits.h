#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// The rate limits that overloaded targets name in their responses. A limit is
// for all instances together, and the leader grants permits for single
// requests; see SharedRateLimiter. While it does not answer, this instance
// sends no more than an equal share.
//
// With many instances a share is less than one request per window. It is
// rounded up or down at random, so that the shares of all instances add up to
// kShareFactor times the limit on average.
class TargetRateLimits {
 public:
  // Time for which a share is assigned. Unused requests expire with it.
  static constexpr Milliseconds kWindow{2000};
  // Part of a limit that is divided among the instances. The rounding of their
  // shares may add up.
  static constexpr double kShareFactor = 0.8;
  // Number of instances that is assumed until the number is known.
  static constexpr int kAssumedInstances = 64;
  // A lower limit counts as this, in requests per second, because only a
  // response shows that the target has lifted it.
  static constexpr double kMinLimit = 0.5;

  explicit TargetRateLimits(std::uint64_t seed) : m_random(seed) {}

  // Sets the number of instances among which limits are divided, at least 1.
  void set_instance_count(int count) { m_instances = count; }

  // Call for each response of the target to a request. `limit` is the rate that
  // the response names, requests per second; none lifts the limit. Returns
  // whether the target had another limit, or none, before.
  bool OnResponse(MonotonicTime now,
                  std::string_view target,
                  std::optional<double> limit);

  // Returns the target's limit, requests per second, or nothing if it has none.
  std::optional<double> Limit(std::string_view target) const;

  // Whether this instance's share allows a request to the target, which has a
  // limit; takes the request from the share.
  bool TryTake(MonotonicTime now, std::string_view target);

  // Time until the next share is assigned; zero without a limit.
  Milliseconds TimeToNextShare(MonotonicTime now,
                               std::string_view target) const;

  // Forgets the targets for which `is_known` returns false.
  template <typename Predicate>
  void Retain(Predicate is_known) {
    std::erase_if(m_targets,
                  [&](const auto& item) { return !is_known(item.first); });
  }

 private:
  struct Share {
    // Limit for all instances, requests per second.
    double limit = 0;
    // Requests that may still be sent in the current window.
    int remaining = 0;
    MonotonicTime window_end;
  };

  // Starts a new window.
  void Assign(MonotonicTime now, Share& share);

  int m_instances = kAssumedInstances;
  std::mt19937_64 m_random;
  std::map<TargetId, Share, std::less<>> m_targets;
};

}  // namespace snipehall
