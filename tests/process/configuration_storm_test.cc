#include <chrono>
#include <string>
#include <thread>

#include "process/support/gateway_cluster.h"
#include "process/support/wait_until.h"

#include <criterion/criterion.h>

namespace snipehall::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' limit for a change of the configuration to be in force.
constexpr milliseconds kConfigurationApplies{2000};

// Guards against readers that ask for all versions that they have missed.
Test(configuration_storm, instances_on_slow_links_use_the_newest_version) {
  constexpr int kVersions = 25;
  constexpr int kRoutes = 1200;
  GatewayCluster cluster({});
  cluster.WaitUntilReady(Clock::now() + seconds(15));
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    cluster.StoreLink(i).LimitResponseRate(1'000'000);
  }
  int version = 1;
  for (int i = 0; i < kVersions; ++i) {
    cluster.PublishLargeConfiguration(++version, kRoutes);
    std::this_thread::sleep_for(milliseconds(60));
  }
  const auto deadline = Clock::now() + kConfigurationApplies;
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    Require(WaitUntil(
                deadline,
                [&] { return cluster.Metric(i, "configuration") == version; }),
            cluster.name(i) + " has version " +
                std::to_string(cluster.Metric(i, "configuration").value_or(0)));
  }
}

}  // namespace
}  // namespace snipehall::test
