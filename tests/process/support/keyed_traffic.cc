#include "process/support/keyed_traffic.h"

#include <algorithm>
#include <utility>

namespace snipehall::test {

ClusterOptions KeyedCluster(int instances, int targets) {
  ClusterOptions options;
  options.instances_per_zone = instances;
  ServiceSpec service;
  service.config = MakeService(kKeyedService, true, options.zones, 16);
  service.targets_per_zone = targets;
  options.services.push_back(std::move(service));
  return options;
}

std::string KeyOf(std::uint64_t number) {
  return "key-" + std::to_string(number);
}

TrafficOptions KeyedTraffic(std::vector<std::string> addresses,
                            const std::string& id_prefix) {
  TrafficOptions options;
  options.addresses = std::move(addresses);
  options.connections = 32;
  options.pause = std::chrono::milliseconds(1);
  options.make = [id_prefix](std::uint64_t number) {
    const std::string key = KeyOf(number % kKeyCount);
    TrafficRequest request;
    request.id = id_prefix + "-" + std::to_string(number);
    request.key = key;
    request.call.method = boost::beast::http::verb::post;
    request.call.path = "/charge/" + std::to_string(number);
    request.call.body = "deposit of " + request.id;
    request.call.headers = {{"Snipehall-Service", kKeyedService},
                            {"Snipehall-Key", key},
                            {"Snipehall-Repeatable", "no"},
                            {"Snipehall-Deadline-Ms", "300"}};
    return request;
  };
  return options;
}

std::chrono::milliseconds LongestGap(const TrafficReport& report) {
  std::chrono::microseconds longest{0};
  for (const auto& [key, gap] : report.longest_gap) {
    longest = std::max(longest, gap);
  }
  return std::chrono::ceil<std::chrono::milliseconds>(longest);
}

void AwaitRight(const Traffic& traffic,
                std::uint64_t count,
                std::chrono::milliseconds at_least) {
  constexpr std::chrono::seconds kLimit{20};
  const Clock::time_point start = Clock::now();
  const std::uint64_t goal = traffic.right() + count;
  const bool reached = WaitUntil(start + at_least + kLimit, [&] {
    return traffic.right() >= goal && Clock::now() >= start + at_least;
  });
  Require(reached, "only " + std::to_string(traffic.right()) + " of " +
                       std::to_string(goal) + " right answers came in time");
}

}  // namespace snipehall::test
