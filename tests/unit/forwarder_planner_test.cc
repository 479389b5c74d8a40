#include "coordination/forwarder_planner.h"

#include <algorithm>
#include <set>
#include <string>

#include <criterion/criterion.h>

namespace snipehall {
namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
const std::set<ServiceName, std::less<>> kCutOff = {"catalog"};

std::set<std::string> ChooseOften(ForwarderPlanner& planner,
                                  MonotonicTime now,
                                  const std::string& address,
                                  const std::string& zone) {
  std::set<std::string> chosen;
  for (int i = 0; i < 100; ++i) {
    for (const std::string& other :
         planner.Choose(now, address, zone, "catalog")) {
      chosen.insert(other);
    }
  }
  return chosen;
}

// Guards against requests that are forwarded to an instance which cannot serve
// them, or back to the sender.
Test(forwarder_planner, only_other_available_instances_are_chosen) {
  ForwarderPlanner planner(1);
  planner.OnReport(kNow, "a:1", "zone-1", {});
  planner.OnReport(kNow, "a:2", "zone-1", kCutOff);
  planner.OnReport(kNow, "a:3", "zone-1", {});
  planner.OnReport(kNow - ForwarderPlanner::kReportTimeout, "a:4", "zone-1",
                   {});
  cr_assert(ChooseOften(planner, kNow, "a:1", "zone-1") ==
            std::set<std::string>{"a:3"});
  planner.OnReport(kNow, "a:3", "zone-1", kCutOff);
  cr_assert(planner.Choose(kNow, "a:1", "zone-1", "catalog").empty());
  cr_assert_not(planner.Choose(kNow, "a:1", "zone-1", "booking").empty());
  planner.Remove("a:2");
  planner.Remove("a:3");
  cr_assert(planner.Choose(kNow, "a:1", "zone-1", "booking").empty());
}

// Guards against one instance that serves the requests of its whole zone.
Test(forwarder_planner, other_zones_help_a_zone_that_is_mostly_cut_off) {
  ForwarderPlanner planner(1);
  for (int i = 0; i < 3; ++i) {
    planner.OnReport(kNow, "a:" + std::to_string(i), "zone-1",
                     i == 0 ? std::set<ServiceName, std::less<>>() : kCutOff);
    planner.OnReport(kNow, "b:" + std::to_string(i), "zone-2", {"booking"});
  }
  cr_assert_eq(ChooseOften(planner, kNow, "a:1", "zone-1").size(), 4);
  planner.OnReport(kNow, "a:2", "zone-1", {});
  cr_assert_eq(ChooseOften(planner, kNow, "a:1", "zone-1").size(), 2);
  cr_assert_eq(planner.Choose(kNow, "c:1", "zone-3", "catalog").size(),
               ForwarderPlanner::kMaxForwarders);
}

}  // namespace
}  // namespace snipehall
