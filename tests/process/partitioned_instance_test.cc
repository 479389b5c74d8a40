#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "process/support/gateway_cluster.h"
#include "process/support/wait_until.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' time after which an instance that is cut off has to serve.
constexpr milliseconds kSettleTime{3000};

GatewayCluster::Options LinkedTargets() {
  GatewayCluster::Options options;
  options.target_links = true;
  return options;
}

bool Send(const GatewayCluster& cluster, std::size_t gateway, bool keyed) {
  static std::atomic<int> last_number = 0;
  const int number = ++last_number;
  HttpClientRequest request = {
      .path = "/catalog/item",
      .headers = {{"Host", "shop.example"},
                  {"Attempt-Id", "r-" + std::to_string(number)},
                  {"Deadline-Ms", "1000"},
                  {"Shard-Key", std::to_string(number * 997 % 65536)}}};
  if (!keyed) {
    request.method = boost::beast::http::verb::post;
    request.path = "/booking/new";
    request.body = "deposit";
  }
  const auto reply = HttpClient(cluster.address(gateway))
                         .Send(request, Clock::now() + seconds(2));
  return reply && reply->status == 200;
}

// Sends requests to the gateway for `time`. Returns the share that is served at
// the first attempt.
double ServedShare(const GatewayCluster& cluster,
                   std::size_t gateway,
                   bool keyed,
                   milliseconds time) {
  int served = 0;
  int sent = 0;
  const Clock::time_point end = Clock::now() + time;
  while (Clock::now() < end) {
    served += Send(cluster, gateway, keyed) ? 1 : 0;
    ++sent;
  }
  return static_cast<double>(served) / sent;
}

void RequireService(const GatewayCluster& cluster,
                    std::size_t gateway,
                    const std::string& phase) {
  for (const bool keyed : {true, false}) {
    const double served = ServedShare(cluster, gateway, keyed, seconds(1));
    Require(served > 0.9, phase + " " + cluster.name(gateway) + " served " +
                              std::to_string(served) +
                              (keyed ? " with keys" : " without keys"));
  }
}

std::size_t FindLeader(const GatewayCluster& cluster) {
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    if (cluster.Leader(0) == cluster.name(i)) {
      return i;
    }
  }
  throw TestFailure("there is no leader");
}

// Cuts off the leader, or else another instance, and requires service at all
// instances that `is_required` accepts, then at all when the cut has ended.
template <typename Predicate>
void RequireServiceWhileCutOff(bool leader, Predicate is_required) {
  GatewayCluster cluster(LinkedTargets());
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  const std::size_t cut_off =
      (FindLeader(cluster) + (leader ? 0 : 1)) % cluster.gateways();
  RequireService(cluster, cut_off, "before the cut");
  cluster.CutOffFromTargets(cut_off, true);
  // Callers make the instance notice.
  ServedShare(cluster, cut_off, true, kSettleTime + seconds(2));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    if (is_required(i == cut_off)) {
      RequireService(cluster, i, "during the cut");
    }
  }
  cluster.CutOffFromTargets(cut_off, false);
  ServedShare(cluster, cut_off, true, seconds(1));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    RequireService(cluster, i, "after the cut");
  }
}

// Guards against a leader that keeps the lead while its orders reach no target.
Test(partitioned_instance, leader_without_targets_is_replaced) {
  RequireServiceWhileCutOff(true, [](bool cut_off) { return !cut_off; });
}

// Guards against callers that are refused because their instance reaches no
// target.
Test(partitioned_instance, instance_without_targets_serves_its_callers) {
  RequireServiceWhileCutOff(false, [](bool) { return true; });
}

}  // namespace
}  // namespace snipehall::test
