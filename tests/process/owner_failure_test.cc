#include <csignal>
#include <cstdio>
#include <string>

#include "process/support/cluster.h"
#include "process/support/history.h"
#include "process/support/keyed_traffic.h"

#include <criterion/criterion.h>

// Failures of a target that owns keys, during non-repeatable requests.

namespace snipehall::test {

namespace {

using std::chrono::seconds;

// A key has to be served again within this time after its owner failed.
constexpr std::chrono::milliseconds kMaxRecoveryTime{2000};
// Correct responses to wait for before and after each step of a test.
constexpr std::uint64_t kRequestsPerPhase = 2000;

void AwaitNewOwner(const Cluster& cluster,
                   const std::string& key,
                   const TargetId& former) {
  const bool moved = WaitUntil(Clock::now() + seconds(20), [&] {
    return cluster.OwnerOf(kKeyedService, key) != former;
  });
  Require(moved, "according to the log, the key is still owned by " + former);
}

void CheckReport(Cluster& cluster,
                 const char* name,
                 const TrafficReport& report) {
  std::printf("%s: longest gap for a key %lld ms; %s\n", name,
              static_cast<long long>(LongestGap(report).count()),
              report.Summary().c_str());
  Require(report.incorrect == 0 && report.lost == 0, report.Summary());
  const auto history = ReadHistory(cluster.HistoryFiles());
  RequireNoViolations(CheckOwners(history));
  RequireNoViolations(CheckOutcomes(history, report, false));
  Require(LongestGap(report) <= kMaxRecoveryTime,
          "a key was not served for " +
              std::to_string(LongestGap(report).count()) + " ms");
}

}  // namespace

// Guards against three faults when an owner is killed: its keys stay without an
// owner, a request runs twice, or a request that ran is refused as not run.
Test(owner_failure, killed_owner_is_replaced, .timeout = 120) {
  Cluster cluster(KeyedClusterOptions(3, 3));
  Traffic traffic(KeyedTrafficOptions(cluster.CallerAddresses(), "kill"));
  AwaitCorrectResponses(traffic, kRequestsPerPhase);

  const TargetId owner = cluster.OwnerOf(kKeyedService, KeyFromNumber(0));
  Process& process = cluster.target(owner).process;
  process.Signal(SIGKILL);
  process.Wait(Clock::now() + seconds(5));
  AwaitNewOwner(cluster, KeyFromNumber(0), owner);
  AwaitCorrectResponses(traffic, kRequestsPerPhase, kMaxRecoveryTime);

  traffic.Stop();
  CheckReport(cluster, "owner killed", traffic.Finish());
}

// Guards against an owner that resumes after a pause (SIGSTOP) and still runs
// requests for keys that another target has taken over.
Test(owner_failure, paused_owner_is_fenced, .timeout = 120) {
  Cluster cluster(KeyedClusterOptions(3, 3));
  Traffic traffic(KeyedTrafficOptions(cluster.CallerAddresses(), "freeze"));
  AwaitCorrectResponses(traffic, kRequestsPerPhase);

  const TargetId owner = cluster.OwnerOf(kKeyedService, KeyFromNumber(0));
  const Process& process = cluster.target(owner).process;
  process.Signal(SIGSTOP);
  AwaitNewOwner(cluster, KeyFromNumber(0), owner);
  AwaitCorrectResponses(traffic, kRequestsPerPhase, kMaxRecoveryTime);
  process.Signal(SIGCONT);
  AwaitCorrectResponses(traffic, kRequestsPerPhase, seconds(2));

  traffic.Stop();
  CheckReport(cluster, "owner paused", traffic.Finish());
}

}  // namespace snipehall::test
