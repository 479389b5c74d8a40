#include <cstdio>
#include <string>

#include "process/support/cluster.h"
#include "process/support/history.h"
#include "process/support/keyed_traffic.h"

#include <criterion/criterion.h>

// Outages of the platform's log service.

namespace snipehall::test {

namespace {

// Keeps the log in an outage for several times the length of a lease, and
// requires that callers notice nothing.
void ServeThroughOutage(const std::string& mode) {
  Cluster cluster(KeyedCluster(3, 3));
  Traffic traffic(KeyedTraffic(cluster.CallerAddresses(), mode));
  AwaitRight(traffic, 2000);
  HttpClient log(cluster.log_address());
  log.Post("/test/outage", R"({"on":true,"mode":")" + mode + "\"}");
  AwaitRight(traffic, 2000, std::chrono::seconds(4));
  log.Post("/test/outage", R"({"on":false})");
  AwaitRight(traffic, 2000, std::chrono::seconds(2));

  traffic.Stop();
  const TrafficReport report = traffic.Finish();
  std::printf("log outage, %s: longest gap of a key %lld ms; %s\n",
              mode.c_str(), static_cast<long long>(LongestGap(report).count()),
              report.Summary().c_str());
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNone(CheckOwners(history));
  RequireNone(CheckOutcomes(history, report, false));
  Require(report.right == report.sent, report.Summary());
}

}  // namespace

// Guards against leases that lapse in an outage of the log: the members have
// to confirm each other.
Test(log_outage, owners_serve_while_the_log_refuses, .timeout = 120) {
  ServeThroughOutage("refuse");
}

// Guards against a thread that waits for a log that holds its requests.
Test(log_outage, owners_serve_while_the_log_hangs, .timeout = 120) {
  ServeThroughOutage("hang");
}

}  // namespace snipehall::test
