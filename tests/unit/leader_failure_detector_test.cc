#include "coordination/leader_failure_detector.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr std::uint64_t kSeed = 7;

// Guards against a takeover by an instance that was stalled and has not asked.
Test(leader_failure_detector, time_without_reports_does_not_count) {
  LeaderFailureDetector watch(kSeed);
  watch.OnLeader("entry-1");
  for (int i = 0; i < LeaderFailureDetector::kMaxUnansweredReports; ++i) {
    watch.OnReportSent();
  }
  cr_assert_not(watch.ShouldTakeOver());
}

Test(leader_failure_detector, leader_that_leaves_reports_unanswered_is_lost) {
  LeaderFailureDetector watch(kSeed);
  watch.OnLeader("entry-1");
  for (int i = 0; i < LeaderFailureDetector::kMaxUnansweredReports + 2; ++i) {
    watch.OnReportSent();
  }
  cr_assert(watch.ShouldTakeOver());
  watch.OnServing("entry-2", false);
  cr_assert(watch.ShouldTakeOver(),
            "the answer of another instance counts for nothing");
  watch.OnServing("entry-1", false);
  cr_assert_not(watch.ShouldTakeOver());
}

// Guards against a leader whose link is too slow for the table and the orders,
// and that counts as lost again and again.
Test(leader_failure_detector, instance_with_a_slow_link_lets_others_go_first) {
  LeaderFailureDetector fast(kSeed);
  LeaderFailureDetector slow(kSeed);
  fast.OnLeader("entry-1");
  slow.OnLeader("entry-1");
  fast.OnServing("entry-1", false);
  slow.OnServing("entry-1", true);
  int reports = 0;
  while (!fast.ShouldTakeOver()) {
    fast.OnReportSent();
    slow.OnReportSent();
    ++reports;
  }
  cr_assert_not(slow.ShouldTakeOver());
  for (int i = 0; i < LeaderFailureDetector::kSlowLinkReports + 1; ++i) {
    slow.OnReportSent();
  }
  cr_assert(slow.ShouldTakeOver());
}

Test(leader_failure_detector, leader_that_stops_is_replaced_at_once) {
  LeaderFailureDetector watch(kSeed);
  for (int i = 0; i < LeaderFailureDetector::kInitialJitterReports; ++i) {
    watch.OnReportSent();
  }
  cr_assert(watch.ShouldTakeOver(), "without a lead there is one to be chosen");
  watch.OnLeader("entry-1");
  cr_assert_not(watch.ShouldTakeOver());
  for (int i = 0; i < 2; ++i) {
    watch.OnNotServing("entry-1");
    watch.OnReportSent();
  }
  cr_assert(watch.ShouldTakeOver());
  watch.OnLeader("entry-2");
  cr_assert_not(watch.ShouldTakeOver());
}

}  // namespace
}  // namespace snipehall
