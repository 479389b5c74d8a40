#include "coordination/poison_request_detector.h"

#include <algorithm>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

using Detector = PoisonRequestDetector;

constexpr RequestDigest kRequest = 42;
const MonotonicTime kStart = MonotonicTime(std::chrono::hours(1));

// Reports losses a second apart, each of a request that was sent 100 ms before.
// Returns the time of the last one.
MonotonicTime LoseTargets(Detector& detector, MonotonicTime now, int count) {
  for (int i = 0; i < count; ++i) {
    now += Milliseconds(1000);
    detector.OnTargetLost(now, {kRequest, now - Milliseconds(100), now});
  }
  return now;
}

Test(poison_request_detector, third_loss_blocks_the_request) {
  Detector detector;
  const MonotonicTime now = LoseTargets(detector, kStart, 2);
  cr_assert_not(detector.IsBlocked(now, kRequest));
  cr_assert(detector.OnTargetLost(now + Milliseconds(100),
                                  {kRequest, now, now + Milliseconds(100)}));
  cr_assert(detector.IsBlocked(now + Milliseconds(100), kRequest));
  cr_assert_not(detector.IsBlocked(now + Milliseconds(100), kRequest + 1));
  cr_assert(detector.BlockedRequests(now) ==
            std::vector<RequestDigest>({kRequest}));
}

// Guards against requests that are refused since they were at work at targets
// that crashed together.
Test(poison_request_detector, losses_of_requests_sent_before_count_once) {
  Detector detector;
  for (int i = 0; i < 12; ++i) {
    cr_assert_not(detector.OnTargetLost(
        kStart,
        {kRequest, kStart - Milliseconds(50), kStart + Milliseconds(i)}));
  }
  cr_assert_not(detector.IsBlocked(kStart, kRequest));
}

// Guards against losses that a new leader does not count since they are
// reported in another order, and against losses that count twice.
Test(poison_request_detector, losses_count_once_in_any_order) {
  Detector instance;
  const MonotonicTime now = LoseTargets(instance, kStart, 2);
  std::vector<Detector::Loss> losses = instance.RecentLosses(now, kStart);
  cr_assert_eq(losses.size(), 2);
  cr_assert_eq(instance.RecentLosses(now, now).size(), 1);
  std::reverse(losses.begin(), losses.end());
  Detector leader;
  for (int i = 0; i < 5; ++i) {
    for (Detector::Loss loss : losses) {
      // The ages in the reports are rounded.
      loss.sent_at += Milliseconds(i % 2);
      loss.lost_at += Milliseconds(i % 2);
      cr_assert_not(leader.OnTargetLost(now, loss));
    }
  }
  cr_assert(leader.OnTargetLost(
      now, {kRequest, now + Milliseconds(200), now + Milliseconds(300)}));
  cr_assert(leader.RecentLosses(now, kStart).empty());
}

Test(poison_request_detector, response_ends_the_suspicion) {
  Detector detector;
  MonotonicTime now = LoseTargets(detector, kStart, 2);
  cr_assert(detector.OnResponse(now, kRequest));
  cr_assert_not(detector.OnResponse(now, kRequest));
  cr_assert(detector.empty());
  now = LoseTargets(detector, now, 2);
  cr_assert_not(detector.IsBlocked(now, kRequest));
}

// Guards against a request that may be sent again three times after each block.
Test(poison_request_detector, one_loss_after_the_block_blocks_for_longer) {
  Detector detector;
  MonotonicTime now = LoseTargets(detector, kStart, 3);
  Milliseconds block_time = Detector::kInitialBlockTime;
  for (int i = 0; i < 8; ++i) {
    cr_assert(detector.IsBlocked(now + block_time - Milliseconds(1), kRequest));
    now += block_time;
    cr_assert_not(detector.IsBlocked(now, kRequest));
    cr_assert(
        detector.OnTargetLost(now, {kRequest, now - Milliseconds(1), now}));
    block_time = std::min(block_time * 2, Detector::kMaxBlockTime);
  }
}

Test(poison_request_detector, suspicion_is_forgotten_in_time) {
  Detector detector;
  MonotonicTime now = LoseTargets(detector, kStart, 2);
  now += Detector::kSuspicionLifetime;
  detector.OnTargetLost(now, {kRequest + 1, now, now});
  cr_assert_eq(detector.size(), 1);
  cr_assert_not(
      detector.OnTargetLost(now, {kRequest, now - Milliseconds(1), now}));
}

// Load: more distinct requests than are remembered are lost.
Test(poison_request_detector, memory_is_bounded) {
  Detector detector;
  MonotonicTime now = LoseTargets(detector, kStart, 2);
  for (RequestDigest digest = 1000; digest < 11000; ++digest) {
    now += Milliseconds(1);
    detector.OnTargetLost(now, {digest, now, now});
    // The request in question is lost now and then, so it is not forgotten.
    if (digest % 500 == 0) {
      detector.OnTargetLost(now, {kRequest, now - Milliseconds(1), now});
    }
  }
  cr_assert_leq(detector.size(), Detector::kMaxRequests);
  cr_assert(detector.IsBlocked(now, kRequest));
}

Test(poison_request_detector, report_of_the_leader_blocks_once) {
  Detector detector;
  detector.OnBlocked(kStart, kRequest);
  cr_assert(detector.IsBlocked(kStart, kRequest));
  detector.OnBlocked(kStart + Milliseconds(1000), kRequest);
  cr_assert_not(
      detector.IsBlocked(kStart + Detector::kInitialBlockTime, kRequest));
}

// Guards against one loss that counts several times, since the delay of its
// reports differs by more than the target was at work.
Test(poison_request_detector, delayed_reports_of_a_loss_count_once) {
  Detector leader;
  for (int i = 0; i < 6; ++i) {
    const MonotonicTime sent_at = kStart + Milliseconds(10 * i);
    cr_assert_not(leader.OnTargetLost(
        kStart + Milliseconds(2000 * i),
        {kRequest, sent_at, sent_at + Milliseconds(1), /*number=*/7}));
  }
}

// Guards against a request that is blocked anew, without end, since instances
// that have not heard of a response report its earlier losses and its block.
Test(poison_request_detector, response_refutes_later_reports_of_old_losses) {
  Detector detector;
  const MonotonicTime now = LoseTargets(detector, kStart, 3);
  cr_assert(detector.IsBlocked(now, kRequest));
  cr_assert(detector.OnResponse(now, kRequest));
  Detector instance;
  LoseTargets(instance, kStart, 2);
  for (const Detector::Loss& loss : instance.RecentLosses(now, kStart)) {
    cr_assert_not(detector.OnTargetLost(now, loss));
  }
  cr_assert_not(detector.OnBlocked(now + Milliseconds(2000), kRequest));
  cr_assert_not(detector.OnBlockReported(now + Milliseconds(2000), kRequest));
  cr_assert(detector.empty());
}

// Guards against a harmless request that the leader blocks for losses of
// several instances, though another instance has reported a response.
Test(poison_request_detector, response_at_another_instance_refutes_losses) {
  Detector leader;
  const MonotonicTime now = kStart + Milliseconds(5000);
  leader.OnHarmless(now, kRequest);
  LoseTargets(leader, kStart, 4);
  cr_assert(leader.empty());
  const MonotonicTime end = LoseTargets(leader, now, 3);
  cr_assert(leader.IsBlocked(end, kRequest));
}

// Guards against two instances that renew each other's expired block.
Test(poison_request_detector, expired_block_is_not_renewed_by_reports) {
  Detector leader;
  cr_assert(leader.OnBlockReported(kStart, kRequest));
  cr_assert(leader.IsBlocked(kStart, kRequest));
  const MonotonicTime end = kStart + Detector::kInitialBlockTime;
  cr_assert(leader.OnBlockReported(end, kRequest));
  cr_assert_not(leader.IsBlocked(end, kRequest));
  cr_assert(leader.OnTargetLost(end, {kRequest, end - Milliseconds(1), end}));
}

// Load: more distinct requests are found harmless than are remembered.
Test(poison_request_detector, memory_of_responses_is_bounded) {
  Detector detector;
  for (RequestDigest digest = 0; digest < 5000; ++digest) {
    detector.OnHarmless(kStart + Milliseconds(digest), digest);
  }
  const MonotonicTime now = kStart + Milliseconds(5000);
  cr_assert_not(detector.OnBlocked(now, 4999));
  cr_assert(detector.OnBlocked(now, 0));
}

}  // namespace
}  // namespace snipehall
