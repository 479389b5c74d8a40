#include "process/support/keyed_traffic.h"

#include <algorithm>
#include <utility>

namespace snipehall::test {

ClusterOptions KeyedClusterOptions(int instances, int targets) {
  ClusterOptions options;
  options.instances_per_zone = instances;
  ServiceSpec service;
  service.config = MakeService(kKeyedService, true, options.zones, 16);
  service.targets_per_zone = targets;
  options.services.push_back(std::move(service));
  return options;
}

std::string KeyFromNumber(std::uint64_t number) {
  return "key-" + std::to_string(number);
}

TrafficOptions KeyedTrafficOptions(std::vector<std::string> addresses,
                                   const std::string& id_prefix) {
  TrafficOptions options;
  options.addresses = std::move(addresses);
  options.connections = 32;
  options.pause = std::chrono::milliseconds(1);
  options.make_request = [id_prefix](std::uint64_t number) {
    const std::string key = KeyFromNumber(number % kKeyCount);
    TrafficRequest request;
    request.id = id_prefix + "-" + std::to_string(number);
    request.key = key;
    request.http_request.method = boost::beast::http::verb::post;
    request.http_request.path = "/charge/" + std::to_string(number);
    request.http_request.body = "deposit of " + request.id;
    request.http_request.headers = {{"Snipehall-Service", kKeyedService},
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

void AwaitCorrectResponses(const Traffic& traffic,
                           std::uint64_t count,
                           std::chrono::milliseconds at_least) {
  constexpr std::chrono::seconds kTimeout{20};
  const Clock::time_point start = Clock::now();
  const std::uint64_t goal = traffic.correct() + count;
  const bool reached = WaitUntil(start + at_least + kTimeout, [&] {
    return traffic.correct() >= goal && Clock::now() >= start + at_least;
  });
  Require(reached, "only " + std::to_string(traffic.correct()) + " of " +
                       std::to_string(goal) +
                       " correct responses were received in time");
}

}  // namespace snipehall::test
