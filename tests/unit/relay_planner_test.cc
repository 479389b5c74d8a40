#include "coordination/relay_planner.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

const MonotonicTime kStart = MonotonicTime(Milliseconds(50000));
constexpr Milliseconds kReportInterval{400};

Test(relay_planner, reader_stays_while_it_reports) {
  RelayPlanner planner;
  for (int i = 0; i < 10; ++i) {
    const MonotonicTime now = kStart + i * kReportInterval;
    cr_assert(planner.OnReport(now, "zone-1", "a") == "a");
    cr_assert(planner.OnReport(now, "zone-1", "b") == "a");
    cr_assert(planner.OnReport(now, "zone-2", "c") == "c");
  }
}

// Guards against a zone that reads through an instance which is cut off from
// the log, or stops: each of its instances then goes to the log itself.
Test(relay_planner, reader_without_new_records_is_replaced) {
  RelayPlanner planner;
  planner.OnReport(kStart, "zone-1", "a");
  MonotonicTime now = kStart;
  while (now < kStart + RelayPlanner::kLifetime) {
    cr_assert(planner.OnReport(now, "zone-1", "") == "a");
    now += kReportInterval;
  }
  cr_assert(planner.OnReport(now, "zone-1", "").empty());
  cr_assert(planner.OnReport(now, "zone-1", "b") == "b");
  cr_assert(planner.OnReport(now, "zone-1", "") == "b");
}

// Guards against an instance that takes itself for the reader of a zone in
// which none can read.
Test(relay_planner, zone_without_new_records_has_no_reader) {
  RelayPlanner planner;
  cr_assert(planner.OnReport(kStart, "zone-1", "").empty());
}

}  // namespace
}  // namespace snipehall
