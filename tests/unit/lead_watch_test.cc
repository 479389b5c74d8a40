#include "coordination/lead_watch.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr std::uint64_t kSeed = 7;

// Guards against a takeover by an instance that was frozen and has not asked.
Test(lead_watch, time_without_reports_does_not_count) {
  LeadWatch watch(kSeed);
  watch.OnLead("entry-1");
  for (int i = 0; i < LeadWatch::kMaxUnansweredReports; ++i) {
    watch.OnReportSent();
  }
  cr_assert_not(watch.IsLost());
}

Test(lead_watch, lead_that_leaves_reports_unanswered_is_lost) {
  LeadWatch watch(kSeed);
  watch.OnLead("entry-1");
  for (int i = 0; i < LeadWatch::kMaxUnansweredReports + 2; ++i) {
    watch.OnReportSent();
  }
  cr_assert(watch.IsLost());
  watch.OnServing("entry-2", false);
  cr_assert(watch.IsLost(),
            "the answer of another instance counts for nothing");
  watch.OnServing("entry-1", false);
  cr_assert_not(watch.IsLost());
}

// Guards against a lead whose link is too slow for the table and the orders,
// and that is taken for lost again and again.
Test(lead_watch, instance_with_a_slow_link_lets_others_go_first) {
  LeadWatch fast(kSeed);
  LeadWatch slow(kSeed);
  fast.OnLead("entry-1");
  slow.OnLead("entry-1");
  fast.OnServing("entry-1", false);
  slow.OnServing("entry-1", true);
  int reports = 0;
  while (!fast.IsLost()) {
    fast.OnReportSent();
    slow.OnReportSent();
    ++reports;
  }
  cr_assert_not(slow.IsLost());
  for (int i = 0; i < LeadWatch::kSlowLinkReports + 1; ++i) {
    slow.OnReportSent();
  }
  cr_assert(slow.IsLost());
}

Test(lead_watch, lead_that_stops_is_replaced_at_once) {
  LeadWatch watch(kSeed);
  for (int i = 0; i < LeadWatch::kInitialJitterReports; ++i) {
    watch.OnReportSent();
  }
  cr_assert(watch.IsLost(), "without a lead there is one to be chosen");
  watch.OnLead("entry-1");
  cr_assert_not(watch.IsLost());
  for (int i = 0; i < 2; ++i) {
    watch.OnNotServing("entry-1");
    watch.OnReportSent();
  }
  cr_assert(watch.IsLost());
  watch.OnLead("entry-2");
  cr_assert_not(watch.IsLost());
}

}  // namespace
}  // namespace snipehall
