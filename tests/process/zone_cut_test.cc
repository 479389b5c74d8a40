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

// Network partitions that disconnect a zone from the other zones and the
// platform.

namespace snipehall::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<ZoneName> kZones = {"zone-a", "zone-b"};

// Returns the keys that the configuration assigns to the zone.
std::vector<std::string> KeysOfZone(std::size_t zone) {
  std::vector<std::string> keys;
  for (std::uint64_t number = 0; number < kKeyCount; ++number) {
    const std::uint64_t half =
        HashKey(KeyFromNumber(number)) / (UINT64_MAX / 2);
    if (std::min<std::uint64_t>(half, 1) == zone) {
      keys.push_back(KeyFromNumber(number));
    }
  }
  return keys;
}

// Converts to the type that the format %llu takes.
unsigned long long AsPrintfArgument(std::uint64_t value) {
  return value;
}

// Options for requests through the instances of one zone for the keys of a
// zone.
TrafficOptions ZoneTrafficOptions(const Cluster& cluster,
                                  std::size_t caller_zone,
                                  std::size_t key_zone,
                                  const std::string& id_prefix) {
  TrafficOptions options = KeyedTrafficOptions(
      cluster.CallerAddresses(kZones[caller_zone]), id_prefix);
  options.connections = 8;
  options.make_request = [make_request = options.make_request,
                          keys = KeysOfZone(key_zone)](std::uint64_t number) {
    TrafficRequest request = make_request(number);
    request.key = keys[number % keys.size()];
    request.http_request.headers["Snipehall-Key"] = request.key;
    return request;
  };
  return options;
}

ClusterOptions TwoZoneOptions() {
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

// Guards against requests that fail during a partition although the key's owner
// is on the caller's side, and against two owners of a key after the partition.
Test(zone_cut, each_side_serves_its_own_keys, .timeout = 300) {
  Cluster cluster(TwoZoneOptions());
  Traffic first(ZoneTrafficOptions(cluster, 0, 0, "first"));
  Traffic second(ZoneTrafficOptions(cluster, 1, 1, "second"));
  Traffic cross_zone(ZoneTrafficOptions(cluster, 0, 1, "across"));
  AwaitCorrectResponses(first, 500);
  AwaitCorrectResponses(second, 500);
  AwaitCorrectResponses(cross_zone, 500);

  cluster.PartitionZone(kZones[1]);
  AwaitCorrectResponses(first, 500, seconds(6));
  AwaitCorrectResponses(second, 500);
  cluster.ReconnectZone(kZones[1]);
  const auto reconnected = Clock::now();
  const std::uint64_t before = cross_zone.correct();
  const bool served = WaitUntil(reconnected + seconds(20), [&] {
    return cross_zone.correct() >= before + 50;
  });
  const auto recovery =
      std::chrono::duration_cast<milliseconds>(Clock::now() - reconnected);
  AwaitCorrectResponses(first, 500, seconds(2));
  AwaitCorrectResponses(second, 500);

  first.Stop();
  second.Stop();
  cross_zone.Stop();
  const TrafficReport first_report = first.Finish();
  const TrafficReport second_report = second.Finish();
  const TrafficReport cross_zone_report = cross_zone.Finish();
  std::printf(
      "zone partitioned for 6 s: %llu/%llu correct in the other zone, "
      "%llu/%llu in the partitioned zone; cross-zone: %llu correct, %llu not "
      "run, %llu may have run; served %lld ms after the partition\n",
      AsPrintfArgument(first_report.correct),
      AsPrintfArgument(first_report.sent),
      AsPrintfArgument(second_report.correct),
      AsPrintfArgument(second_report.sent),
      AsPrintfArgument(cross_zone_report.correct),
      AsPrintfArgument(cross_zone_report.not_run),
      AsPrintfArgument(cross_zone_report.may_have_run),
      static_cast<long long>(recovery.count()));
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNoViolations(CheckOwners(history));
  RequireNoViolations(CheckOutcomes(history, first_report, false));
  RequireNoViolations(CheckOutcomes(history, second_report, false));
  RequireNoViolations(CheckOutcomes(history, cross_zone_report, false));
  Require(first_report.correct == first_report.sent, first_report.Summary());
  Require(second_report.correct == second_report.sent, second_report.Summary());
  Require(cross_zone_report.incorrect == 0, cross_zone_report.Summary());
  Require(served,
          "cross-zone requests were not served again after the partition");
}

}  // namespace snipehall::test
