#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "process/support/gateway_cluster.h"
#include "soak/soak_checks.h"

#include <criterion/criterion.h>

// The operator evacuates a zone; targets come back cold.

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' limit for an evacuation.
constexpr seconds kEvacuate{5};

const std::string kZoneRecord = "evacuate/zone-2";

// Sends requests of both services to all gateways until `end`. Returns the
// share that is served.
double SendUntil(const GatewayCluster& cluster, Clock::time_point end) {
  static int number = 0;
  int served = 0;
  int sent = 0;
  while (Clock::now() < end) {
    ++number;
    HttpClientRequest request = {
        .path = "/catalog/item",
        .headers = {{"Host", "shop.example"},
                    {"Attempt-Id", "r-" + std::to_string(number)},
                    {"Deadline-Ms", "2000"},
                    {"Shard-Key", std::to_string(number * 997 % 65536)}}};
    if (number % 3 == 0) {
      request.method = boost::beast::http::verb::post;
      request.path = "/booking/new";
    }
    const auto gateway = static_cast<std::size_t>(number) % cluster.gateways();
    const auto reply = HttpClient(cluster.address(gateway))
                           .Send(request, Clock::now() + seconds(3));
    served += reply && reply->status == 200 ? 1 : 0;
    ++sent;
  }
  return static_cast<double>(served) / sent;
}

// Times of the events of a kind, by target.
std::map<std::string, std::vector<std::int64_t>> EventTimes(
    const GatewayCluster& cluster,
    const std::string& kind) {
  std::map<std::string, std::vector<std::int64_t>> times;
  for (const std::string& line : cluster.Events()) {
    const auto event = boost::json::parse(line).as_object();
    if (event.at("event").as_string() == kind) {
      times[std::string(event.at("target").as_string())].push_back(
          event.at("ms").as_int64());
    }
  }
  return times;
}

// Number of events of a kind at the targets of zone-2 since `begin`.
std::ptrdiff_t CountInZone(const GatewayCluster& cluster,
                           const std::string& kind,
                           Clock::time_point begin) {
  const std::int64_t begin_ms =
      std::chrono::duration_cast<milliseconds>(begin.time_since_epoch())
          .count();
  std::ptrdiff_t count = 0;
  const auto times = EventTimes(cluster, kind);
  for (const char* target : {"catalog-1.1", "catalog-3.1", "booking-5.1"}) {
    const auto found = times.find(target);
    if (found != times.end()) {
      count += std::count_if(found->second.begin(), found->second.end(),
                             [=](std::int64_t ms) { return ms >= begin_ms; });
    }
  }
  return count;
}

void RequireOneOwnerPerKey(const GatewayCluster& cluster) {
  for (const std::string& violation : CheckSoak({}, cluster.Events())) {
    // The requests of this test are not recorded.
    Require(violation.starts_with("ran but was never sent"), violation);
  }
}

Test(evacuation, zone_is_emptied_although_the_leader_is_killed) {
  GatewayCluster cluster({.target_zones = 2});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const Clock::time_point start = Clock::now();
  Require(SendUntil(cluster, start + seconds(2)) > 0.9,
          "requests are not served");
  Require(CountInZone(cluster, "begin", start) > 0, "the zone is not in use");
  const std::string leader = cluster.Leader(0);
  std::size_t index = 0;
  while (index + 1 < cluster.gateways() && cluster.name(index) != leader) {
    ++index;
  }
  Require(cluster.name(index) == leader, "there is no leader");

  const Clock::time_point appended = Clock::now();
  cluster.AppendOperatorRecord(kZoneRecord, "{}");
  const Clock::time_point acknowledged = Clock::now();
  Require(
      WaitUntil(acknowledged + seconds(3),
                [&] { return CountInZone(cluster, "release", appended) > 0; }),
      "no keys were released");
  cluster.Signal(index, SIGKILL);
  cluster.WaitForExit(index, Clock::now() + seconds(5));
  cluster.Restart(index);
  SendUntil(cluster, acknowledged + kEvacuate);
  const double served = SendUntil(cluster, acknowledged + seconds(12));
  const auto late = CountInZone(cluster, "begin", acknowledged + kEvacuate);
  Require(late == 0, std::to_string(late) + " requests reached the zone");
  Require(served > 0.9, "only " + std::to_string(served) + " were served");

  cluster.AppendOperatorRecord(kZoneRecord, "");
  const Clock::time_point taken_back = Clock::now();
  Require(SendUntil(cluster, taken_back + seconds(6)) > 0.9,
          "requests are not served after the zone was taken back");
  Require(CountInZone(cluster, "begin", taken_back) > 0,
          "the zone is not used again");
  RequireOneOwnerPerKey(cluster);
}

// Guards against a target that is overloaded while it is cold.
Test(evacuation, cold_targets_stay_within_their_bound) {
  constexpr std::size_t kBound = 10 * 3 / 2 + 8;
  GatewayCluster cluster({.keyed_targets = 1,
                          .unkeyed_targets = 1,
                          .cold_ms = 10000,
                          .cold_rate = 10,
                          .work_ms = 1});
  const Clock::time_point start = Clock::now();
  cluster.WaitUntilReady(start + seconds(8));
  SendUntil(cluster, start + milliseconds(9500));
  for (const auto& [target, times] : EventTimes(cluster, "begin")) {
    for (std::size_t i = 0; i + kBound < times.size(); ++i) {
      Require(times[i + kBound] - times[i] > 1000,
              target + " got too many requests in a second");
    }
    Require(times.size() > 5, target + " got hardly any requests");
  }
  Require(EventTimes(cluster, "begin").size() == 2, "a target is not used");
  SendUntil(cluster, start + seconds(12));
  Require(SendUntil(cluster, start + seconds(14)) > 0.9,
          "warm targets do not serve all requests");
}

}  // namespace
}  // namespace snipehall::test
