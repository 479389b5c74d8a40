#include "coordination/leader_failure_detector.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr std::uint64_t kSeed = 7;

// Guards against a takeover by an instance that was suspended and has not sent
// enough reports.
Test(leader_failure_detector, time_without_reports_does_not_count) {
  LeaderFailureDetector detector(kSeed);
  detector.OnLeader("entry-1");
  for (int i = 0; i < LeaderFailureDetector::kMaxUnansweredReports; ++i) {
    detector.OnReportSent();
  }
  cr_assert_not(detector.ShouldTakeOver());
}

// Guards against a failed leader that is not replaced, and against answers of
// another instance that hide the failure.
Test(leader_failure_detector, unanswered_reports_lead_to_a_takeover) {
  LeaderFailureDetector detector(kSeed);
  detector.OnLeader("entry-1");
  for (int i = 0; i < LeaderFailureDetector::kMaxUnansweredReports + 2; ++i) {
    detector.OnReportSent();
  }
  cr_assert(detector.ShouldTakeOver());
  detector.OnServing("entry-2", false);
  cr_assert(detector.ShouldTakeOver(),
            "an answer from an instance that is not the leader was counted");
  detector.OnServing("entry-1", false);
  cr_assert_not(detector.ShouldTakeOver());
}

// Guards against a leader whose link is too slow to send the table and the
// orders in time, so that the other instances repeatedly detect it as failed.
Test(leader_failure_detector, instance_with_a_slow_link_waits_longer) {
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

// Guards against a takeover by an instance whose orders would reach no target
// while others could lead.
Test(leader_failure_detector, instance_without_targets_waits_longer) {
  LeaderFailureDetector connected(kSeed);
  LeaderFailureDetector cut_off(kSeed);
  cut_off.set_cut_off(true);
  for (LeaderFailureDetector* detector : {&connected, &cut_off}) {
    detector->OnLeader("entry-1");
    detector->OnNotServing("entry-1");
    detector->OnReportSent();
  }
  int reports = 0;
  while (!connected.ShouldTakeOver()) {
    connected.OnReportSent();
    cut_off.OnReportSent();
    ++reports;
  }
  cr_assert_leq(reports, 1);
  for (int i = 1; i < LeaderFailureDetector::kCutOffReports; ++i) {
    cr_assert_not(cut_off.ShouldTakeOver());
    cut_off.OnReportSent();
  }
  cut_off.OnReportSent();
  cr_assert(cut_off.ShouldTakeOver());
}

// Guards against waiting for unanswered reports after the leader has answered
// that it does not serve.
Test(leader_failure_detector,
     leader_that_stops_serving_is_replaced_immediately) {
  LeaderFailureDetector detector(kSeed);
  for (int i = 0; i < LeaderFailureDetector::kInitialJitterReports; ++i) {
    detector.OnReportSent();
  }
  cr_assert(detector.ShouldTakeOver(),
            "an instance must take over when there is no leader");
  detector.OnLeader("entry-1");
  cr_assert_not(detector.ShouldTakeOver());
  for (int i = 0; i < 2; ++i) {
    detector.OnNotServing("entry-1");
    detector.OnReportSent();
  }
  cr_assert(detector.ShouldTakeOver());
  detector.OnLeader("entry-2");
  cr_assert_not(detector.ShouldTakeOver());
}

}  // namespace
}  // namespace snipehall
