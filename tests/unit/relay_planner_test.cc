#include "coordination/relay_planner.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

const MonotonicTime kStart = MonotonicTime(Milliseconds(50000));
constexpr Milliseconds kReportInterval{400};
constexpr LinkRate kLink = 10;

Test(relay_planner, relay_stays_while_it_reports) {
  RelayPlanner planner;
  for (int i = 0; i < 10; ++i) {
    const MonotonicTime now = kStart + i * kReportInterval;
    cr_assert(planner.OnReport(now, "zone-1", "a", kLink) == "a");
    cr_assert(planner.OnReport(now, "zone-1", "b", kLink) == "a");
    cr_assert(planner.OnReport(now, "zone-2", "c", kLink) == "c");
  }
}

// Guards against a zone that reads through an instance which is isolated from
// the log, or stops: each of its instances then goes to the log itself.
Test(relay_planner, relay_without_new_records_is_replaced) {
  RelayPlanner planner;
  planner.OnReport(kStart, "zone-1", "a", kLink);
  MonotonicTime now = kStart;
  while (now < kStart + RelayPlanner::kRelayTimeout) {
    cr_assert(planner.OnReport(now, "zone-1", "", kLink) == "a");
    now += kReportInterval;
  }
  cr_assert(planner.OnReport(now, "zone-1", "", kLink).empty());
  cr_assert(planner.OnReport(now, "zone-1", "b", kLink) == "b");
  cr_assert(planner.OnReport(now, "zone-1", "", kLink) == "b");
}

// Guards against records that fill the link of the instance which passes them
// on to its zone.
Test(relay_planner, instance_with_a_much_faster_link_becomes_the_relay) {
  RelayPlanner planner;
  planner.OnReport(kStart, "zone-1", "a", kLink);
  cr_assert(planner.OnReport(kStart, "zone-1", "b", kLink + 1) == "a");
  cr_assert(planner.OnReport(kStart, "zone-1", "c", 20 * kLink) == "c");
  cr_assert(planner.OnReport(kStart, "zone-1", "a", kLink) == "c");
  cr_assert_eq(planner.fastest_link(), 20 * kLink);
}

// Guards against an instance that takes itself for the relay of a zone in
// which none can read.
Test(relay_planner, zone_without_new_records_has_no_relay) {
  RelayPlanner planner;
  cr_assert(planner.OnReport(kStart, "zone-1", "", kLink).empty());
}

}  // namespace
}  // namespace snipehall
