#include <csignal>
#include <string>
#include <thread>

#include "process/support/gateway_cluster.h"

#include <criterion/criterion.h>

// A request that ends each target which begins to run it.

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAllowedCrashes = 3;

int SendPoison(const GatewayCluster& cluster,
               std::size_t gateway,
               bool keyed,
               const std::string& id) {
  HttpClientRequest request = {.path = "/catalog/poison",
                               .headers = {{"Host", "shop.example"},
                                           {"Attempt-Id", id},
                                           {"Deadline-Ms", "2000"},
                                           {"Shard-Key", "7"}}};
  if (!keyed) {
    request.method = boost::beast::http::verb::post;
    request.path = "/booking/poison";
    request.body = "deposit";
  }
  HttpClient client(cluster.address(gateway));
  const auto reply = client.Send(request, Clock::now() + seconds(3));
  return reply ? reply->status : 0;
}

std::size_t CountCrashes(const GatewayCluster& cluster) {
  std::size_t crashes = 0;
  for (const std::string& event : cluster.Events()) {
    crashes += event.find("\"crash\"") != std::string::npos ? 1 : 0;
  }
  return crashes;
}

// Sends the request to the gateways in turn for `time`; targets that have ended
// are replaced. Returns the number of requests with the status 400.
int RepeatPoison(GatewayCluster& cluster, bool keyed, seconds time) {
  static int number = 0;
  int refused = 0;
  const Clock::time_point end = Clock::now() + time;
  for (std::size_t gateway = 0; Clock::now() < end; ++gateway) {
    const int status = SendPoison(cluster, gateway % cluster.gateways(), keyed,
                                  "poison-" + std::to_string(++number));
    refused += status == 400 ? 1 : 0;
    for (std::size_t target = 0; target < cluster.targets(); ++target) {
      if (cluster.HasTargetExited(target)) {
        cluster.ReplaceTarget(target);
      }
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return refused;
}

std::size_t CountLoggedBlocks(const GatewayCluster& cluster) {
  std::size_t blocks = 0;
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    for (const std::string& line : cluster.LogLines(i)) {
      blocks += line.find("\"request_blocked\"") != std::string::npos ? 1 : 0;
    }
  }
  return blocks;
}

void RequireFewCrashes(const GatewayCluster& cluster) {
  const std::size_t crashes = CountCrashes(cluster);
  Require(crashes <= kAllowedCrashes,
          std::to_string(crashes) + " targets have crashed");
}

// Guards against one request that crashes the targets of a service one after
// the other, each time through another instance.
Test(poison_request, instances_together_send_it_three_times) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const int refused = RepeatPoison(cluster, false, seconds(6));
  RequireFewCrashes(cluster);
  Require(refused > 20, "the request is not refused at all instances");
}

Test(poison_request, instances_together_send_it_to_owners_three_times) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  RepeatPoison(cluster, true, seconds(25));
  RequireFewCrashes(cluster);
}

// Guards against a log that each instance fills with the same block.
Test(poison_request, block_is_logged_once) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const int refused = RepeatPoison(cluster, false, seconds(8));
  Require(refused > 20, "the request is not refused at all instances");
  const std::size_t blocks = CountLoggedBlocks(cluster);
  Require(blocks == 1, std::to_string(blocks) + " blocks are logged");
}

// Guards against an instance that knows nothing of earlier crashes after its
// start, and against a new leader that has forgotten them.
Test(poison_request, restarted_instances_learn_of_it) {
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  RepeatPoison(cluster, false, seconds(3));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    cluster.Signal(i, SIGKILL);
    cluster.WaitForExit(i, Clock::now() + seconds(5));
    cluster.Restart(i);
    Require(WaitUntil(Clock::now() + seconds(10),
                      [&] { return cluster.IsReady(i); }),
            "the restarted gateway is not ready");
    std::this_thread::sleep_for(seconds(3));
  }
  RepeatPoison(cluster, false, seconds(3));
  RequireFewCrashes(cluster);
}

}  // namespace
}  // namespace snipehall::test
