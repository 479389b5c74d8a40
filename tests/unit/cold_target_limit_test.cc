#include "coordination/cold_target_limit.h"

#include <algorithm>
#include <array>
#include <deque>
#include <random>

#include "coordination/shared_rate_limiter.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

// Returns the greatest number of permits that two leaders grant together in any
// second of a minute of random demand with rests.
std::size_t MaxPermitsInOneSecond(double rate, std::mt19937_64& random) {
  std::array<SharedRateLimiter, 2> leaders;
  std::deque<MonotonicTime> recent;
  std::size_t most = 0;
  MonotonicTime now = MonotonicTime(std::chrono::hours(1));
  const MonotonicTime end = now + std::chrono::minutes(1);
  while (now < end) {
    const bool rests = random() % 200 == 0;
    now += Milliseconds(random() % (rests ? 4000 : 10));
    for (SharedRateLimiter& leader : leaders) {
      if (random() % 4 != 0 && !leader.TryTake(now, "target", rate)) {
        recent.push_back(now);
      }
    }
    while (!recent.empty() && now - recent.front() > Milliseconds(1000)) {
      recent.pop_front();
    }
    most = std::max(most, recent.size());
  }
  return most;
}

Test(cold_target_limit, two_leaders_stay_within_the_bound) {
  std::mt19937_64 random(20261206);
  for (const double cold_rate : {0.4, 1.0, 3.0, 12.0, 60.0, 400.0}) {
    for (const ColdTargetBounds& bounds :
         {ColdTargetBounds{1.5, 8}, ColdTargetBounds{1, 2},
          ColdTargetBounds{2.5, 1.1}}) {
      const double bound = cold_rate * bounds.overage + bounds.slack;
      const double rate = ColdPermitRate(cold_rate, bounds);
      cr_assert(rate > 0 && rate <= cold_rate);
      const std::size_t most = MaxPermitsInOneSecond(rate, random);
      cr_assert(static_cast<double>(most) <= bound,
                "cold rate %.1f, bound %.1f: %zu in one second", cold_rate,
                bound, most);
    }
  }
}

Test(cold_target_limit, target_is_cold_until_its_warm_up_has_ended) {
  const MonotonicTime start = MonotonicTime(std::chrono::hours(1));
  ListedTarget target;
  cr_assert(!IsCold(start, target, 10));
  target.warmup_until = start + Milliseconds(100);
  cr_assert(IsCold(start, target, 10));
  cr_assert(!IsCold(start, target, 0));
  cr_assert(!IsCold(target.warmup_until, target, 10));
}

}  // namespace
}  // namespace snipehall::test
