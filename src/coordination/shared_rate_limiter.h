#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "state/types.h"

namespace snipehall {

// Keeps the requests of all instances to overloaded targets within the rate
// limits that the targets name. The leader has one: an instance asks it for a
// permit for each request to such a target.
class SharedRateLimiter {
 public:
  // Time for which unused permits of a target are kept. Over t seconds, at most
  // the limit times t plus this are granted, or one request more than the limit
  // times t.
  static constexpr Milliseconds kBurstTime{1500};

  // Call with the leader's term before each TryTake(). Permits that were saved
  // in an earlier term are void: another leader has granted permits since.
  void SetTerm(std::uint64_t term);

  // Takes a permit for a request to the target, whose limit is `limit` requests
  // per second, above zero. Returns nothing if it was granted, otherwise the
  // time until the next permit is due.
  std::optional<Milliseconds> TryTake(MonotonicTime now,
                                      std::string_view target,
                                      double limit);

 private:
  // Token bucket of a target; a token permits one request.
  struct Bucket {
    double tokens = 1;
    MonotonicTime updated_at;
  };

  // Removes the buckets that have not been used for long.
  void RemoveUnused(MonotonicTime now);

  std::uint64_t m_term = 0;
  std::map<TargetId, Bucket, std::less<>> m_buckets;
  MonotonicTime m_next_removal_at;
};

}  // namespace snipehall
