#include "coordination/target_rate_limits.h"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

constexpr Milliseconds kObservation{4000};
// What a target allows in any kObservation, as a multiple of its limit, and
// beside that.
constexpr double kAllowedFactor = 1.5;
constexpr int kAllowedExcess = 5;

// Instances that send requests to one target which limits its rate.
class Instances {
 public:
  Instances(int count, double limit, std::uint64_t seed) : m_random(seed) {
    for (int i = 0; i < count; ++i) {
      m_instances.emplace_back(seed * 1000 + static_cast<std::uint64_t>(i));
      m_instances.back().set_instance_count(count);
      m_instances.back().OnResponse(m_now, "target", limit);
    }
  }

  // Offers `rate` requests per second to random instances for `duration`.
  // Returns the number sent, and updates max_sent().
  int Offer(double rate, Milliseconds duration) {
    int sent = 0;
    std::exponential_distribution<double> interval(rate);
    const MonotonicTime end = m_now + duration;
    for (;;) {
      m_now += std::chrono::duration_cast<MonotonicTime::duration>(
          std::chrono::duration<double>(interval(m_random)));
      if (m_now >= end) {
        m_now = end;
        return sent;
      }
      TargetRateLimits& instance = m_instances[m_random() % m_instances.size()];
      if (instance.TryTake(m_now, "target")) {
        ++sent;
        RecordSent();
      }
    }
  }

  void Rest(Milliseconds duration) { m_now += duration; }
  // Greatest number of requests sent in any kObservation.
  int max_sent() const { return m_max_sent; }

 private:
  void RecordSent() {
    m_sent.push_back(m_now);
    while (m_now - m_sent.front() > kObservation) {
      m_sent.pop_front();
    }
    m_max_sent = std::max(m_max_sent, static_cast<int>(m_sent.size()));
  }

  std::mt19937_64 m_random;
  std::deque<TargetRateLimits> m_instances;
  MonotonicTime m_now;
  std::deque<MonotonicTime> m_sent;
  int m_max_sent = 0;
};

// Load: a hundred times as many requests as the target takes, again after a
// rest in which no instance sends any.
Test(target_rate_limits, instances_together_keep_the_limit_of_a_target) {
  for (const int count : {1, 3, 8, 11, 65, 300}) {
    for (const double limit : {0.5, 3.6, 8.4, 40.0}) {
      for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        Instances instances(count, limit, seed);
        instances.Offer(100 * limit, Milliseconds(20000));
        instances.Rest(Milliseconds(10000));
        instances.Offer(100 * limit, Milliseconds(20000));
        const double allowed = kAllowedFactor * limit * 4 + kAllowedExcess;
        cr_assert(instances.max_sent() <= allowed,
                  "%d instances sent %d requests in 4 s, limit %.1f, seed %d",
                  count, instances.max_sent(), limit, static_cast<int>(seed));
      }
    }
  }
}

Test(target_rate_limits, response_without_a_limit_lifts_it) {
  TargetRateLimits limits(1);
  limits.set_instance_count(1);
  const MonotonicTime now;
  cr_assert(limits.OnResponse(now, "target", 10.0));
  cr_assert(!limits.OnResponse(now, "target", 10.0));
  cr_assert(limits.Limit("target") == 10.0);
  while (limits.TryTake(now, "target")) {
  }
  cr_assert(!limits.Limit("other").has_value());
  cr_assert(limits.TimeToNextShare(now, "target") == TargetRateLimits::kWindow);
  cr_assert(limits.OnResponse(now, "target", std::nullopt));
  cr_assert(!limits.Limit("target").has_value());
}

Test(target_rate_limits, limits_of_targets_that_left_are_forgotten) {
  TargetRateLimits limits(1);
  limits.OnResponse(MonotonicTime(), "left", 1.0);
  limits.OnResponse(MonotonicTime(), "stayed", 1.0);
  limits.Retain([](const TargetId& id) { return id == "stayed"; });
  cr_assert(!limits.Limit("left").has_value());
  cr_assert(limits.Limit("stayed").has_value());
}

// The end of a limit shows only in a response.
Test(target_rate_limits, target_that_takes_nothing_is_asked_now_and_then) {
  Instances instances(8, 0, 1);
  const int sent = instances.Offer(50, Milliseconds(60000));
  cr_assert(sent > 0 && sent <= 60, "%d requests in 60 s", sent);
}

}  // namespace
}  // namespace snipehall::test
