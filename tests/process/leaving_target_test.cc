#include <boost/json.hpp>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>

#include "process/support/gateway_cluster.h"

#include <criterion/criterion.h>

// A target says in its responses that it is leaving; the platform's list does
// not show it.

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' limit for requests to a leaving target.
constexpr milliseconds kDrain{2000};

bool Send(const GatewayCluster& cluster, std::size_t gateway, bool keyed) {
  static int number = 0;
  ++number;
  HttpClientRequest request = {
      .path = "/catalog/item",
      .headers = {{"Host", "shop.example"},
                  {"Attempt-Id", "r-" + std::to_string(number)},
                  {"Deadline-Ms", "2000"},
                  {"Shard-Key", std::to_string(number * 997 % 65536)}}};
  if (!keyed) {
    request.method = boost::beast::http::verb::post;
    request.path = "/booking/new";
  }
  const auto reply = HttpClient(cluster.address(gateway))
                         .Send(request, Clock::now() + seconds(3));
  return reply && reply->status == 200;
}

// Sends requests to all gateways for `time`. Returns the share that is served.
double SendFor(const GatewayCluster& cluster, bool keyed, milliseconds time) {
  int served = 0;
  int sent = 0;
  const Clock::time_point end = Clock::now() + time;
  while (Clock::now() < end) {
    served += Send(cluster, static_cast<std::size_t>(sent) % cluster.gateways(),
                   keyed)
                  ? 1
                  : 0;
    ++sent;
  }
  return static_cast<double>(served) / sent;
}

// Number of requests that targets with `name` have begun.
int CountRuns(const GatewayCluster& cluster, const std::string& name) {
  int runs = 0;
  for (const std::string& line : cluster.Events()) {
    const auto event = boost::json::parse(line).as_object();
    runs += event.at("event").as_string() == "begin" &&
                    event.at("target").as_string() == name
                ? 1
                : 0;
  }
  return runs;
}

void RequireNoNewRequests(std::size_t target,
                          const std::string& name,
                          bool keyed,
                          bool first_gateway_without_store) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  Require(SendFor(cluster, keyed, milliseconds(1500)) > 0.9,
          "requests are not served");
  Require(CountRuns(cluster, name) > 0, "the target got no requests");
  if (first_gateway_without_store) {
    cluster.StoreLink(0).Pause();
  }
  cluster.SignalTarget(target, SIGUSR1);
  SendFor(cluster, keyed, kDrain + milliseconds(500));
  const int before = CountRuns(cluster, name);
  const double served = SendFor(cluster, keyed, seconds(3));
  const int after = CountRuns(cluster, name);
  Require(after == before, std::to_string(after - before) +
                               " requests reached the leaving target");
  Require(served > 0.9, "only " + std::to_string(served) + " were served");
}

Test(leaving_target, target_gets_no_new_requests) {
  RequireNoNewRequests(4, "booking-4.1", false, false);
}

Test(leaving_target, keys_move_to_other_targets) {
  RequireNoNewRequests(0, "catalog-0.1", true, false);
}

// Guards against an instance that learns of it from the platform only.
Test(leaving_target, instance_without_the_store_sends_no_requests) {
  RequireNoNewRequests(4, "booking-4.1", false, true);
}

}  // namespace
}  // namespace snipehall::test
