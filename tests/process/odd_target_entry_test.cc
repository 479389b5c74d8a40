#include <boost/json.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "platform/duration_text.h"
#include "platform/store_records.h"
#include "platform/target_entry.h"
#include "process/support/gateway_cluster.h"
#include "process/support/wait_until.h"

#include <criterion/criterion.h>

// Another writer's entries among those of the targets.

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(100)};

std::string Entry(const std::string& address,
                  const std::string& cold_left,
                  const std::string& born,
                  const std::string& sequence,
                  const std::string& service = "catalog") {
  return R"({"Address":")" + address + R"(","born":)" + born +
         R"(,"Info":{"Service":")" + service +
         R"(","Zone":"zone-1","Slots":3,"Version":"1"},"Status":{"State":)" +
         R"("ready","ColdLeft":")" + cold_left + R"(","Sequence":)" + sequence +
         "}}";
}

bool IsUsable(const std::string& entry) {
  return platform::ParseTargetEntry("t-1", entry, kNow).has_value();
}

// Guards against values that overflow, that no target has, or that make all
// later entries of the target count as older.
Test(odd_target_entry, impossible_values_are_refused) {
  const std::string address = "10.0.0.1:80";
  cr_assert(IsUsable(Entry(address, "1500ms", "1796453274000", "7")));
  for (const char* cold_left :
       {"1e300s", "10000000000000000s", "9e18ms", "2h", "86400s", "-1s"}) {
    cr_assert_not(IsUsable(Entry(address, cold_left, "1", "7")), "%s",
                  cold_left);
  }
  for (const char* odd_address : {"10.0.0.1:0", "0.0.0.0:80", "224.0.0.1:80",
                                  "10.0.0.1:70000", "10.0.0.1"}) {
    cr_assert_not(IsUsable(Entry(odd_address, "0ms", "1", "7")), "%s",
                  odd_address);
  }
  cr_assert_not(IsUsable(Entry(address, "0ms", "9223372036854775807", "7")));
  cr_assert_not(IsUsable(Entry(address, "0ms", "-1", "7")));
  cr_assert_not(IsUsable(Entry(address, "0ms", "1", "18446744073709551615")));
  cr_assert_not(
      IsUsable(Entry(address, "0ms", "1", "7", std::string(100000, 's'))));
  cr_assert_not(IsUsable(std::string(100000, '[')));
}

// Guards against requests to an endpoint of another service after an entry of
// another writer, as the target's own but for its service and without
// `Version`, has replaced that of a target (ROUTE, review/7).
Test(odd_target_entry, entries_without_a_field_are_refused) {
  namespace json = boost::json;
  const json::value entry =
      json::parse(Entry("10.0.0.1:80", "0ms", "1796453274000", "7"));
  for (const char* pointer :
       {"/Address", "/Info", "/Info/Service", "/Info/Zone", "/Info/Slots",
        "/Info/Version", "/Status", "/Status/State", "/Status/ColdLeft",
        "/Status/Sequence"}) {
    const std::string path = pointer;
    const std::size_t name = path.rfind('/');
    json::value without = entry;
    without.at_pointer(path.substr(0, name))
        .as_object()
        .erase(path.substr(name + 1));
    cr_assert_not(IsUsable(json::serialize(without)), "without %s", pointer);
    json::value other_type = entry;
    other_type.at_pointer(path) = json::array{1};
    cr_assert_not(IsUsable(json::serialize(other_type)), "array as %s",
                  pointer);
  }
}

Test(odd_target_entry, durations_out_of_range_are_refused_with_a_short_error) {
  cr_assert(platform::ParseDuration("3600s").has_value());
  const auto refused = platform::ParseDuration(std::string(5000, '9') + "s");
  cr_assert_not(refused.has_value());
  cr_assert_lt(refused.error().message.size(), 200);
}

// Guards against instances that end, stop following the list, or give up a
// target whose entry another writer has replaced.
Test(odd_target_entry, targets_in_use_are_kept) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const auto before = cluster.Metric(0, "targets");
  const auto deadline = Clock::now() + seconds(3);
  while (Clock::now() < deadline) {
    for (const std::string& odd :
         {std::string(20000, '['), Entry("10.0.0.1:0", "1e300s", "1", "7"),
          std::string("\xff\xfe"), std::string("{}")}) {
      for (const char* id : {"catalog-0.1", "odd"}) {
        cluster.AppendTargetRecord(platform::EncodeRecord({id, odd}));
      }
    }
    for (std::size_t i = 0; i < cluster.gateways(); ++i) {
      Require(cluster.IsReady(i), cluster.name(i) + " is not ready");
      Require(cluster.Metric(i, "targets") == before,
              cluster.name(i) + " has given up a target");
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

}  // namespace
}  // namespace snipehall::test
