#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "process/support/cluster.h"
#include "process/support/history.h"
#include "process/support/keyed_traffic.h"
#include "state/hash_range.h"

#include <criterion/criterion.h>

// A zone that a partition cuts off from the other zones and the platform.

namespace snipehall::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<ZoneName> kZones = {"zone-a", "zone-b"};

// The keys that the configuration gives to a zone.
std::vector<std::string> KeysOfZone(std::size_t zone) {
  std::vector<std::string> keys;
  for (std::uint64_t number = 0; number < kKeyCount; ++number) {
    const std::uint64_t half = HashKey(KeyOf(number)) / (UINT64_MAX / 2);
    if (std::min<std::uint64_t>(half, 1) == zone) {
      keys.push_back(KeyOf(number));
    }
  }
  return keys;
}

unsigned long long Count(std::uint64_t value) {
  return value;
}

TrafficOptions ZoneTraffic(const Cluster& cluster,
                           std::size_t caller_zone,
                           std::size_t key_zone,
                           const std::string& id_prefix) {
  TrafficOptions options =
      KeyedTraffic(cluster.CallerAddresses(kZones[caller_zone]), id_prefix);
  options.connections = 8;
  options.make = [make = options.make,
                  keys = KeysOfZone(key_zone)](std::uint64_t number) {
    TrafficRequest request = make(number);
    request.key = keys[number % keys.size()];
    request.call.headers["Snipehall-Key"] = request.key;
    return request;
  };
  return options;
}

ClusterOptions TwoZones() {
  ClusterOptions options;
  options.zones = kZones;
  options.instances_per_zone = 2;
  options.relays = true;
  ServiceSpec service;
  service.config = MakeService(kKeyedService, true, kZones, 16);
  service.targets_per_zone = 2;
  options.services.push_back(std::move(service));
  return options;
}

}  // namespace

// Guards against a partition that costs the keys of either side's own targets,
// and against two owners of a key after it has ended.
Test(zone_cut, each_side_serves_its_own_keys, .timeout = 300) {
  Cluster cluster(TwoZones());
  Traffic first(ZoneTraffic(cluster, 0, 0, "first"));
  Traffic second(ZoneTraffic(cluster, 1, 1, "second"));
  Traffic across(ZoneTraffic(cluster, 0, 1, "across"));
  AwaitRight(first, 500);
  AwaitRight(second, 500);
  AwaitRight(across, 500);

  cluster.CutZone(kZones[1]);
  AwaitRight(first, 500, seconds(6));
  AwaitRight(second, 500);
  cluster.HealZone(kZones[1]);
  const auto healed = Clock::now();
  const std::uint64_t before = across.right();
  const bool served = WaitUntil(healed + seconds(20),
                                [&] { return across.right() >= before + 50; });
  const auto recovery =
      std::chrono::duration_cast<milliseconds>(Clock::now() - healed);
  AwaitRight(first, 500, seconds(2));
  AwaitRight(second, 500);

  first.Stop();
  second.Stop();
  across.Stop();
  const TrafficReport first_report = first.Finish();
  const TrafficReport second_report = second.Finish();
  const TrafficReport across_report = across.Finish();
  std::printf(
      "zone cut for 6 s: right of sent %llu/%llu in the rest, %llu/%llu "
      "in the zone; across: %llu right, %llu not run, %llu may have run; "
      "served across %lld ms after the end\n",
      Count(first_report.right), Count(first_report.sent),
      Count(second_report.right), Count(second_report.sent),
      Count(across_report.right), Count(across_report.not_run),
      Count(across_report.may_have_run),
      static_cast<long long>(recovery.count()));
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNone(CheckOwners(history));
  RequireNone(CheckOutcomes(history, first_report, false));
  RequireNone(CheckOutcomes(history, second_report, false));
  RequireNone(CheckOutcomes(history, across_report, false));
  Require(first_report.right == first_report.sent, first_report.Summary());
  Require(second_report.right == second_report.sent, second_report.Summary());
  Require(across_report.wrong == 0, across_report.Summary());
  Require(served, "the zones did not find each other again");
}

}  // namespace snipehall::test
