#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "process/support/cluster.h"
#include "process/support/history.h"
#include "process/support/keyed_traffic.h"

#include <criterion/criterion.h>

// Failures of the coordinator, the instance that renews the leases of a group.

namespace snipehall::test {

// Guards against leases that expire because their coordinator was killed: the
// next member of the group has to renew them in time, and no request through
// the other instances may fail.
Test(coordinator_failure, next_member_renews_the_leases, .timeout = 120) {
  Cluster cluster(KeyedClusterOptions(3, 3));
  const InstanceId coordinator =
      cluster.CoordinatorOf(kKeyedService, KeyFromNumber(0));
  std::vector<std::string> others;
  for (const auto& node : cluster.instances()) {
    if (node->id != coordinator) {
      others.push_back(node->caller_address);
    }
  }
  Traffic to_others(KeyedTrafficOptions(others, "others"));
  Traffic to_coordinator(KeyedTrafficOptions(
      {cluster.instance(coordinator).caller_address}, "lead"));
  AwaitCorrectResponses(to_others, 2000);
  AwaitCorrectResponses(to_coordinator, 500);

  Process& process = cluster.instance(coordinator).process;
  process.Signal(SIGKILL);
  process.Wait(Clock::now() + std::chrono::seconds(5));
  // Several times the lease duration of 600 ms.
  AwaitCorrectResponses(to_others, 4000, std::chrono::seconds(3));

  to_others.Stop();
  to_coordinator.Stop();
  const TrafficReport report = to_others.Finish();
  const TrafficReport coordinator_report = to_coordinator.Finish();
  std::printf("coordinator killed: longest gap for a key %lld ms; %s\n",
              static_cast<long long>(LongestGap(report).count()),
              report.Summary().c_str());
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNoViolations(CheckOwners(history));
  RequireNoViolations(CheckOutcomes(history, report, false));
  // Requests in progress at the coordinator when it was killed may be lost.
  RequireNoViolations(CheckOutcomes(history, coordinator_report, false));
  Require(coordinator_report.incorrect == 0, coordinator_report.Summary());
  Require(report.correct == report.sent, report.Summary());
}

}  // namespace snipehall::test
