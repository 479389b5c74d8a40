#include <csignal>
#include <cstdio>
#include <string>

#include "process/support/cluster.h"
#include "process/support/history.h"
#include "process/support/keyed_traffic.h"

#include <criterion/criterion.h>

// Failures of the target that owns keys, under requests that may not be
// repeated.

namespace snipehall::test {

namespace {

using std::chrono::seconds;

// A key has to be served again within this time of a loss.
constexpr std::chrono::milliseconds kServedAgainLimit{2000};
constexpr std::uint64_t kRequestsBetween = 2000;

void AwaitNewOwner(const Cluster& cluster,
                   const std::string& key,
                   const TargetId& former) {
  const bool moved = WaitUntil(Clock::now() + seconds(20), [&] {
    return cluster.OwnerOf(kKeyedService, key) != former;
  });
  Require(moved, "the log still gives the key to " + former);
}

void CheckReport(Cluster& cluster,
                 const char* name,
                 const TrafficReport& report) {
  std::printf("%s: longest gap of a key %lld ms; %s\n", name,
              static_cast<long long>(LongestGap(report).count()),
              report.Summary().c_str());
  Require(report.wrong == 0 && report.lost == 0, report.Summary());
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNone(CheckOwners(history));
  RequireNone(CheckOutcomes(history, report, false));
  Require(LongestGap(report) <= kServedAgainLimit,
          "a key was not served for " +
              std::to_string(LongestGap(report).count()) + " ms");
}

}  // namespace

// Guards against keys that stay without an owner, against deposits charged
// twice and against false refusals when an owner is lost.
Test(owner_failure, killed_owner_is_replaced, .timeout = 120) {
  Cluster cluster(KeyedCluster(3, 3));
  Traffic traffic(KeyedTraffic(cluster.CallerAddresses(), "kill"));
  AwaitRight(traffic, kRequestsBetween);

  const TargetId owner = cluster.OwnerOf(kKeyedService, KeyOf(0));
  Process& process = cluster.target(owner).process;
  process.Signal(SIGKILL);
  process.Wait(Clock::now() + seconds(5));
  AwaitNewOwner(cluster, KeyOf(0), owner);
  AwaitRight(traffic, kRequestsBetween, kServedAgainLimit);

  traffic.Stop();
  CheckReport(cluster, "owner killed", traffic.Finish());
}

// Guards against an owner that comes back after a pause and still runs
// requests for keys that were given to another target.
Test(owner_failure, frozen_owner_is_fenced, .timeout = 120) {
  Cluster cluster(KeyedCluster(3, 3));
  Traffic traffic(KeyedTraffic(cluster.CallerAddresses(), "freeze"));
  AwaitRight(traffic, kRequestsBetween);

  const TargetId owner = cluster.OwnerOf(kKeyedService, KeyOf(0));
  const Process& process = cluster.target(owner).process;
  process.Signal(SIGSTOP);
  AwaitNewOwner(cluster, KeyOf(0), owner);
  AwaitRight(traffic, kRequestsBetween, kServedAgainLimit);
  process.Signal(SIGCONT);
  AwaitRight(traffic, kRequestsBetween, seconds(2));

  traffic.Stop();
  CheckReport(cluster, "owner frozen", traffic.Finish());
}

}  // namespace snipehall::test
