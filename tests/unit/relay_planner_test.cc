#include "coordination/relay_planner.h"

#include <criterion/criterion.h>

namespace snipehall {
namespace {

const MonotonicTime kStart = MonotonicTime(Milliseconds(50000));
constexpr Milliseconds kReportInterval{400};
constexpr LinkRate kLinkMbps = 10;

Test(relay_planner, relay_stays_while_it_reports) {
  RelayPlanner planner;
  for (int i = 0; i < 10; ++i) {
    const MonotonicTime now = kStart + i * kReportInterval;
    cr_assert(planner.OnReport(now, "zone-1", "a", kLinkMbps) == "a");
    cr_assert(planner.OnReport(now, "zone-1", "b", kLinkMbps) == "a");
    cr_assert(planner.OnReport(now, "zone-2", "c", kLinkMbps) == "c");
  }
}

// Guards against a zone whose relay is disconnected from the log or has
// stopped: each instance of the zone then reads the log itself.
Test(relay_planner, relay_without_new_records_is_replaced) {
  RelayPlanner planner;
  planner.OnReport(kStart, "zone-1", "a", kLinkMbps);
  MonotonicTime now = kStart;
  while (now < kStart + RelayPlanner::kRelayTimeout) {
    cr_assert(planner.OnReport(now, "zone-1", "", kLinkMbps) == "a");
    now += kReportInterval;
  }
  cr_assert(planner.OnReport(now, "zone-1", "", kLinkMbps).empty());
  cr_assert(planner.OnReport(now, "zone-1", "b", kLinkMbps) == "b");
  cr_assert(planner.OnReport(now, "zone-1", "", kLinkMbps) == "b");
}

// Guards against records that saturate the link of the instance which relays
// them to its zone.
Test(relay_planner, instance_with_a_much_faster_link_becomes_the_relay) {
  RelayPlanner planner;
  planner.OnReport(kStart, "zone-1", "a", kLinkMbps);
  cr_assert(planner.OnReport(kStart, "zone-1", "b", kLinkMbps + 1) == "a");
  cr_assert(planner.OnReport(kStart, "zone-1", "c", 20 * kLinkMbps) == "c");
  cr_assert(planner.OnReport(kStart, "zone-1", "a", kLinkMbps) == "c");
  cr_assert_eq(planner.fastest_link(), 20 * kLinkMbps);
}

// Guards against choosing a relay in a zone where no instance has new records
// to relay.
Test(relay_planner, zone_without_new_records_has_no_relay) {
  RelayPlanner planner;
  cr_assert(planner.OnReport(kStart, "zone-1", "", kLinkMbps).empty());
}

}  // namespace
}  // namespace snipehall
