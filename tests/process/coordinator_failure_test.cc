#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "process/support/cluster.h"
#include "process/support/history.h"
#include "process/support/keyed_traffic.h"

#include <criterion/criterion.h>

// Failures of the instance that extends the leases of a group.

namespace snipehall::test {

// Guards against leases that lapse because the instance that extended them is
// gone: the next member has to extend them in time. Callers of the other
// instances must not notice.
Test(coordinator_failure, next_member_extends_the_leases, .timeout = 120) {
  Cluster cluster(KeyedCluster(3, 3));
  const InstanceId coordinator = cluster.CoordinatorOf(kKeyedService, KeyOf(0));
  std::vector<std::string> others;
  for (const auto& node : cluster.instances()) {
    if (node->id != coordinator) {
      others.push_back(node->caller_address);
    }
  }
  Traffic to_others(KeyedTraffic(others, "others"));
  Traffic to_coordinator(
      KeyedTraffic({cluster.instance(coordinator).caller_address}, "lead"));
  AwaitRight(to_others, 2000);
  AwaitRight(to_coordinator, 500);

  Process& process = cluster.instance(coordinator).process;
  process.Signal(SIGKILL);
  process.Wait(Clock::now() + std::chrono::seconds(5));
  // Several times the length of a lease, 600 ms.
  AwaitRight(to_others, 4000, std::chrono::seconds(3));

  to_others.Stop();
  to_coordinator.Stop();
  const TrafficReport report = to_others.Finish();
  const TrafficReport coordinator_report = to_coordinator.Finish();
  std::printf("lead killed: longest gap of a key %lld ms; %s\n",
              static_cast<long long>(LongestGap(report).count()),
              report.Summary().c_str());
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNone(CheckOwners(history));
  RequireNone(CheckOutcomes(history, report, false));
  // Answers of the coordinator that were on their way when it was killed are
  // lost.
  RequireNone(CheckOutcomes(history, coordinator_report, false));
  Require(coordinator_report.wrong == 0, coordinator_report.Summary());
  Require(report.right == report.sent, report.Summary());
}

}  // namespace snipehall::test
